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

// A proxy that takes long to apply an update gets the latest state after it, not what came in
// between, and the relay has no backlog for it.
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
		t.Errorf("the relay keeps %d bytes, and %d encoded, of a resource of %d",
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
	if updates != 2 { // the first one, and all that was written since
		t.Errorf("%d updates for %d writes, 2 expected", updates, writes+1)
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

// Changes of a burst go out together; an urgent one goes out at once, with what is held back.
func TestUrgentUpdateEndsCoalescing(t *testing.T) {
	limits := distribution.DefaultSessionLimits()
	limits.Coalesce = time.Hour // nothing but an urgent item ends it
	n := New(Config{Name: "source", Epoch: 1, Limits: limits, Persist: func(*distribution.Update) error { return nil }})
	source := serve(t, n, n, "")
	p := startProxy(t, "p1", source.address)
	p.awaitVersion(put(t, source.address, item("b1", "1"), item("b2", "1")))
	eventually(t, "a read waits", func() bool { return source.Stats().WaitingReads == 1 })
	put(t, source.address, item("b1", "2"))
	put(t, source.address, item("b1", "3"))
	p.awaitVersion(put(t, source.address, urgently(item("b2", "2"))))
	p.mu.Lock()
	if p.deltas != 1 || p.items["b1"] != `"3"` {
		t.Errorf("%d deltas, items %v; 1 expected", p.deltas, p.items)
	}
	p.mu.Unlock()
	if s := source.Stats(); s.CoalescedUpdates != 1 || s.UrgentHeldUs > testTimeout.Microseconds() {
		t.Errorf("%+v", s)
	}
}

// Without an urgent item the changes of a burst are coalesced, and do go out.
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
		t.Errorf("%d updates for %d writes", p.deltas, writes)
	}
}

// A rejected update leaves what was in force, and the source knows of it with the reason. A better
// version replaces it.
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
	rejection := distribution.Rejection{Follower: "p1", Version: bad, Reason: "key bad makes no sense"}
	eventually(t, "the rejection at the source", func() bool {
		progress := statusOf(source, bad)
		return slices.Equal(progress.Rejections, []distribution.Rejection{rejection}) &&
			progress.InForce == 1 && progress.Proxies == 2
	})
	p.mu.Lock()
	if p.version != good {
		t.Errorf("version %v in force, %v expected", p.version, good)
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

// All followers that get the same update share one encoding.
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
		t.Errorf("%d encodings, %d snapshots, %d deltas; 2, %d, %d expected",
			s.Encodings, s.SnapshotUpdates, s.DeltaUpdates, proxies, proxies)
	}
}
