package sidecar

import (
	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/distribution/node/nodetest"
	"fernlanding/internal/standin"
	"fmt"
	"strings"
	"testing"
	"time"
)

// relayedApp is a configuration whose services follow the lists of their names by relays, where they don't say otherwise.
func relayedApp(t *testing.T, relays []string, services ...svc) *config.App {
	t.Helper()
	top := ""
	for i := range services {
		if services[i].from == "" {
			services[i].from = "membership = \"relay\""
		}
		top += to(services[i].name)
	}
	if len(relays) > 0 {
		top += fmt.Sprintf("[distribution]\nname = \"sidecar\"\nrelays = [\"%s\"]\n", strings.Join(relays, `", "`))
	}
	return decode2(t, top, services...)
}

// follower is the follower that a sidecar has now.
func (r *running) follower() *follow.Follower {
	r.with.relays.mu.Lock()
	defer r.with.relays.mu.Unlock()
	return r.with.relays.follower
}

// inForce waits until a relay has it that a version of a list is in force at one proxy alone.
func inForce(t *testing.T, relay *nodetest.Node, list string, v distribution.Version) {
	t.Helper()
	waitUntil(t, func() bool {
		counts := relay.Status("lists/" + list).Counts
		return len(counts) == 1 && counts[0] == distribution.VersionCount{Version: v, Proxies: 1}
	})
}

func asks(t *testing.T, p *running, target string, want int) {
	t.Helper()
	if resp, _ := ask(t, p, "GET", target); resp.StatusCode != want {
		t.Errorf("%s: %d, want %d", target, resp.StatusCode, want)
	}
}

// The one follower of a sidecar stays while services come, go and change. A service that is replaced begins with the list
// as it stands: nothing is read as a whole again.
func TestReloadsKeepTheFollower(t *testing.T) {
	t.Parallel()
	source := nodetest.Source(t)
	relay := nodetest.Relay(t, "relay", "127.0.0.1:0", source.Address)
	b := backend(t, standin.Echo)
	one := source.Write(t, "lists/one", item("b", b.Addr(), "serving"))
	two := source.Write(t, "lists/two", item("b", b.Addr(), "serving"))
	app := func(services ...svc) *config.App { return relayedApp(t, []string{relay.Address}, services...) }
	p := start(t, app(svc{name: "one", classes: safeClass}))
	inForce(t, relay, "one", one)
	f := p.follower()

	reloads(t, p, app(svc{name: "one", classes: safeClass}, svc{name: "two", classes: safeClass}))
	inForce(t, relay, "two", two)
	asks(t, p, "/two", 200)
	reloads(t, p, app(svc{name: "one", classes: unsafeClass})) // another pool over the same list
	asks(t, p, "/one", 200)
	waitUntil(t, func() bool {
		counts := relay.Status("lists/two").Counts
		return len(counts) == 0 || counts[0].Proxies == 0
	})
	asks(t, p, "/two", 404)

	drained := source.Write(t, "lists/one", item("b", b.Addr(), "draining"))
	inForce(t, relay, "one", drained)
	served := b.Requests()
	asks(t, p, "/one", 503)
	if b.Requests() != served {
		t.Error("a backend whose drain is in force got a request")
	}
	if s := f.Stats(); p.follower() != f || s.Sessions != 1 || s.FullUpdates != 2 {
		t.Errorf("%d sessions and %d whole lists, want 1 and 2", s.Sessions, s.FullUpdates)
	}
}

// Where a reload names other relays, another follower goes on from the versions in force; where it names none
// there is no follower.
func TestOtherRelaysResume(t *testing.T) {
	t.Parallel()
	source := nodetest.Source(t)
	first := nodetest.Relay(t, "first", "127.0.0.1:0", source.Address)
	second := nodetest.Relay(t, "second", "127.0.0.1:0", source.Address)
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	version := source.Write(t, "lists/one", item("a", a.Addr(), "serving"))
	one := svc{name: "one", classes: safeClass}
	p := start(t, relayedApp(t, []string{first.Address}, one))
	inForce(t, first, "one", version)
	asks(t, p, "/one", 200)

	reloads(t, p, relayedApp(t, []string{second.Address}, one))
	inForce(t, second, "one", version)
	waitUntil(t, func() bool { // what the relay has not seen before it can't tell the changes since
		u := second.Resource("lists/one")
		return u != nil && u.Version == version
	})
	version = source.Write(t, "lists/one", item("a", a.Addr(), "draining"), item("b", b.Addr(), "serving"))
	inForce(t, second, "one", version)
	served := a.Requests()
	asks(t, p, "/one", 200)
	if a.Requests() != served || b.Requests() != 1 {
		t.Errorf("the change did not hold: %d and %d requests", a.Requests()-served, b.Requests())
	}
	if s := p.follower().Stats(); s.FullUpdates != 0 || s.Updates != 1 {
		t.Errorf("%d whole lists of %d updates, want 0 of 1", s.FullUpdates, s.Updates)
	}

	second.Kill()
	asks(t, p, "/one", 200)
	reloads(t, p, relayedApp(t, nil, svc{name: "one", classes: safeClass, from: at(b.Addr())}))
	if p.follower() != nil {
		t.Error("without relays there is a follower")
	}
	asks(t, p, "/one", 200)
}

// A sidecar that starts while no relay answers serves by the list that an earlier one kept; once one answers it reads the
// list as a whole.
func TestAKeptListWithoutRelays(t *testing.T) {
	t.Parallel()
	source := nodetest.Source(t)
	relay := nodetest.Relay(t, "relay", "127.0.0.1:0", source.Address)
	a, b := backend(t, standin.Echo), backend(t, standin.Echo)
	version := source.Write(t, "lists/one", item("a", a.Addr(), "serving"))
	app := relayedApp(t, []string{relay.Address}, svc{name: "one", classes: safeClass})
	app.StateDir, app.ListAge = t.TempDir(), time.Minute
	earlier := start(t, app)
	inForce(t, relay, "one", version)
	earlier.stop()
	wait(t, "end of the earlier one", earlier.done)

	relay.Kill()
	p := start(t, app)
	if !p.healthy() {
		t.Error("not ready at once")
	}
	asks(t, p, "/one", 200)
	version = source.Write(t, "lists/one", item("a", a.Addr(), "draining"), item("b", b.Addr(), "serving"))
	relay = nodetest.Relay(t, "relay", relay.Address, source.Address)
	inForce(t, relay, "one", version)
	served := a.Requests()
	asks(t, p, "/one", 200)
	if s := p.follower().Stats(); a.Requests() != served || b.Requests() != 1 || s.FullUpdates != 1 {
		t.Errorf("%d and %d requests, %d whole lists", a.Requests()-served, b.Requests(), s.FullUpdates)
	}
}
