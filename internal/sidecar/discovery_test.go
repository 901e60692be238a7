package sidecar

import (
	"fmt"
	"testing"

	"fernlanding/internal/standin"
	"fernlanding/internal/standin/backendtest"
)

// Each response of discovery is applied. After an invalid or broken response the active list stays,
// and the next query is for a snapshot.
func TestWatchRecoversFromInvalidAndBrokenResponses(t *testing.T) {
	a := backendtest.Start(t, backendtest.RespondWith(servedResponse, true))
	b := backendtest.Start(t, backendtest.RespondWith(servedResponse, true))
	d := startDiscovery(t)
	p := startProxy(t, d.address, 200, "")
	health := func() int {
		c := connect(t, p)
		c.send(t, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := c.readResponse(t)
		return resp.StatusCode
	}
	send := func(id string) int {
		c := connect(t, p)
		c.send(t, lookRequest(id, 4000))
		resp, _ := c.readResponse(t)
		return resp.StatusCode
	}
	wantQuery := func(want string) {
		t.Helper()
		if got := receive(t, "query", d.queries); got != want {
			t.Errorf("query %q, want %q", got, want)
		}
	}
	wantQuery("")
	if got := health(); got != 503 {
		t.Errorf("health check without a list: got %d, want 503", got)
	}
	d.replies <- listJSON(5, true, endpointJSON("a", a.Addr, "SERVING"))
	wantQuery("from=5&hold_ms=2000")
	if got := health(); got != 200 {
		t.Errorf("health check with a list: got %d, want 200", got)
	}
	for i, invalid := range []string{
		`{"index":6,"snap`, listJSON(6, false, endpointJSON("a", "nowhere", "SERVING")),
		listJSON(6, false, endpointJSON("a", a.Addr, "RESTING")), "",
	} {
		d.replies <- invalid
		if invalid == "" {
			wantQuery("from=5&hold_ms=2000") // net/http itself may retry, so that the query is received twice
		} else {
			wantQuery("")
		}
		d.replies <- listJSON(5, true, endpointJSON("a", a.Addr, "SERVING"))
		wantQuery("from=5&hold_ms=2000")
		if got := send(fmt.Sprint("x", i)); got != 200 {
			t.Errorf("after %q: got %d, want 200", invalid, got)
		}
	}
	d.replies <- listJSON(7, false, endpointJSON("a", a.Addr, "DRAINING"), endpointJSON("b", b.Addr, "SERVING"))
	wantQuery("from=7&hold_ms=2000")
	before := a.Requests.Load()
	for i := range 20 {
		if got := send(fmt.Sprint("y", i)); got != 200 {
			t.Errorf("after the drain: got %d, want 200", got)
		}
	}
	if a.Requests.Load() != before || b.Requests.Load() != 20 {
		t.Errorf(
			"draining backend got %d requests, want 0; serving backend got %d, want 20",
			a.Requests.Load()-before, b.Requests.Load(),
		)
	}
}

// If discovery never responds to a watch, the next poll is for a snapshot, on a new connection. A
// proxy that waits 13 s for the unresponsive connection sends requests to draining backends
// meanwhile.
func TestUnresponsiveDiscoveryIsPolledAgain(t *testing.T) {
	t.Parallel()
	a := backendtest.Start(t, backendtest.RespondWith(servedResponse, true))
	d := startDiscovery(t)
	p := startProxy(t, d.address, 200, "")
	previous, reply := "none", ""
	for i, want := range []string{"", "from=5&hold_ms=2000", "", "from=6&hold_ms=2000"} {
		got := receive(t, "query", d.queries)
		// The sidecar repeats a poll whose response takes more than 100 ms, as on a busy machine.
		for repeats := 0; got != want && got == previous && repeats < 10; repeats++ {
			if got == "" {
				d.replies <- reply
			}
			got = receive(t, "query", d.queries)
		}
		if got != want {
			t.Fatalf("call %d: query %q, want %q", i, got, want)
		}
		if want == "" {
			reply = listJSON(5+i/2, true, endpointJSON("a", a.Addr, "SERVING"))
			d.replies <- reply
		}
		previous = want
	}
	c := connect(t, p)
	c.send(t, lookRequest("1", 4000))
	if resp, _ := c.readResponse(t); resp.StatusCode != 200 {
		t.Errorf("got %s, want 200", resp.Status)
	}
}

// After a reload with another discovery, the old watch ends and later responses of the old
// discovery are not applied. The old list stays active until the snapshot of the new discovery
// replaces it, regardless of the versions of the two lists.
func TestReloadReplacesDiscovery(t *testing.T) {
	t.Parallel()
	a := backendtest.Start(t, backendtest.RespondWith(servedResponse, true))
	b := backendtest.Start(t, backendtest.RespondWith(servedResponse, true))
	discoveries := []*fakeDiscovery{startDiscovery(t), startDiscovery(t)}
	p := startProxy(t, discoveries[0].address, 200, "")
	send := func(id string, want *backendtest.Backend) {
		t.Helper()
		before, c := want.Requests.Load(), connect(t, p)
		c.send(t, lookRequest(id, 4000))
		if resp, _ := c.readResponse(t); resp.StatusCode != 200 || want.Requests.Load() != before+1 {
			t.Errorf(
				"request %s: got %s, want 200; backend got %d requests, want 1",
				id, resp.Status, want.Requests.Load()-before,
			)
		}
	}
	wantQuery := func(d *fakeDiscovery, want string) {
		t.Helper()
		if got := receive(t, "query", d.queries); got != want {
			t.Errorf("query %q, want %q", got, want)
		}
	}
	wantQuery(discoveries[0], "")
	discoveries[0].replies <- listJSON(50, true, endpointJSON("a", a.Addr, "SERVING"))
	wantQuery(discoveries[0], "from=50&hold_ms=2000")
	send("1", a)
	p.setDiscovery(discoveries[0].address) // the same discovery changes nothing
	p.setDiscovery(discoveries[1].address)
	wantQuery(discoveries[1], "")
	send("2", a)
	discoveries[1].replies <- listJSON(3, true, endpointJSON("b", b.Addr, "SERVING"))
	wantQuery(discoveries[1], "from=3&hold_ms=2000")
	send("3", b)
	for range 5 { // several reloads without a pause
		p.setDiscovery(discoveries[0].address)
		p.setDiscovery(discoveries[1].address)
	}
	p.setDiscovery(discoveries[0].address)
	for range cap(discoveries[0].replies) { // canceled calls may receive some of them
		discoveries[0].replies <- listJSON(1, true, endpointJSON("a", a.Addr, "SERVING"))
	}
	waitUntil(t, func() bool {
		c := connect(t, p)
		c.send(t, lookRequest("again", 4000))
		c.readResponse(t)
		return a.Requests.Load() > 2
	})
	send("4", a)
	p.stop()
	p.setDiscovery(discoveries[1].address) // during the drain
	if err := receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	p.setDiscovery(discoveries[0].address) // after the end of Run
}

// A service whose discovery never responds affects neither the other services nor the health check.
// Its requests are shed at once with a Retry-After.
func TestUnresponsiveDiscoveryOfOneServiceDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.SetUnresponsive(true)
	b := startBackend(t, standin.Echo)
	p := startVersion1(
		t, 200,
		routeTo("dead")+routeTo("live"),
		serviceTOML{name: "dead", classes: safeClass, source: catalogAt(d.Addr())},
		serviceTOML{name: "live", classes: safeClass, source: endpointsAt(b.Addr())},
	)
	if resp, _ := sendRequest(t, p, "GET", "/_health"); resp.StatusCode != 200 {
		t.Errorf("health: got %s, want 200", resp.Status)
	}
	for range 20 {
		if resp, _ := sendRequest(t, p, "GET", "/live"); resp.StatusCode != 200 {
			t.Errorf("live: got %s, want 200", resp.Status)
		}
		resp, _ := sendRequest(t, p, "GET", "/dead")
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("dead: got %s %v, want 503 with Retry-After", resp.Status, resp.Header)
		}
	}
	d.Put(standin.Member{Name: "x", Address: b.Addr()})
	d.SetUnresponsive(false)
	waitUntil(t, func() bool {
		resp, _ := sendRequest(t, p, "GET", "/dead")
		return resp.StatusCode == 200
	})
}
