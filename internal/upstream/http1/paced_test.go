package http1

import (
	"context"
	"errors"
	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
	"net"
	"sync"
	"testing"
	"time"
)

// gate is a dialer whose connections come up when they are let.
type gate struct {
	mu   sync.Mutex
	open int // on their way
	most int
	came chan struct{} // one for each that begins
	pass chan error    // one for each that may end
}

func (g *gate) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	g.mu.Lock()
	g.open++
	g.most = max(g.most, g.open)
	g.mu.Unlock()
	defer func() { g.mu.Lock(); g.open--; g.mu.Unlock() }()
	g.came <- struct{}{}
	select {
	case err := <-g.pass:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return net.Dial(network, addr)
}

// paced is an upstream before one backend whose connections are let up one by one.
func paced(t *testing.T) (*Upstream, *gate, *backendtest.Backend) {
	t.Helper()
	b := backendtest.Start(t, backendtest.Says(served, true))
	p := New(Config{DialTimeout: patience, IdleClose: 40 * time.Second, Quota: &fixed{most: 100}, Memory: make(slots, 1), MaxResponse: maxAnswer, UncountedBody: maxBody, LimitDials: true})
	g := &gate{came: make(chan struct{}, 100), pass: make(chan error, 100)}
	p.dialer = g.dial
	p.UpdateEndpoints(true, []membership.Endpoint{entry("a", b.Addr, membership.Serving)})
	t.Cleanup(func() { p.UpdateEndpoints(true, nil) })
	return p, g, b
}

// carry carries one request in the background.
func carry(p *Upstream, deadline time.Time) <-chan core.AttemptResult {
	done := make(chan core.AttemptResult, 1)
	way := p.RoundTripper("a")
	go func() {
		r := &core.Request{Method: "GET", Target: "/"}
		done <- way.RoundTrip(core.NewAttempt(r, deadline))
	}()
	return done
}

// Twenty requests for a backend that has not shown itself open two connections, and those that wait take what the first ones
// leave.
func TestFewConnectionsToABackendThatIsNotKnown(t *testing.T) {
	p, g, b := paced(t)
	const requests, dialling = 20, 4 // two at first, twice as many once one has come up
	done := make(chan core.AttemptResult, requests)
	for range requests {
		go func(one <-chan core.AttemptResult) { done <- <-one }(carry(p, time.Now().Add(patience)))
	}
	wait(t, "first connection", g.came)
	wait(t, "second connection", g.came)
	g.mu.Lock()
	most := g.most
	g.mu.Unlock()
	if most != 2 {
		t.Errorf("%d connections on their way at once", most)
	}
	g.pass <- nil
	for range requests - dialling { // all but those whose own connection is on its way
		if res := wait(t, "result over the one connection", done); res.Status != logic.OK {
			t.Errorf("%v", res.Status)
		}
	}
	if n := b.Conns.Load(); n != 1 {
		t.Errorf("%d connections have come up", n)
	}
	for range requests {
		g.pass <- nil
	}
	for range dialling {
		if res := wait(t, "result", done); res.Status != logic.OK {
			t.Errorf("%v", res.Status)
		}
	}
}

// After a connection that did not come up, further attempts end at once, until the rest is over; a list that has the backend
// started anew ends the rest.
func TestABackendThatDoesNotAnswerRests(t *testing.T) {
	p, g, _ := paced(t)
	g.pass <- errors.New("no way")
	if res := wait(t, "result", carry(p, time.Now().Add(patience))); res.Status != logic.ConnectFailed {
		t.Fatalf("%v", res.Status)
	}
	wait(t, "the connection", g.came)
	if p.Stats().Unreachable != 1 {
		t.Error("the backend does not count as one that can't be reached")
	}
	for range 3 { // 50 ms of rest, which doubles: these take none of it
		if res := wait(t, "result", carry(p, time.Now().Add(patience))); res.Status != logic.ConnectFailed {
			t.Errorf("in the rest: %v", res.Status)
		}
	}
	if len(g.came) != 0 {
		t.Skip("the machine was away for the whole rest")
	}
	e := p.byName["a"]
	p.UpdateEndpoints(false, []membership.Endpoint{{Name: "a", Address: e.addr, Zone: "a", SinceMs: 7}})
	g.pass <- nil
	if res := wait(t, "result", carry(p, time.Now().Add(patience))); res.Status != logic.OK || p.Stats().Unreachable != 0 {
		t.Errorf("after it has started anew: %v", res.Status)
	}
}

// A request whose time ends while it waits for a connection has proof that it never ran; so has one whose backend drains.
func TestWaitingForAConnectionEnds(t *testing.T) {
	p, g, b := paced(t)
	first, second := carry(p, time.Now().Add(patience)), carry(p, time.Now().Add(patience))
	wait(t, "first connection", g.came)
	wait(t, "second connection", g.came)
	if res := wait(t, "result", carry(p, time.Now().Add(20*time.Millisecond))); res.Status != logic.NotSent {
		t.Errorf("its time is over: %v", res.Status)
	}
	third := carry(p, time.Now().Add(patience))
	p.UpdateEndpoints(false, []membership.Endpoint{entry("a", b.Addr, membership.Draining)})
	if res := wait(t, "result", third); res.Status != logic.NotSent {
		t.Errorf("its backend drains: %v", res.Status)
	}
	g.pass <- nil
	g.pass <- nil
	for _, done := range []<-chan core.AttemptResult{first, second} {
		if res := wait(t, "result", done); res.Status != logic.NotSent {
			t.Errorf("connected after the drain: %v", res.Status)
		}
	}
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests after the drain", n)
	}
}
