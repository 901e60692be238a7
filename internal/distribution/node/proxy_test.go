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

// proxy is a Follower, and a subscriber that keeps what it gets.
type proxy struct {
	t *testing.T
	*follow.Follower
	end func() // ends it

	mu        sync.Mutex
	change    chan struct{} // closed when anything changes, and replaced
	items     map[string]string
	version   distribution.Version
	snapshots int    // applied
	deltas    int    // applied
	failures  int    // calls of UpdateFailed
	reject    string // the key that is rejected
}

// startProxy starts a proxy that follows resource.
func startProxy(t *testing.T, name string, relays ...string) *proxy {
	t.Helper()
	p := &proxy{t: t, change: make(chan struct{}), items: make(map[string]string)}
	p.Follower = follow.New(follow.Config{Name: name, Kind: distribution.KindProxy, Relays: relays, Hold: testHold})
	p.Subscribe(resource, distribution.Version{}, p)
	p.end = run(t, p.Follower)
	return p
}

// run runs a follower until the test ends, or until end is called.
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
	defer p.changed()
	if !u.Version.After(p.version) {
		p.t.Errorf("went back from %v to %v", p.version, u.Version)
	}
	for _, item := range u.Items {
		if p.reject != "" && item.Key == p.reject {
			return fmt.Errorf("key %s makes no sense", item.Key)
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
	p.changed()
}

// changed wakes await. The lock is held.
func (p *proxy) changed() {
	close(p.change)
	p.change = make(chan struct{})
}

// await waits until something holds of the proxy, whose lock is held while it is checked.
func (p *proxy) await(what string, holds func() bool) {
	p.t.Helper()
	timeout := time.After(testTimeout)
	for {
		p.mu.Lock()
		done, change := holds(), p.change
		p.mu.Unlock()
		if done {
			return
		}
		select {
		case <-change:
		case <-timeout:
			p.mu.Lock()
			defer p.mu.Unlock()
			p.t.Fatalf("%s: not seen; version %v, items %v, health %+v", what, p.version, p.items, p.Health())
		}
	}
}

// awaitVersion waits until the proxy has a version or a later one in force.
func (p *proxy) awaitVersion(v distribution.Version) {
	p.t.Helper()
	p.await("version "+v.String(), func() bool { return !v.After(p.version) })
}

// awaitSourceAge waits until a relay without its source answers all the same, and reports the
// source's age.
func (p *proxy) awaitSourceAge(relay *testNode) {
	p.t.Helper()
	eventually(p.t, "a response with the source's age", func() bool {
		return p.Health().SourceAge > testHold && relay.Stats().SourceAgeMs > 0
	})
}

// awaitAnswer waits until a relay has answered.
func (p *proxy) awaitAnswer() {
	p.t.Helper()
	eventually(p.t, "a response", func() bool { return !p.Health().LastResponse.IsZero() })
}
