package sidecar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/standin"
)

// decodeRelayed returns a configuration with relays. Services without a source follow the lists of
// their own names from the relays.
func decodeRelayed(t *testing.T, relays []string, services ...serviceTOML) *config.App {
	t.Helper()
	top := ""
	for i := range services {
		if services[i].source == "" {
			services[i].source = "membership = \"relay\""
		}
		top += routeTo(services[i].name)
	}
	if len(relays) > 0 {
		top += fmt.Sprintf("[distribution]\nname = \"sidecar\"\nrelays = [\"%s\"]\n", strings.Join(relays, `", "`))
	}
	return decodeVersion2(t, top, services...)
}

// follower returns the sidecar's current follower, or nil.
func (r *runningSidecar) follower() *follow.Follower {
	r.shared.relays.mu.Lock()
	defer r.shared.relays.mu.Unlock()
	return r.shared.relays.follower
}

// waitForListVersion waits until a relay reports that a single proxy has applied version v of a
// list.
func waitForListVersion(t *testing.T, relay *nodetest.Node, list string, v distribution.Version) {
	t.Helper()
	waitUntil(t, func() bool {
		counts := relay.Status("lists/" + list).Counts
		return len(counts) == 1 && counts[0] == distribution.VersionCount{Version: v, Proxies: 1}
	})
}

// wantStatus sends a request and checks the status of the response.
func wantStatus(t *testing.T, p *runningSidecar, target string, want int) {
	t.Helper()
	if resp, _ := sendRequest(t, p, "GET", target); resp.StatusCode != want {
		t.Errorf("%s: got %d, want %d", target, resp.StatusCode, want)
	}
}

// A sidecar keeps its follower while services are added, removed and changed. A service that
// replaces another starts with the applied list, so the follower reads no further snapshot.
func TestReloadKeepsFollower(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
	b := startBackend(t, standin.Echo)
	one := source.Write(t, "lists/one", listItem("b", b.Addr(), "serving"))
	two := source.Write(t, "lists/two", listItem("b", b.Addr(), "serving"))
	app := func(services ...serviceTOML) *config.App {
		return decodeRelayed(t, []string{relay.Address}, services...)
	}
	p := startSidecar(t, app(serviceTOML{name: "one", classes: safeClass}))
	waitForListVersion(t, relay, "one", one)
	follower := p.follower()

	mustReload(t, p, app(serviceTOML{name: "one", classes: safeClass}, serviceTOML{name: "two", classes: safeClass}))
	waitForListVersion(t, relay, "two", two)
	wantStatus(t, p, "/two", 200)
	mustReload(t, p, app(serviceTOML{name: "one", classes: unsafeClass})) // a new pool with the same list
	wantStatus(t, p, "/one", 200)
	waitUntil(t, func() bool {
		counts := relay.Status("lists/two").Counts
		return len(counts) == 0 || counts[0].Proxies == 0
	})
	wantStatus(t, p, "/two", 404)

	drained := source.Write(t, "lists/one", listItem("b", b.Addr(), "draining"))
	waitForListVersion(t, relay, "one", drained)
	before := b.Requests()
	wantStatus(t, p, "/one", 503)
	if b.Requests() != before {
		t.Error("a draining backend got a request")
	}
	if s := follower.Stats(); p.follower() != follower || s.Sessions != 1 || s.SnapshotUpdates != 2 {
		t.Errorf("%d sessions and %d snapshots, want 1 and 2 by the same follower", s.Sessions, s.SnapshotUpdates)
	}
}

// After a reload with other relays a new follower resumes from the applied versions. After a reload
// without relays there is no follower.
func TestNewRelaysResumeFromVersionsInForce(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	first := nodetest.StartRelay(t, "first", "127.0.0.1:0", source.Address)
	second := nodetest.StartRelay(t, "second", "127.0.0.1:0", source.Address)
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	version := source.Write(t, "lists/one", listItem("a", a.Addr(), "serving"))
	one := serviceTOML{name: "one", classes: safeClass}
	p := startSidecar(t, decodeRelayed(t, []string{first.Address}, one))
	waitForListVersion(t, first, "one", version)
	wantStatus(t, p, "/one", 200)

	mustReload(t, p, decodeRelayed(t, []string{second.Address}, one))
	waitForListVersion(t, second, "one", version)
	waitUntil(t, func() bool { // the relay has deltas only after a version that it has received
		u := second.Resource("lists/one")
		return u != nil && u.Version == version
	})
	version = source.Write(t, "lists/one", listItem("a", a.Addr(), "draining"), listItem("b", b.Addr(), "serving"))
	waitForListVersion(t, second, "one", version)
	before := a.Requests()
	wantStatus(t, p, "/one", 200)
	if a.Requests() != before || b.Requests() != 1 {
		t.Errorf("update not applied: %d and %d requests, want 0 and 1", a.Requests()-before, b.Requests())
	}
	if s := p.follower().Stats(); s.SnapshotUpdates != 0 || s.Updates != 1 {
		t.Errorf("%d snapshots in %d updates, want 0 in 1", s.SnapshotUpdates, s.Updates)
	}

	second.Kill()
	wantStatus(t, p, "/one", 200)
	mustReload(t, p, decodeRelayed(t, nil, serviceTOML{name: "one", classes: safeClass, source: endpointsAt(b.Addr())}))
	if p.follower() != nil {
		t.Error("got a follower without relays")
	}
	wantStatus(t, p, "/one", 200)
}

// A sidecar that starts while no relay responds serves with the list that an earlier process has
// cached. When a relay responds again, the sidecar reads a snapshot.
func TestCachedListIsUsedWhileRelaysAreDown(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := startBackend(t, standin.Echo), startBackend(t, standin.Echo)
	version := source.Write(t, "lists/one", listItem("a", a.Addr(), "serving"))
	app := decodeRelayed(t, []string{relay.Address}, serviceTOML{name: "one", classes: safeClass})
	app.StateDir, app.MaxListAge = t.TempDir(), time.Minute
	earlier := startSidecar(t, app)
	waitForListVersion(t, relay, "one", version)
	earlier.stop()
	_ = receive(t, "end of the earlier sidecar", earlier.done)

	relay.Kill()
	p := startSidecar(t, app)
	if !p.isHealthy() {
		t.Error("not healthy right after the start")
	}
	wantStatus(t, p, "/one", 200)
	version = source.Write(t, "lists/one", listItem("a", a.Addr(), "draining"), listItem("b", b.Addr(), "serving"))
	relay = nodetest.StartRelay(t, "relay", relay.Address, source.Address)
	waitForListVersion(t, relay, "one", version)
	before := a.Requests()
	wantStatus(t, p, "/one", 200)
	if s := p.follower().Stats(); a.Requests() != before || b.Requests() != 1 || s.SnapshotUpdates != 1 {
		t.Errorf(
			"%d and %d requests, %d snapshots, want 0 and 1 requests, 1 snapshot",
			a.Requests()-before, b.Requests(), s.SnapshotUpdates,
		)
	}
}
