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

// Follower follows resources. It is implemented by follow.Follower and by stand-ins for it.
type Follower interface {
	Subscribe(resource string, has distribution.Version, s follow.Subscriber) (cancel func())
	Run(ctx context.Context)
	Health() follow.Health
}

// NewFollower is the type of functions that return a Follower that is not running yet.
type NewFollower func(follow.Config) Follower

// newFollower is the NewFollower for the real implementation.
func newFollower(config follow.Config) Follower { return follow.New(config) }

const usageInterval = 500 * time.Millisecond // interval between two Usage events

// followers is the followers of one process.
type followers struct {
	recorder
	spec             Spec
	bytesTransferred atomic.Int64
	messagesSent     atomic.Int64
	followers        []*followerState
	running          sync.WaitGroup
}

// newFollowers starts the followers of a spec.
func newFollowers(ctx context.Context, spec Spec, r recorder) *followers {
	f := &followers{recorder: r, spec: spec}
	for i, followerSpec := range spec.Followers {
		follower := &followerState{followers: f, spec: followerSpec, seed: spec.Seed + uint64(i)}
		for _, resource := range followerSpec.Resources {
			follower.subscriptions = append(follower.subscriptions,
				&subscription{recorder: r, follower: followerSpec.Name, resource: resource})
		}
		f.followers = append(f.followers, follower)
		follower.start(ctx)
	}
	f.running.Go(func() { f.reportUsage(ctx) })
	f.running.Go(func() { history.WatchLag(ctx, spec.Name, r.clock, r.record) })
	return f
}

// execute implements runner.
func (f *followers) execute(ctx context.Context, command Command) error {
	if command.Do != DoRestart {
		return errUnknownCommand
	}
	for _, follower := range f.followers {
		follower.stop()
	}
	for _, follower := range f.followers {
		follower.start(ctx)
	}
	return nil
}

// close implements runner.
func (f *followers) close() {
	for _, follower := range f.followers {
		follower.stop()
	}
	f.running.Wait()
}

// reportUsage records the resource usage of the process every usageInterval until ctx is done.
func (f *followers) reportUsage(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.record(history.Event{Kind: history.Usage, Who: f.spec.Name, Figures: map[string]float64{
				history.UsageBytes:     float64(f.bytesTransferred.Load()),
				history.UsageReads:     float64(f.messagesSent.Load()),
				history.UsageFollowers: float64(len(f.followers)),
			}})
		case <-ctx.Done():
			return
		}
	}
}

// followerState is one follower with its subscriptions. The subscriptions outlive a restart of the
// follower, as files outlive a process.
type followerState struct {
	followers     *followers
	spec          FollowerSpec
	seed          uint64
	subscriptions []*subscription
	cancel        context.CancelFunc
	done          chan struct{} // closed when the follower has stopped
}

// start starts a new follower with the versions that the previous follower held. The follower runs
// until stop is called or ctx is done.
func (s *followerState) start(ctx context.Context) {
	follower := s.followers.build(follow.Config{
		Name:   s.spec.Name,
		Kind:   distribution.KindProxy,
		Relays: s.spec.Relays,
		Hold:   s.followers.spec.Hold,
		Rand:   rand.New(rand.NewPCG(s.seed, 0)),
		Log:    slog.New(slog.DiscardHandler),
		Dial:   s.dial,
	})
	for _, sub := range s.subscriptions {
		sub.currentRelay = func() string { return s.relayName(follower.Health().Relay) }
		sub.record(history.Event{
			Kind: history.Subscribed, Who: sub.follower, Resource: sub.resource, Version: sub.version,
		})
		follower.Subscribe(sub.resource, sub.version, sub)
	}
	runCtx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	done := make(chan struct{})
	s.done = done
	go func() {
		defer close(done)
		follower.Run(runCtx)
	}()
}

// relayName returns the name of the relay with an address, or "" if there is none.
func (s *followerState) relayName(address string) string {
	if i := slices.Index(s.spec.Relays, address); i >= 0 {
		return s.spec.RelayNames[i]
	}
	return ""
}

// stop stops the follower and waits until it has stopped.
func (s *followerState) stop() {
	s.cancel()
	<-s.done
}

// dial opens a connection that counts bytes and messages.
func (s *followerState) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: &s.followers.bytesTransferred, messages: &s.followers.messagesSent}, nil
}

// countedConn is a connection that counts the bytes of both directions and the messages sent.
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

// errNamedInUpdate is the error with which a follower rejects an update in which the item
// plan.RejectKey names the follower.
var errNamedInUpdate = errors.New("an item names this follower")

// subscription is the state of one resource at a follower. It implements follow.Subscriber.
type subscription struct {
	recorder
	follower     string
	resource     string
	currentRelay func() string // returns the name of the relay that the follower uses

	items   map[string]string
	version distribution.Version
}

// ApplyUpdate implements follow.Subscriber. It applies every update unchanged, so that the history
// shows what the follower received.
func (s *subscription) ApplyUpdate(u distribution.Update) error {
	items := map[string]string{}
	if !u.IsSnapshot() {
		items = maps.Clone(s.items)
	}
	for _, item := range u.Items {
		if item.Deleted {
			delete(items, item.Key)
		} else {
			items[item.Key] = string(item.Value)
		}
	}
	if name, ok := items[plan.RejectKey]; ok && name == `"`+s.follower+`"` {
		s.record(history.Event{
			Kind: history.UpdateRejected, Who: s.follower, Resource: s.resource, Version: u.Version,
			Reason: errNamedInUpdate.Error(),
		})
		return errNamedInUpdate
	}
	s.items = items
	s.version = u.Version
	s.record(history.Event{
		Kind:     history.InForce,
		Who:      s.follower,
		To:       s.currentRelay(),
		Resource: s.resource,
		Version:  u.Version,
		From:     u.From,
		N:        int64(len(u.Items)),
		Digest:   Digest(items),
	})
	return nil
}

// UpdateFailed implements follow.Subscriber.
func (s *subscription) UpdateFailed() {
	s.record(history.Event{Kind: history.Log, Who: s.follower, Resource: s.resource, Reason: "no relay answers"})
}

// Digest returns a hexadecimal hash of items, which are given by key.
func Digest(items map[string]string) string {
	hash := fnv.New64a()
	for _, key := range slices.Sorted(maps.Keys(items)) {
		_, _ = fmt.Fprintf(hash, "%d %s %d %s\n", len(key), key, len(items[key]), items[key]) // never fails
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}

// DigestOf returns the Digest of all items of a resource.
func DigestOf(items []distribution.Item) string {
	byKey := map[string]string{}
	for _, item := range items {
		byKey[item.Key] = string(item.Value)
	}
	return Digest(byKey)
}
