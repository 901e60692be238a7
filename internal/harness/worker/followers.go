package worker

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// Follower follows resources: a follow.Follower, or a stand-in of it.
type Follower interface {
	Subscribe(resource string, has distribution.Version, s follow.Subscriber) (cancel func())
	Run(ctx context.Context)
	Health() follow.Health
}

// NewFollower makes a Follower.
type NewFollower func(follow.Config) Follower

func newFollower(c follow.Config) Follower { return follow.New(c) }

const usedEvery = 500 * time.Millisecond // between two Used events

// followers are all followers of a process.
type followers struct {
	teller
	spec  Spec
	bytes atomic.Int64 // sent and received
	sent  atomic.Int64 // messages
	each  []*subscriptions
	ctx   context.Context
	stop  context.CancelFunc
	ended sync.WaitGroup
}

func newFollowers(s Spec, t teller) *followers {
	f := &followers{teller: t, spec: s}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i, spec := range s.Followers {
		one := &subscriptions{followers: f, spec: spec, seed: s.Seed + uint64(i)}
		for _, resource := range spec.Follows {
			one.all = append(one.all, &subscription{followers: f, follower: spec.Name, resource: resource})
		}
		f.each = append(f.each, one)
		one.start()
	}
	f.ended.Go(f.report)
	f.ended.Go(func() { history.WatchLag(f.ctx, s.Name, t.clock, t.tell) })
	return f
}

func (f *followers) do(c Command) error {
	if c.Do != DoRestart {
		return fmt.Errorf("unknown command")
	}
	for _, one := range f.each {
		one.end()
	}
	for _, one := range f.each {
		one.start()
	}
	return nil
}

func (f *followers) close() {
	f.stop()
	for _, one := range f.each {
		one.end()
	}
	f.ended.Wait()
}

// report tells what the process uses, until it ends.
func (f *followers) report() {
	tick := time.NewTicker(usedEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.tell(history.Event{Kind: history.Used, Who: f.spec.Name, Figures: map[string]float64{
				history.UsedBytes:     float64(f.bytes.Load()),
				history.UsedReads:     float64(f.sent.Load()),
				history.UsedFollowers: float64(len(f.each)),
			}})
		case <-f.ctx.Done():
			return
		}
	}
}

// subscriptions are what one follower follows. They outlive the follower, as files would its process.
type subscriptions struct {
	*followers
	spec FollowerSpec
	seed uint64
	all  []*subscription
	stop context.CancelFunc
	done chan struct{}
}

// start starts a new follower that has what the one before it had.
func (s *subscriptions) start() {
	f := s.build(follow.Config{
		Name:   s.spec.Name,
		Kind:   distribution.KindProxy,
		Relays: s.spec.Relays,
		Hold:   s.followers.spec.Hold,
		Rand:   rand.New(rand.NewPCG(s.seed, 0)),
		Log:    slog.New(slog.DiscardHandler),
		Dial:   s.dial,
	})
	for _, one := range s.all {
		one.relay = func() string { return s.relayName(f.Health().Relay) }
		one.tell(history.Event{Kind: history.Subscribed, Who: one.follower, Resource: one.resource, Version: one.version})
		f.Subscribe(one.resource, one.version, one)
	}
	ctx, stop := context.WithCancel(s.ctx)
	s.stop, s.done = stop, make(chan struct{})
	go func(done chan<- struct{}) {
		defer close(done)
		f.Run(ctx)
	}(s.done)
}

// relayName is the name of the relay with an address; empty: none.
func (s *subscriptions) relayName(address string) string {
	if i := slices.Index(s.spec.Relays, address); i >= 0 {
		return s.spec.Names[i]
	}
	return ""
}

func (s *subscriptions) end() {
	s.stop()
	<-s.done
}

// dial opens a connection whose bytes are counted.
func (s *subscriptions) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: &s.bytes, messages: &s.sent}, nil
}

// countedConn counts the bytes of both directions, and the messages that are sent.
type countedConn struct {
	net.Conn
	bytes, messages *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.messages.Add(1)
	return n, err
}

// subscription is one resource as a follower has it in force.
type subscription struct {
	*followers
	follower, resource string
	relay              func() string // that the follower reads from

	items   map[string]string
	version distribution.Version
}

// ApplyUpdate implements follow.Subscriber. It believes what it is told, so that the history shows what that was.
func (s *subscription) ApplyUpdate(u distribution.Update) error {
	items := map[string]string{}
	if !u.Full() {
		items = maps.Clone(s.items)
	}
	for _, item := range u.Items {
		if item.Deleted {
			delete(items, item.Key)
		} else {
			items[item.Key] = string(item.Value)
		}
	}
	if who, refused := items[plan.RejectKey]; refused && who == `"`+s.follower+`"` {
		const why = "an item names this follower"
		s.tell(history.Event{Kind: history.Refused, Who: s.follower, Resource: s.resource, Version: u.Version, Why: why})
		return errors.New(why)
	}
	s.items, s.version = items, u.Version
	s.tell(history.Event{Kind: history.InForce, Who: s.follower, To: s.relay(), Resource: s.resource, Version: u.Version, From: u.From, N: int64(len(u.Items)), Digest: Digest(items)})
	return nil
}

// UpdateFailed implements follow.Subscriber.
func (s *subscription) UpdateFailed() {
	s.tell(history.Event{Kind: history.Log, Who: s.follower, Resource: s.resource, Why: "no relay answers"})
}

// Digest is a short text that is the same for the same items.
func Digest(items map[string]string) string {
	h := fnv.New64a()
	for _, key := range slices.Sorted(maps.Keys(items)) {
		fmt.Fprintf(h, "%d %s %d %s\n", len(key), key, len(items[key]), items[key])
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// DigestOf is the digest of a whole resource's items.
func DigestOf(items []distribution.Item) string {
	all := map[string]string{}
	for _, item := range items {
		all[item.Key] = string(item.Value)
	}
	return Digest(all)
}
