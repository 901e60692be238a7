package sidecar

import (
	"io"
	"net/http"
	"testing"

	"fernlanding/internal/standin"
	"fernlanding/internal/standin/backendtest"
)

// An ID belongs to the request whose head came first, from then on until some time after its answer.
// Another client's request with the ID was served while the body of the first was still being read,
// and again as soon as the first had its answer (review case 10).
func TestCopyOfRequestIDIsRejected(t *testing.T) {
	bodies := make(chan string, 10)
	b := startBackend(t, func(c *standin.Call) bool {
		bodies <- string(c.Content)
		return standin.Echo(c)
	})
	p := startProxy(
		t, startDiscovery(t).address, 200, listJSON(1, true, endpointJSON("a", b.Addr(), "SERVING")),
	)
	wantRejected := func(stage string) {
		t.Helper()
		other := connect(t, p)
		other.send(t, postHead("1", "Content-Length: 4")+"evil")
		if resp, _ := other.readResponse(t); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: copy got %s, want 400", stage, resp.Status)
		}
	}
	first := connect(t, p)
	first.send(t, postHead("1", "Content-Length: 4")+"goo")
	waitUntil(t, func() bool { return p.stats().Open == 1 && p.stats().Silent == 0 })
	wantRejected("while the body is read")
	first.send(t, "d")
	if resp, _ := first.readResponse(t); resp.StatusCode != http.StatusOK {
		t.Errorf("first request: got %s, want 200", resp.Status)
	}
	wantRejected("after the answer")
	if body := receive(t, "request", bodies); body != "good" || len(bodies) != 0 {
		t.Errorf("backend got %q and %d more requests, want the first request alone", body, len(bodies))
	}
}

// The ID of a request that is never completed is free again: nothing was forwarded, and the client
// may send the request once more.
func TestIDOfIncompleteRequestIsReleased(t *testing.T) {
	p, _ := startProxyWithBackend(t, backendtest.RespondWith(servedResponse, true))
	first := connect(t, p)
	first.send(t, postHead("1", "Content-Length: 4")+"goo")
	waitUntil(t, func() bool { return p.stats().Open == 1 && p.stats().Silent == 0 })
	_ = first.Close()
	waitUntil(t, func() bool { return p.stats().Open == 0 })
	again := connect(t, p)
	again.send(t, postHead("1", "Content-Length: 4")+"good")
	if resp, _ := again.readResponse(t); resp.StatusCode != http.StatusOK {
		t.Errorf("got %s, want 200", resp.Status)
	}
}

// A client that left may have had its request run: its ID is not accepted again.
func TestIDOfAbandonedRequestIsRejected(t *testing.T) {
	received := make(chan struct{}, 10)
	p, _ := startProxyWithBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		received <- struct{}{}
		awaitClose(w)
		return false
	})
	first := connect(t, p)
	first.send(t, postHead("1", "Content-Length: 0"))
	receive(t, "request", received)
	_ = first.Close()
	waitUntil(t, func() bool { return p.platformService().pool.Stats().Requests == 0 })
	again := connect(t, p)
	again.send(t, postHead("1", "Content-Length: 0"))
	if resp, _ := again.readResponse(t); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("got %s, want 400", resp.Status)
	}
	if len(received) != 0 {
		t.Error("the request ran twice")
	}
}
