package node

import (
	"context"
	"errors"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/httpapi"
)

// After a relay's failure its proxy goes on at the other relay from the version that it has, by
// deltas alone, and returns once the relay is up again.
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
	// The other relay has the resource too, by another proxy.
	for _, address := range addresses {
		startProxy(t, "beside "+address, address).awaitVersion(source.store.Version(resource))
	}
	first := p.Health().Relay
	relays[first].kill()
	p.awaitVersion(put(t, source.address, urgently(item("b1", "2"))))
	p.mu.Lock()
	if p.snapshots != 1 || p.deltas != 1 {
		t.Errorf("%d snapshots and %d deltas, 1 and 1 expected", p.snapshots, p.deltas)
	}
	p.mu.Unlock()
	if second := p.Health().Relay; second == first || p.Stats().Switches != 1 {
		t.Errorf("reads from %s, the failed one is %s; %d switches", second, first, p.Stats().Switches)
	}

	startRelay(t, "relay again", first, source.address)
	eventually(t, "the return to the preferred relay", func() bool { return p.Health().Relay == first })
	p.awaitVersion(put(t, source.address, item("b2", "3")))
	eventually(t, "one proxy is counted once", func() bool {
		progress := statusOf(source, source.store.Version(resource))
		// With the two beside it, one of which has lost its relay for now.
		return progress.Proxies == 3 && progress.Done()
	})
}

// A relay that restarts knows no session: its proxies open new ones with all positions, and get no
// snapshot and nothing older.
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
		t.Errorf("%v", err)
	}
	relay.kill()
	relay = startRelay(t, "relay", relay.address, source.address)
	eventually(t, "a new session", func() bool { return p.Stats().Sessions >= 2 })
	eventually(t, "the relay has the resource", func() bool { return relay.Stats().Resources == 1 })
	p.awaitVersion(put(t, source.address, item("b1", "2")))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshots != 1 || p.deltas != 1 {
		t.Errorf("%d snapshots and %d deltas, 1 and 1 expected", p.snapshots, p.deltas)
	}
}

// A relay falls silent without its connections breaking: the read times out and the other relay is
// asked. With all silent UpdateFailed is called.
func TestSilentRelay(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	relay := startRelay(t, "relay", "", source.address)
	var links []*link
	var addresses []string
	for range 2 {
		l := startLink(t, relay.address)
		links = append(links, l)
		addresses = append(addresses, l.address)
	}
	p := startProxy(t, "p1", addresses...)
	p.awaitVersion(put(t, source.address, item("b1", "1")))
	used := 0
	if p.Health().Relay == addresses[1] {
		used = 1
	}
	links[used].silence()
	p.awaitVersion(put(t, source.address, item("b1", "2")))
	links[1-used].silence()
	p.await("UpdateFailed", func() bool { return p.failures > 0 })
	if p.Health().SilentSince.IsZero() {
		t.Error("no relay answers, and Health does not say so")
	}
}

// A relay answers and hears from no upstream: its proxies switch to one that does, and get updates
// there. If there is none they stay, and keep what they have.
func TestRelayDisconnectedFromSource(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	var links []*link
	var addresses []string
	for _, name := range []string{"relay-1", "relay-2"} {
		l := startLink(t, source.address)
		links = append(links, l)
		addresses = append(addresses, startRelay(t, name, "", l.address).address)
	}
	p := startProxy(t, "p1", addresses...)
	first := put(t, source.address, item("b1", "1"))
	p.awaitVersion(first)
	for _, address := range addresses { // so that each relay knows the version
		startProxy(t, "beside "+address, address).awaitVersion(first)
	}
	used := 0
	if p.Health().Relay == addresses[1] {
		used = 1
	}
	links[used].silence()
	last := put(t, source.address, urgently(item("b1", "2")))
	p.awaitVersion(last)
	if h := p.Health(); h.Relay != addresses[1-used] || p.Stats().Switches != 1 {
		t.Errorf("reads from %s, %s is disconnected", h.Relay, addresses[used])
	}
	links[1-used].silence()
	eventually(t, "all relays are disconnected", func() bool { return p.Health().Disconnected })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != last || p.snapshots != 1 {
		t.Errorf("version %v after %d snapshots, %v after 1 expected", p.version, p.snapshots, last)
	}
}

// A relay is not ready before its upstream has answered: it has nothing to serve.
func TestNewRelayIsDisconnectedUntilUpstreamAnswers(t *testing.T) {
	source := startSource(t, t.TempDir(), "")
	silent := startLink(t, source.address)
	silent.silence()
	c := httpapi.NewClient(nil)
	defer c.Close()
	var overloaded *httpapi.OverloadedError
	disconnected := startRelay(t, "disconnected", "", silent.address)
	if err := c.Ready(context.Background(), disconnected.address); !errors.As(err, &overloaded) {
		t.Errorf("disconnected from the start: %v", err)
	}
	relay := startRelay(t, "relay", "", startLink(t, source.address).address)
	eventually(t, "the relay is ready", func() bool { return c.Ready(context.Background(), relay.address) == nil })
}
