package sidecar

import (
	"fmt"
	"testing"

	"fernlanding/internal/standin"
	"fernlanding/internal/standin/backendtest"
)

// Each answer of discovery is applied. After one that is invalid or breaks off the list in force
// stays and the next query is for a snapshot.
func TestWatchSurvivesInvalidAndBrokenResponses(t *testing.T) {
	a, b := backendtest.Start(t, backendtest.Says(served, true)), backendtest.Start(t, backendtest.Says(served, true))
	d := startDiscovery(t)
	p := startProxy(t, d.address, 200, "")
	health := func() int {
		c := connect(t, p)
		c.send(t, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := c.answer(t)
		return resp.StatusCode
	}
	send := func(id string) int {
		c := connect(t, p)
		c.send(t, lookRequest(id, 4000))
		resp, _ := c.answer(t)
		return resp.StatusCode
	}
	wantQuery := func(want string) {
		t.Helper()
		if got := receive(t, "call", d.calls); got != want {
			t.Errorf("query %q, want %q", got, want)
		}
	}
	wantQuery("")
	if got := health(); got != 503 {
		t.Errorf("healthy without a list: %d", got)
	}
	d.replies <- listJSON(5, true, endpointJSON("a", a.Addr, "SERVING"))
	wantQuery("from=5&hold_ms=2000")
	if got := health(); got != 200 {
		t.Errorf("not healthy with a list: %d", got)
	}
	for _, invalid := range []string{
		`{"index":6,"snap`, listJSON(6, false, endpointJSON("a", "nowhere", "SERVING")),
		listJSON(6, false, endpointJSON("a", a.Addr, "RESTING")), "",
	} {
		d.replies <- invalid
		if invalid == "" {
			wantQuery("from=5&hold_ms=2000") // net/http retries by itself; a query may come twice
		} else {
			wantQuery("")
		}
		d.replies <- listJSON(5, true, endpointJSON("a", a.Addr, "SERVING"))
		wantQuery("from=5&hold_ms=2000")
		if got := send("x"); got != 200 {
			t.Errorf("after %q: %d", invalid, got)
		}
	}
	d.replies <- listJSON(7, false, endpointJSON("a", a.Addr, "DRAINING"), endpointJSON("b", b.Addr, "SERVING"))
	wantQuery("from=7&hold_ms=2000")
	served := a.Requests.Load()
	for i := range 20 {
		if got := send(fmt.Sprint("y", i)); got != 200 {
			t.Errorf("after the drain: %d", got)
		}
	}
	if a.Requests.Load() != served || b.Requests.Load() != 20 {
		t.Errorf("%d requests to a draining backend", a.Requests.Load()-served)
	}
}

// When discovery holds a watch and never answers, the next poll is for a snapshot, on another
// connection. When the proxy waited for the silent connection, 13 s, it sent requests to draining
// backends.
func TestSilentDiscoveryIsPolledAgain(t *testing.T) {
	t.Parallel()
	a := backendtest.Start(t, backendtest.Says(served, true))
	d := startDiscovery(t)
	p := startProxy(t, d.address, 200, "")
	previous, reply := "none", ""
	for i, want := range []string{"", "from=5&hold_ms=2000", "", "from=6&hold_ms=2000"} {
		got := receive(t, "call", d.calls)
		// An answer that takes over 100 ms, as on a busy machine, has the sidecar repeat its poll.
		for repeats := 0; got != want && got == previous && repeats < 10; repeats++ {
			if got == "" {
				d.replies <- reply
			}
			got = receive(t, "call", d.calls)
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
	if resp, _ := c.answer(t); resp.StatusCode != 200 {
		t.Errorf("got %s", resp.Status)
	}
}

// A reload names another discovery: its snapshot replaces the old list, whatever their versions,
// the old watch ends, and later answers of the old discovery are not applied. The old list is in
// force until then.
func TestReloadReplacesDiscovery(t *testing.T) {
	t.Parallel()
	a, b := backendtest.Start(t, backendtest.Says(served, true)), backendtest.Start(t, backendtest.Says(served, true))
	discoveries := []*fakeDiscovery{startDiscovery(t), startDiscovery(t)}
	p := startProxy(t, discoveries[0].address, 200, "")
	send := func(id string, of *backendtest.Backend) {
		t.Helper()
		before, c := of.Requests.Load(), connect(t, p)
		c.send(t, lookRequest(id, 4000))
		if resp, _ := c.answer(t); resp.StatusCode != 200 || of.Requests.Load() != before+1 {
			t.Errorf("%s: got %s, %d more requests", id, resp.Status, of.Requests.Load()-before)
		}
	}
	wantQuery := func(of *fakeDiscovery, want string) {
		t.Helper()
		if got := receive(t, "call", of.calls); got != want {
			t.Errorf("query %q, want %q", got, want)
		}
	}
	wantQuery(discoveries[0], "")
	discoveries[0].replies <- listJSON(50, true, endpointJSON("a", a.Addr, "SERVING"))
	wantQuery(discoveries[0], "from=50&hold_ms=2000")
	send("1", a)
	p.setDiscovery(discoveries[0].address) // the same again changes nothing
	p.setDiscovery(discoveries[1].address)
	wantQuery(discoveries[1], "")
	send("2", a)
	discoveries[1].replies <- listJSON(3, true, endpointJSON("b", b.Addr, "SERVING"))
	wantQuery(discoveries[1], "from=3&hold_ms=2000")
	send("3", b)
	for range 5 { // several in a row
		p.setDiscovery(discoveries[0].address)
		p.setDiscovery(discoveries[1].address)
	}
	p.setDiscovery(discoveries[0].address)
	for range cap(discoveries[0].replies) { // some may go to calls that have ended
		discoveries[0].replies <- listJSON(1, true, endpointJSON("a", a.Addr, "SERVING"))
	}
	waitUntil(t, func() bool {
		c := connect(t, p)
		c.send(t, lookRequest("again", 4000))
		c.answer(t)
		return a.Requests.Load() > 2
	})
	send("4", a)
	p.stop()
	p.setDiscovery(discoveries[1].address) // while it ends
	if err := receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	p.setDiscovery(discoveries[0].address) // and after
}

// A service whose discovery never answers affects neither the others nor the health check; its
// requests are shed at once, with a Retry-After.
func TestSilentDiscoveryOfOneServiceDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Silent(true)
	b := backend(t, standin.Echo)
	p := startVersion1(
		t, 200,
		routeTo("dead")+routeTo("live"),
		serviceText{name: "dead", classes: safeClass, source: catalogAt(d.Addr())},
		serviceText{name: "live", classes: safeClass, source: endpointsAt(b.Addr())},
	)
	if resp, _ := sendRequest(t, p, "GET", "/_health"); resp.StatusCode != 200 {
		t.Errorf("health: %s", resp.Status)
	}
	for range 20 {
		if resp, _ := sendRequest(t, p, "GET", "/live"); resp.StatusCode != 200 {
			t.Errorf("live: %s", resp.Status)
		}
		resp, _ := sendRequest(t, p, "GET", "/dead")
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("dead: %s %v", resp.Status, resp.Header)
		}
	}
	d.Put(standin.Member{Name: "x", Address: b.Addr()})
	d.Silent(false)
	waitUntil(t, func() bool {
		resp, _ := sendRequest(t, p, "GET", "/dead")
		return resp.StatusCode == 200
	})
}
