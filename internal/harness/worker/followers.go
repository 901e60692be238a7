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

const usageInterval = 500 * time.Millisecond // between two Used events

// followers are all followers of a process.
type followers struct {
	recorder
	spec             Spec
	bytesTransferred atomic.Int64 // sent and received
	messagesSent     atomic.Int64 // messages
	subscriptions    []*followerState
	ctx              context.Context
	stop             context.CancelFunc
	running          sync.WaitGroup
}

func newFollowers(s Spec, t recorder) *followers {
	f := &followers{recorder: t, spec: s}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i, spec := range s.Followers {
		one := &followerState{followers: f, spec: spec, seed: s.Seed + uint64(i)}
		for _, resource := range spec.Resources {
			one.subscriptions = append(one.subscriptions, &subscription{followers: f, follower: spec.Name, resource: resource})
		}
		f.subscriptions = append(f.subscriptions, one)
		one.start()
	}
	f.running.Go(f.reportUsage)
	f.running.Go(func() { history.WatchLag(f.ctx, s.Name, t.clock, t.record) })
	return f
}

func (f *followers) execute(c Command) error {
	if c.Do != DoRestart {
		return fmt.Errorf("unknown command")
	}
	for _, one := range f.subscriptions {
		one.halt()
	}
	for _, one := range f.subscriptions {
		one.start()
	}
	return nil
}

func (f *followers) close() {
	f.stop()
	for _, one := range f.subscriptions {
		one.halt()
	}
	f.running.Wait()
}

// reportUsage tells what the process uses, until it ends.
func (f *followers) reportUsage() {
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			f.record(history.Event{Kind: history.Usage, Who: f.spec.Name, Figures: map[string]float64{
				history.UsedBytes:     float64(f.bytesTransferred.Load()),
				history.UsedReads:     float64(f.messagesSent.Load()),
				history.UsedFollowers: float64(len(f.subscriptions)),
			}})
		case <-f.ctx.Done():
			return
		}
	}
}

// followerState are what one follower follows. They outlive the follower, as files would its process.
type followerState struct {
	*followers
	spec          FollowerSpec
	seed          uint64
	subscriptions []*subscription
	stop          context.CancelFunc
	done          chan struct{}
}

// start starts a new follower that has what the one before it had.
func (s *followerState) start() {
	f := s.build(follow.Config{
		Name:   s.spec.Name,
		Kind:   distribution.KindProxy,
		Relays: s.spec.Relays,
		Hold:   s.followers.spec.Hold,
		Rand:   rand.New(rand.NewPCG(s.seed, 0)),
		Log:    slog.New(slog.DiscardHandler),
		Dial:   s.dial,
	})
	for _, one := range s.subscriptions {
		one.currentRelay = func() string { return s.relayName(f.Health().Relay) }
		one.record(history.Event{Kind: history.Subscribed, Who: one.follower, Resource: one.resource, Version: one.version})
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
func (s *followerState) relayName(address string) string {
	if i := slices.Index(s.spec.Relays, address); i >= 0 {
		return s.spec.RelayNames[i]
	}
	return ""
}

func (s *followerState) halt() {
	s.stop()
	<-s.done
}

// dial opens a connection whose bytes are counted.
func (s *followerState) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: &s.bytesTransferred, messages: &s.messagesSent}, nil
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
	currentRelay       func() string // that the follower reads from

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
		s.record(history.Event{Kind: history.UpdateRejected, Who: s.follower, Resource: s.resource, Version: u.Version, Why: why})
		return errors.New(why)
	}
	s.items, s.version = items, u.Version
	s.record(history.Event{Kind: history.InForce, Who: s.follower, To: s.currentRelay(), Resource: s.resource, Version: u.Version, From: u.From, N: int64(len(u.Items)), Digest: Digest(items)})
	return nil
}

// UpdateFailed implements follow.Subscriber.
func (s *subscription) UpdateFailed() {
	s.record(history.Event{Kind: history.Log, Who: s.follower, Resource: s.resource, Why: "no relay answers"})
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
