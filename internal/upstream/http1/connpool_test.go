package http1

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/socket"
	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
)

// The peer closes a kept connection; http.Transport would send a request that ran into it a second
// time.
func TestConnectionClosedByPeerIsNotReused(t *testing.T) {
	b := backendtest.Start(t, backendtest.Says(served, false)) // promises to stay, then closes
	u := newUpstream(4, b.Addr)
	for n := range 3 {
		if res := newAttempt(u, "a", waitLimit).run(); res.Status != logic.OK {
			t.Fatalf("attempt %d: got %v", n, res.Status)
		}
		receive(t, "close", b.Closed)
		waitUntil(t, func() bool { // the close has reached this end
			u.mu.Lock()
			defer u.mu.Unlock()
			return !socket.IsIdle(u.endpoints["a"].idle[0].Conn)
		})
	}
	if b.Requests.Load() != 3 || b.Conns.Load() != 3 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Conns.Load())
	}
	u.CloseExpired(time.Now())
	if u.open != 0 {
		t.Errorf("%d connections open after CloseExpired", u.open)
	}
}

// Where connections are cut while they are idle, and only the next request shows it, each one lost
// a non-idempotent request: every fifth of them on such a day.
func TestNonIdempotentRequestsAvoidKeptConnectionsAfterBreak(t *testing.T) {
	var mu sync.Mutex
	seen := map[io.Writer]int{}
	reply := func(w io.Writer, _ *http.Request, _ int) bool {
		mu.Lock()
		seen[w]++
		first := seen[w] == 1
		mu.Unlock()
		if first {
			_, _ = io.WriteString(w, served)
		}
		return first // the second request on a connection finds it cut
	}
	b := backendtest.Start(t, reply)
	u := newUpstream(4, b.Addr)
	u.cfg.IsNonIdempotent = func(class int) bool { return class == 1 }
	run := func(class int) logic.Status {
		endReuseDelay(u)
		a := newAttempt(u, "a", waitLimit)
		a.Class = class
		return a.run().Status
	}
	lost := 0
	for range 20 {
		if run(1) != logic.OK {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("%d of 20 non-idempotent requests were lost", lost)
	}
	if s := u.Stats(); s.Open != 0 {
		t.Errorf("%d connections are kept that nobody will use", s.Open)
	}
	if first, second := run(0), run(0); first != logic.OK || second != logic.Reset {
		t.Errorf("an idempotent request does not keep its connection: %v, %v", first, second)
	}
	u.newConnWindow = 0 // the time is over: kept connections are used again
	if first, second := run(1), run(1); first != logic.OK || second != logic.Reset {
		t.Errorf("later: %v, %v", first, second)
	}
}

func TestMostRecentlyUsedConnectionIsReusedFirst(t *testing.T) {
	b := backendtest.Start(t, backendtest.Says(served, true))
	u := newUpstream(4, b.Addr)
	e := u.endpoints["a"]
	var conns []*conn
	for range 3 {
		c, err := u.dial(t.Context(), e, b.Addr, e.epoch)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	u.putIdle(conns[0])
	u.putIdle(conns[1])
	endReuseDelay(u)
	u.putIdle(conns[2])
	if c := u.takeIdle(e, e.epoch); c != conns[1] {
		t.Error("not the most recently used one whose reuse delay is over")
	}
	u.putIdle(conns[1])
	u.CloseExpired(time.Now().Add(u.maxIdle))
	if len(e.idle) != 0 || u.open != 0 {
		t.Errorf("%d idle, %d open", len(e.idle), u.open)
	}
}

func TestQuotaLimitClosesIdleConnection(t *testing.T) {
	quick := backendtest.Start(t, backendtest.Says(served, true))
	slow := backendtest.Start(t, backendtest.Hang(t))
	u := newUpstream(1, quick.Addr, slow.Addr)
	if res := newAttempt(u, "a", waitLimit).run(); res.Status != logic.OK {
		t.Fatalf("got %v", res.Status)
	}
	hanging := newAttempt(u, "b", waitLimit)
	results := hanging.start()
	receive(t, "close of the idle connection", quick.Closed)
	waitUntil(t, func() bool { return slow.Requests.Load() == 1 })
	if res := newAttempt(u, "a", waitLimit).run(); res.Status != logic.NotSent {
		t.Errorf("over the limit: got %v", res.Status)
	}
	hanging.Cancel()
	receive(t, "result", results)
	if res := newAttempt(u, "a", waitLimit).run(); res.Status != logic.OK {
		t.Errorf("with room again: got %v", res.Status)
	}
}
