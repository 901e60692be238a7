package node

import (
	"context"
	"errors"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// After the failure of its relay a proxy resumes at the other relay from the version that it has,
// by deltas only. It returns to the first relay when that relay is up again.
func TestResumeAfterRelayFailure(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	relays := map[string]*testNode{}
	var addresses []string
	for _, name := range []string{"relay-1", "relay-2"} {
		r := startRelay(t, name, "", source.address)
		relays[r.address] = r
		addresses = append(addresses, r.address)
	}
	p := startProxy(t, "p1", addresses...)
	p.awaitVersion(put(t, source.address, item("b1", "1"), item("b2", "1")))
	// The other relay has the resource too, because another proxy follows it there.
	for _, address := range addresses {
		startProxy(t, "beside "+address, address).awaitVersion(source.store.Version(resource))
	}
	first := p.Health().Relay
	relays[first].kill()
	p.awaitVersion(put(t, source.address, urgently(item("b1", "2"))))
	p.mu.Lock()
	if p.snapshots != 1 || p.deltas != 1 {
		t.Errorf("got %d snapshots and %d deltas, want 1 and 1", p.snapshots, p.deltas)
	}
	p.mu.Unlock()
	if second := p.Health().Relay; second == first || p.Stats().Switches != 1 {
		t.Errorf("got relay %s after %d switches, want 1 switch from %s", second, p.Stats().Switches, first)
	}

	startRelay(t, "relay again", first, source.address)
	eventually(t, "return to the preferred relay", func() bool { return p.Health().Relay == first })
	p.awaitVersion(put(t, source.address, item("b2", "3")))
	eventually(t, "all proxies in force, each counted once", func() bool {
		progress := statusOf(source, source.store.Version(resource))
		// The proxy and the two others, one of which had lost its relay for a time.
		return progress.Proxies == 3 && progress.Done()
	})
}

// A relay that restarts knows no session. Its proxies open new sessions with all positions, and
// receive neither a snapshot nor an older version.
func TestUnknownSession(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	relay := startRelay(t, "relay", "", source.address)
	p := startProxy(t, "p1", relay.address)
	p.awaitVersion(put(t, source.address, item("b1", "1")))

	c := httpapi.NewClient(nil)
	defer c.Close()
	_, err := c.Follow(context.Background(), relay.address, &distribution.FollowRequest{
		Follower: "p1", Kind: distribution.KindProxy, Session: "none", HoldMs: 100,
	})
	if !errors.Is(err, distribution.ErrUnknownSession) {
		t.Errorf("got error %v, want ErrUnknownSession", err)
	}
	relay.kill()
	relay = startRelay(t, "relay", relay.address, source.address)
	eventually(t, "new session", func() bool { return p.Stats().Sessions >= 2 })
	eventually(t, "resource at the relay", func() bool { return relay.Stats().Resources == 1 })
	p.awaitVersion(put(t, source.address, item("b1", "2")))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshots != 1 || p.deltas != 1 {
		t.Errorf("got %d snapshots and %d deltas, want 1 and 1", p.snapshots, p.deltas)
	}
}

// A relay stops responding while its connections stay open. The read times out and the proxy reads
// from the other relay. If no relay responds, UpdateFailed is called.
func TestSilentRelay(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	relay := startRelay(t, "relay", "", source.address)
	var forwarders []*forwarder
	var addresses []string
	for range 2 {
		l := startForwarder(t, relay.address)
		forwarders = append(forwarders, l)
		addresses = append(addresses, l.address)
	}
	p := startProxy(t, "p1", addresses...)
	p.awaitVersion(put(t, source.address, item("b1", "1")))
	used := 0
	if p.Health().Relay == addresses[1] {
		used = 1
	}
	forwarders[used].stall()
	p.awaitVersion(put(t, source.address, item("b1", "2")))
	forwarders[1-used].stall()
	p.await("UpdateFailed", func() bool { return p.failures > 0 })
	if p.Health().SilentSince.IsZero() {
		t.Error("Health.SilentSince is zero although no relay responds")
	}
}

// A relay responds but has lost its upstream. Its proxies switch to a relay that has an upstream,
// and receive updates there. If there is no such relay, the proxies stay at their relay and keep
// their versions.
func TestRelayDisconnectedFromSource(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	var forwarders []*forwarder
	var addresses []string
	for _, name := range []string{"relay-1", "relay-2"} {
		l := startForwarder(t, source.address)
		forwarders = append(forwarders, l)
		addresses = append(addresses, startRelay(t, name, "", l.address).address)
	}
	p := startProxy(t, "p1", addresses...)
	first := put(t, source.address, item("b1", "1"))
	p.awaitVersion(first)
	for _, address := range addresses { // makes each relay follow the resource
		startProxy(t, "beside "+address, address).awaitVersion(first)
	}
	used := 0
	if p.Health().Relay == addresses[1] {
		used = 1
	}
	forwarders[used].stall()
	last := put(t, source.address, urgently(item("b1", "2")))
	p.awaitVersion(last)
	if h := p.Health(); h.Relay != addresses[1-used] || p.Stats().Switches != 1 {
		t.Errorf("got relay %s after %d switches, want 1 switch from the disconnected relay %s",
			h.Relay, p.Stats().Switches, addresses[used])
	}
	forwarders[1-used].stall()
	eventually(t, "disconnected relay reported", func() bool { return p.Health().Disconnected })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != last || p.snapshots != 1 {
		t.Errorf("got version %v after %d snapshots, want %v after 1", p.version, p.snapshots, last)
	}
}

// A relay is not ready until its upstream has responded, because it has nothing to serve.
func TestNewRelayIsDisconnectedUntilUpstreamAnswers(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	stalled := startForwarder(t, source.address)
	stalled.stall()
	c := httpapi.NewClient(nil)
	defer c.Close()
	var overloaded *httpapi.OverloadedError
	disconnected := startRelay(t, "disconnected", "", stalled.address)
	if err := c.Ready(context.Background(), disconnected.address); !errors.As(err, &overloaded) {
		t.Errorf("Ready of a relay without an upstream: got error %v, want an OverloadedError", err)
	}
	relay := startRelay(t, "relay", "", startForwarder(t, source.address).address)
	eventually(t, "relay ready", func() bool { return c.Ready(context.Background(), relay.address) == nil })
}
