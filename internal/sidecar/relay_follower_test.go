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

// decodeRelayed returns a configuration whose services follow the lists of their names by relays,
// unless they say otherwise.
func decodeRelayed(t *testing.T, relays []string, services ...serviceText) *config.App {
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

// follower returns the sidecar's present follower.
func (r *runningSidecar) follower() *follow.Follower {
	r.shared.relays.mu.Lock()
	defer r.shared.relays.mu.Unlock()
	return r.shared.relays.follower
}

// waitForListVersion waits until a relay reports that one proxy has a list in force, in a version.
func waitForListVersion(t *testing.T, relay *nodetest.Node, list string, v distribution.Version) {
	t.Helper()
	waitUntil(t, func() bool {
		counts := relay.Status("lists/" + list).Counts
		return len(counts) == 1 && counts[0] == distribution.VersionCount{Version: v, Proxies: 1}
	})
}

// wantStatus sends a request that must be answered with a status.
func wantStatus(t *testing.T, p *runningSidecar, target string, want int) {
	t.Helper()
	if resp, _ := sendRequest(t, p, "GET", target); resp.StatusCode != want {
		t.Errorf("%s: %d, want %d", target, resp.StatusCode, want)
	}
}

// The one follower of a sidecar stays while services are added, removed and changed. A service that
// is replaced begins with the list in force: no further snapshot is read.
func TestReloadKeepsFollower(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
	b := backend(t, standin.Echo)
	one := source.Write(t, "lists/one", listItem("b", b.Addr(), "serving"))
	two := source.Write(t, "lists/two", listItem("b", b.Addr(), "serving"))
	app := func(services ...serviceText) *config.App {
		return decodeRelayed(t, []string{relay.Address}, services...)
	}
	p := startSidecar(t, app(serviceText{name: "one", classes: safeClass}))
	waitForListVersion(t, relay, "one", one)
	follower := p.follower()

	mustReload(t, p, app(serviceText{name: "one", classes: safeClass}, serviceText{name: "two", classes: safeClass}))
	waitForListVersion(t, relay, "two", two)
	wantStatus(t, p, "/two", 200)
	mustReload(t, p, app(serviceText{name: "one", classes: unsafeClass})) // another pool over the same list
	wantStatus(t, p, "/one", 200)
	waitUntil(t, func() bool {
		counts := relay.Status("lists/two").Counts
		return len(counts) == 0 || counts[0].Proxies == 0
	})
	wantStatus(t, p, "/two", 404)

	drained := source.Write(t, "lists/one", listItem("b", b.Addr(), "draining"))
	waitForListVersion(t, relay, "one", drained)
	served := b.Requests()
	wantStatus(t, p, "/one", 503)
	if b.Requests() != served {
		t.Error("a backend whose drain is in force got a request")
	}
	if s := follower.Stats(); p.follower() != follower || s.Sessions != 1 || s.SnapshotUpdates != 2 {
		t.Errorf("%d sessions and %d snapshots, want 1 and 2", s.Sessions, s.SnapshotUpdates)
	}
}

// After a reload that names other relays another follower resumes from the versions in force;
// without relays there is no follower.
func TestNewRelaysResumeFromVersionsInForce(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	first := nodetest.StartRelay(t, "first", "127.0.0.1:0", source.Address)
	second := nodetest.StartRelay(t, "second", "127.0.0.1:0", source.Address)
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	version := source.Write(t, "lists/one", listItem("a", a.Addr(), "serving"))
	one := serviceText{name: "one", classes: safeClass}
	p := startSidecar(t, decodeRelayed(t, []string{first.Address}, one))
	waitForListVersion(t, first, "one", version)
	wantStatus(t, p, "/one", 200)

	mustReload(t, p, decodeRelayed(t, []string{second.Address}, one))
	waitForListVersion(t, second, "one", version)
	waitUntil(t, func() bool { // the relay has deltas only since a version that it has seen
		u := second.Resource("lists/one")
		return u != nil && u.Version == version
	})
	version = source.Write(t, "lists/one", listItem("a", a.Addr(), "draining"), listItem("b", b.Addr(), "serving"))
	waitForListVersion(t, second, "one", version)
	served := a.Requests()
	wantStatus(t, p, "/one", 200)
	if a.Requests() != served || b.Requests() != 1 {
		t.Errorf("the change is not in force: %d and %d requests", a.Requests()-served, b.Requests())
	}
	if s := p.follower().Stats(); s.SnapshotUpdates != 0 || s.Updates != 1 {
		t.Errorf("%d snapshots of %d updates, want 0 of 1", s.SnapshotUpdates, s.Updates)
	}

	second.Kill()
	wantStatus(t, p, "/one", 200)
	mustReload(t, p, decodeRelayed(t, nil, serviceText{name: "one", classes: safeClass, source: endpointsAt(b.Addr())}))
	if p.follower() != nil {
		t.Error("without relays there is a follower")
	}
	wantStatus(t, p, "/one", 200)
}

// A sidecar that starts while no relay answers serves by the list that an earlier one has cached;
// once a relay answers it reads a snapshot.
func TestCachedListServesWhileRelaysAreDown(t *testing.T) {
	t.Parallel()
	source := nodetest.StartSource(t)
	relay := nodetest.StartRelay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	version := source.Write(t, "lists/one", listItem("a", a.Addr(), "serving"))
	app := decodeRelayed(t, []string{relay.Address}, serviceText{name: "one", classes: safeClass})
	app.StateDir, app.ListAge = t.TempDir(), time.Minute
	earlier := startSidecar(t, app)
	waitForListVersion(t, relay, "one", version)
	earlier.stop()
	_ = receive(t, "end of the earlier sidecar", earlier.done)

	relay.Kill()
	p := startSidecar(t, app)
	if !p.isHealthy() {
		t.Error("not ready at once")
	}
	wantStatus(t, p, "/one", 200)
	version = source.Write(t, "lists/one", listItem("a", a.Addr(), "draining"), listItem("b", b.Addr(), "serving"))
	relay = nodetest.StartRelay(t, "relay", relay.Address, source.Address)
	waitForListVersion(t, relay, "one", version)
	served := a.Requests()
	wantStatus(t, p, "/one", 200)
	if s := p.follower().Stats(); a.Requests() != served || b.Requests() != 1 || s.SnapshotUpdates != 1 {
		t.Errorf("%d and %d requests, %d snapshots", a.Requests()-served, b.Requests(), s.SnapshotUpdates)
	}
}
