package http1

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
)

func TestConnectionRefusedIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	u := newUpstream(4, l.Addr().String())
	if res := newAttempt(u, "a", waitLimit).run(); res.Status != logic.ConnectFailed {
		t.Errorf("got %v, want %v", res.Status, logic.ConnectFailed)
	}
	if u.openConns != 0 {
		t.Errorf("%d connections counted as open, want 0", u.openConns)
	}
}

func TestAnyDialErrorIsConnectFailed(t *testing.T) {
	u := newUpstream(4, "127.0.0.1:1")
	u.dialer = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("too many open files") }
	if res := newAttempt(u, "a", waitLimit).run(); res.Status != logic.ConnectFailed || u.openConns != 0 {
		t.Errorf("got %v with %d connections open, want %v with 0", res.Status, u.openConns, logic.ConnectFailed)
	}
}

// During a dial, the backend may drain, leave or restart, or the attempt may end. Nothing is sent
// then.
func TestRequestIsNotSentIfAttemptIsStaleAfterDial(t *testing.T) {
	for name, meanwhile := range map[string]func(u *Upstream, addr string, a testAttempt){
		"drained": func(u *Upstream, addr string, _ testAttempt) {
			u.UpdateEndpoints(false, []membership.Endpoint{newEndpoint("a", addr, membership.Draining)})
		},
		"removed": func(u *Upstream, _ string, _ testAttempt) { u.UpdateEndpoints(true, nil) },
		"restarted": func(u *Upstream, addr string, _ testAttempt) {
			e := newEndpoint("a", addr, membership.Serving)
			e.StartedMs = 7
			u.UpdateEndpoints(false, []membership.Endpoint{e})
		},
		"canceled":      func(_ *Upstream, _ string, a testAttempt) { a.Cancel() },
		"past deadline": func(_ *Upstream, _ string, a testAttempt) { a.Deadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.RespondWith(served, true))
			u := newUpstream(4, b.Addr)
			a := newAttempt(u, "a", waitLimit)
			hookDial(u, func(c net.Conn, err error) (net.Conn, error) {
				meanwhile(u, b.Addr, a)
				return c, err
			})
			if res := a.run(); res.Status != logic.NotSent {
				t.Errorf("got %v, want %v", res.Status, logic.NotSent)
			}
			u.UpdateEndpoints(true, nil) // closes idle connections
			receive(t, "close", b.Closed)
			if b.Requests.Load() != 0 || u.openConns != 0 {
				t.Errorf("backend received %d requests, %d connections open, want 0", b.Requests.Load(), u.openConns)
			}
		})
	}
}
