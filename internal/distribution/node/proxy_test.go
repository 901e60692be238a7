package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
)

// proxy is a Follower with a subscriber that keeps the items of the updates.
type proxy struct {
	t *testing.T
	*follow.Follower
	stop func() // ends the Follower

	mu        sync.Mutex
	changedCh chan struct{} // closed and replaced when anything changes
	items     map[string]string
	version   distribution.Version
	snapshots int    // number of snapshots applied
	deltas    int    // number of deltas applied
	failures  int    // number of calls of UpdateFailed
	reject    string // key whose updates are rejected; empty means none
}

// startProxy starts a proxy that follows resource.
func startProxy(t *testing.T, name string, relays ...string) *proxy {
	t.Helper()
	p := &proxy{t: t, changedCh: make(chan struct{}), items: make(map[string]string)}
	p.Follower = follow.New(follow.Config{Name: name, Kind: distribution.KindProxy, Relays: relays, Hold: testHold})
	p.Subscribe(resource, distribution.Version{}, p)
	p.stop = run(t, p.Follower)
	return p
}

// run runs a follower until the test ends or end is called.
func run(t *testing.T, f *follow.Follower) (end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	end = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(end)
	return end
}

// ApplyUpdate implements follow.Subscriber.
func (p *proxy) ApplyUpdate(u distribution.Update) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notifyChanged()
	if !u.Version.After(p.version) {
		p.t.Errorf("got version %v, want one after %v", u.Version, p.version)
	}
	for _, item := range u.Items {
		if p.reject != "" && item.Key == p.reject {
			return fmt.Errorf("key %s is invalid", item.Key)
		}
	}
	if u.IsSnapshot() {
		p.snapshots++
		clear(p.items)
	} else {
		p.deltas++
	}
	for _, item := range u.Items {
		if item.Deleted {
			delete(p.items, item.Key)
		} else {
			p.items[item.Key] = string(item.Value)
		}
	}
	p.version = u.Version
	return nil
}

// UpdateFailed implements follow.Subscriber.
func (p *proxy) UpdateFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
	p.notifyChanged()
}

// notifyChanged wakes await. The caller holds p.mu.
func (p *proxy) notifyChanged() {
	close(p.changedCh)
	p.changedCh = make(chan struct{})
}

// await waits until a condition holds. The proxy's lock is held while the condition is checked.
func (p *proxy) await(what string, holds func() bool) {
	p.t.Helper()
	timeout := time.After(testTimeout)
	for {
		p.mu.Lock()
		done, change := holds(), p.changedCh
		p.mu.Unlock()
		if done {
			return
		}
		select {
		case <-change:
		case <-timeout:
			p.mu.Lock()
			defer p.mu.Unlock()
			p.t.Fatalf("%s: not reached; version %v, items %v, health %+v", what, p.version, p.items, p.Health())
		}
	}
}

// awaitVersion waits until the proxy has a version or a later one in force.
func (p *proxy) awaitVersion(v distribution.Version) {
	p.t.Helper()
	p.await("version "+v.String(), func() bool { return !v.After(p.version) })
}

// awaitSourceAge waits until a relay that has lost its source responds with the source age.
func (p *proxy) awaitSourceAge(relay *testNode) {
	p.t.Helper()
	eventually(p.t, "response with the source age", func() bool {
		return p.Health().SourceAge > testHold && relay.Stats().SourceAgeMs > 0
	})
}

// awaitAnswer waits until a relay has responded.
func (p *proxy) awaitAnswer() {
	p.t.Helper()
	eventually(p.t, "response", func() bool { return !p.Health().LastResponse.IsZero() })
}
