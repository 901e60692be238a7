package http1

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
)

// gatedDialer is a dialer whose dials end when they are let.
type gatedDialer struct {
	mu      sync.Mutex
	dialing int
	maxSeen int           // dials at once
	began   chan struct{} // one for each dial that begins
	end     chan error    // one for each dial that may end
}

// dial waits for end, and then dials or returns the error that came.
func (d *gatedDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d.add(1)
	defer d.add(-1)
	d.began <- struct{}{}
	select {
	case err := <-d.end:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

// add counts dials in or out.
func (d *gatedDialer) add(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialing += n
	d.maxSeen = max(d.maxSeen, d.dialing)
}

// newLimitedUpstream returns an upstream with LimitDials and one backend, whose dials the
// gatedDialer lets end.
func newLimitedUpstream(t *testing.T) (*Upstream, *gatedDialer, *backendtest.Backend) {
	t.Helper()
	b := backendtest.Start(t, backendtest.Says(served, true))
	u := New(Config{
		DialTimeout: waitLimit, IdleClose: 40 * time.Second, Quota: &fixedQuota{max: 100}, Memory: make(slotMemory, 1),
		MaxResponse: maxResponse, UncountedBody: uncountedBody, LimitDials: true,
	})
	d := &gatedDialer{began: make(chan struct{}, 100), end: make(chan error, 100)}
	u.dialer = d.dial
	u.UpdateEndpoints(true, []membership.Endpoint{newEndpoint("a", b.Addr, membership.Serving)})
	t.Cleanup(func() { u.UpdateEndpoints(true, nil) })
	return u, d, b
}

// startGet carries one request in the background.
func startGet(u *Upstream, timeout time.Duration) <-chan core.AttemptResult {
	request := &core.Request{Method: "GET", Target: "/"}
	return testAttempt{core.NewAttempt(request, time.Now().Add(timeout)), u.RoundTripper("a")}.start()
}

// Twenty requests for an unproven backend open two connections, and those that wait take what the
// first ones leave.
func TestDialsToUnprovenBackendAreLimited(t *testing.T) {
	u, dialer, b := newLimitedUpstream(t)
	const requests, dialing = 20, 4 // two at first, twice as many once one has come up
	results := make(chan core.AttemptResult, requests)
	for range requests {
		go func(result <-chan core.AttemptResult) { results <- <-result }(startGet(u, waitLimit))
	}
	receive(t, "first dial", dialer.began)
	receive(t, "second dial", dialer.began)
	dialer.mu.Lock()
	maxSeen := dialer.maxSeen
	dialer.mu.Unlock()
	if maxSeen != 2 {
		t.Errorf("%d dials at once", maxSeen)
	}
	dialer.end <- nil
	for range requests - dialing { // all but those whose own dial is under way
		if res := receive(t, "result over the one connection", results); res.Status != logic.OK {
			t.Errorf("%v", res.Status)
		}
	}
	if n := b.Conns.Load(); n != 1 {
		t.Errorf("%d connections have come up", n)
	}
	for range requests {
		dialer.end <- nil
	}
	for range dialing {
		if res := receive(t, "result", results); res.Status != logic.OK {
			t.Errorf("%v", res.Status)
		}
	}
}

// After a failed dial, further attempts fail at once until the backoff is over; an update that has
// the backend restarted ends the backoff.
func TestDialsBackOffAfterFailure(t *testing.T) {
	u, dialer, b := newLimitedUpstream(t)
	dialer.end <- errors.New("no route")
	if res := receive(t, "result", startGet(u, waitLimit)); res.Status != logic.ConnectFailed {
		t.Fatalf("%v", res.Status)
	}
	receive(t, "the dial", dialer.began)
	if u.Stats().Unreachable != 1 {
		t.Error("the backend does not count as unreachable")
	}
	for range 3 { // 50 ms of backoff, which doubles: these take none of it
		if res := receive(t, "result", startGet(u, waitLimit)); res.Status != logic.ConnectFailed {
			t.Errorf("during the backoff: %v", res.Status)
		}
	}
	if len(dialer.began) != 0 {
		t.Skip("the machine was away for the whole backoff")
	}
	restarted := newEndpoint("a", b.Addr, membership.Serving)
	restarted.StartedMs = 7
	u.UpdateEndpoints(false, []membership.Endpoint{restarted})
	dialer.end <- nil
	if res := receive(t, "result", startGet(u, waitLimit)); res.Status != logic.OK || u.Stats().Unreachable != 0 {
		t.Errorf("after the restart: %v", res.Status)
	}
}

// An attempt whose deadline passes while it waits for a connection has proof that it never ran; so
// has one whose backend drains.
func TestWaitForConnectionEndsWithAttempt(t *testing.T) {
	u, dialer, b := newLimitedUpstream(t)
	first, second := startGet(u, waitLimit), startGet(u, waitLimit)
	receive(t, "first dial", dialer.began)
	receive(t, "second dial", dialer.began)
	if res := receive(t, "result", startGet(u, 20*time.Millisecond)); res.Status != logic.NotSent {
		t.Errorf("past its deadline: %v", res.Status)
	}
	third := startGet(u, waitLimit)
	u.UpdateEndpoints(false, []membership.Endpoint{newEndpoint("a", b.Addr, membership.Draining)})
	if res := receive(t, "result", third); res.Status != logic.NotSent {
		t.Errorf("its backend drains: %v", res.Status)
	}
	dialer.end <- nil
	dialer.end <- nil
	for _, results := range []<-chan core.AttemptResult{first, second} {
		if res := receive(t, "result", results); res.Status != logic.NotSent {
			t.Errorf("connected after the drain: %v", res.Status)
		}
	}
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("%d requests after the drain", n)
	}
}
