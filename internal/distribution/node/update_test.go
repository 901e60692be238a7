package node

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
)

// A proxy that applies an update slowly next receives the latest state without the states between,
// and the relay keeps no backlog for the proxy.
func TestSlowReader(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	relay := startRelay(t, "relay", "", source.address)
	slow := &slowSubscriber{
		started: make(chan struct{}),
		release: make(chan struct{}),
		applied: make(chan distribution.Version, 100),
	}
	f := follow.New(follow.Config{
		Name: "slow", Kind: distribution.KindProxy, Relays: []string{relay.address}, Hold: testHold,
	})
	f.Subscribe(resource, distribution.Version{}, slow)
	run(t, f)
	quick := startProxy(t, "quick", relay.address)
	put(t, source.address, item("b1", "first"))
	<-slow.started

	const writes, size = 100, 64 << 10
	var last distribution.Version
	for i := range writes {
		last = put(t, source.address, urgently(item("b1", strings.Repeat(fmt.Sprint(i%10), size))))
	}
	quick.awaitVersion(last)
	stats := relay.Stats()
	if stats.StoreBytes > 2*size || stats.CacheBytes > maxCacheBytes {
		t.Errorf("the relay keeps %d bytes in the store and %d encoded bytes of a resource of %d bytes",
			stats.StoreBytes, stats.CacheBytes, size)
	}
	close(slow.release)
	updates := 0
	for v := range slow.applied {
		updates++
		if v == last {
			break
		}
	}
	if updates != 2 { // the first update, and one with all writes since
		t.Errorf("got %d updates for %d writes, want 2", updates, writes+1)
	}
}

// slowSubscriber blocks in its first update until it is released.
type slowSubscriber struct {
	once    sync.Once
	started chan struct{}
	release chan struct{}
	applied chan distribution.Version
}

// ApplyUpdate implements follow.Subscriber.
func (s *slowSubscriber) ApplyUpdate(u distribution.Update) error {
	s.once.Do(func() { close(s.started) })
	<-s.release
	s.applied <- u.Version
	return nil
}

// UpdateFailed implements follow.Subscriber.
func (s *slowSubscriber) UpdateFailed() {}

// Changes of a burst are sent together. An urgent change is sent at once, together with the delayed
// changes.
func TestUrgentUpdateEndsCoalescing(t *testing.T) {
	limits := distribution.DefaultSessionLimits()
	limits.Coalesce = time.Hour // only an urgent item ends the delay
	n := New(Config{Name: "source", Epoch: 1, Limits: limits, Persist: func(*distribution.Update) error { return nil }})
	source := serve(t, n, n, "")
	p := startProxy(t, "p1", source.address)
	p.awaitVersion(put(t, source.address, item("b1", "1"), item("b2", "1")))
	eventually(t, "waiting read", func() bool { return source.Stats().WaitingReads == 1 })
	put(t, source.address, item("b1", "2"))
	put(t, source.address, item("b1", "3"))
	p.awaitVersion(put(t, source.address, urgently(item("b2", "2"))))
	p.mu.Lock()
	if p.deltas != 1 || p.items["b1"] != `"3"` {
		t.Errorf("got %d deltas and items %v, want 1 delta with the last change of b1", p.deltas, p.items)
	}
	p.mu.Unlock()
	if s := source.Stats(); s.CoalescedUpdates != 1 || s.UrgentHeldUs > testTimeout.Microseconds() {
		t.Errorf("got %+v, want 1 coalesced update", s)
	}
}

// Without an urgent item the changes of a burst are coalesced and sent after the delay.
func TestBurstIsCoalesced(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	p := startProxy(t, "p1", source.address)
	p.awaitVersion(put(t, source.address, item("b1", "0")))
	const writes = 20
	var last distribution.Version
	for i := range writes {
		last = put(t, source.address, item("b1", fmt.Sprint(i+1)))
	}
	p.awaitVersion(last)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.deltas >= writes {
		t.Errorf("got %d updates for %d writes, want fewer updates than writes", p.deltas, writes)
	}
}

// After a rejected update the previous version stays in force, and the status of the source has the
// rejection with its reason. A later valid version is applied.
func TestRejectedUpdate(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	relay := startRelay(t, "relay", "", source.address)
	p := startProxy(t, "p1", relay.address)
	p.mu.Lock()
	p.reject = "bad"
	p.mu.Unlock()
	startProxy(t, "p2", relay.address)
	good := put(t, source.address, item("b1", "1"))
	p.awaitVersion(good)
	bad := put(t, source.address, item("bad", "1"))
	rejection := distribution.Rejection{Follower: "p1", Version: bad, Reason: "key bad is invalid"}
	eventually(t, "rejection at the source", func() bool {
		progress := statusOf(source, bad)
		return slices.Equal(progress.Rejections, []distribution.Rejection{rejection}) &&
			progress.InForce == 1 && progress.Proxies == 2
	})
	p.mu.Lock()
	if p.version != good {
		t.Errorf("got version %v in force, want %v", p.version, good)
	}
	p.mu.Unlock()
	better := put(t, source.address, distribution.Item{Key: "bad", Deleted: true}, item("b1", "2"))
	p.mu.Lock()
	p.reject = ""
	p.mu.Unlock()
	p.awaitVersion(better)
	eventually(t, "in force at all proxies", func() bool {
		progress := statusOf(source, better)
		return progress.Done() && progress.Proxies == 2
	})
}

// All followers that receive the same update share one encoding.
func TestSharedEncoding(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	const proxies = 20
	var all []*proxy
	for i := range proxies {
		all = append(all, startProxy(t, fmt.Sprint("p", i), resource, source.address))
	}
	for _, p := range all {
		p.awaitAnswer()
	}
	first := put(t, source.address, item("b1", "1"))
	for _, p := range all {
		p.awaitVersion(first)
	}
	second := put(t, source.address, urgently(item("b1", "2")))
	for _, p := range all {
		p.awaitVersion(second)
	}
	if s := source.Stats(); s.Encodings != 2 || s.SnapshotUpdates != proxies || s.DeltaUpdates != proxies {
		t.Errorf("got %d encodings, %d snapshots, %d deltas; want 2, %d, %d",
			s.Encodings, s.SnapshotUpdates, s.DeltaUpdates, proxies, proxies)
	}
}
