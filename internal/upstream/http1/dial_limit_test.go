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

// gatedDialer is a dialer whose dials end when the test allows it.
type gatedDialer struct {
	mu      sync.Mutex
	dialing int
	maxSeen int           // largest number of concurrent dials
	began   chan struct{} // receives a value for each dial that begins
	end     chan error    // takes a value for each dial that may end
}

// dial waits for a value from end, and then dials or returns the error that it received.
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

// add adds n to the number of dials in progress.
func (d *gatedDialer) add(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialing += n
	d.maxSeen = max(d.maxSeen, d.dialing)
}

// newLimitedUpstream returns an Upstream with LimitDials and one backend. The gatedDialer controls
// when dials end.
func newLimitedUpstream(t *testing.T) (*Upstream, *gatedDialer, *backendtest.Backend) {
	t.Helper()
	b := backendtest.Start(t, backendtest.RespondWith(served, true))
	u := New(Config{
		DialTimeout: waitLimit, BackendIdleTimeout: 40 * time.Second,
		Quota: &fixedQuota{max: 100}, Memory: make(slotMemory, 1),
		MaxResponse: maxResponse, MaxUncountedBody: uncountedBody, LimitDials: true,
	})
	d := &gatedDialer{began: make(chan struct{}, 100), end: make(chan error, 100)}
	u.dialer = d.dial
	u.UpdateEndpoints(true, []membership.Endpoint{newEndpoint("a", b.Addr, membership.Serving)})
	t.Cleanup(func() { u.UpdateEndpoints(true, nil) })
	return u, d, b
}

// startGet sends one request in the background.
func startGet(u *Upstream, timeout time.Duration) <-chan core.AttemptResult {
	request := &core.Request{Method: "GET", Target: "/"}
	return testAttempt{core.NewAttempt(request, time.Now().Add(timeout)), u.RoundTripper("a")}.start()
}

// Twenty requests to a backend without established connections dial two connections at first, and
// four at a time once one is established. The other requests wait and reuse the established one.
func TestDialsToUnprovenBackendAreLimited(t *testing.T) {
	u, dialer, b := newLimitedUpstream(t)
	const requests, dialing = 20, 4 // two at first, twice as many once a connection is established
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
		t.Errorf("%d concurrent dials, want 2", maxSeen)
	}
	dialer.end <- nil
	for range requests - dialing { // all requests but those whose own dial is in progress
		if res := receive(t, "result over the first connection", results); res.Status != logic.OK {
			t.Errorf("got %v, want %v", res.Status, logic.OK)
		}
	}
	if n := b.Conns.Load(); n != 1 {
		t.Errorf("%d connections established, want 1", n)
	}
	for range requests {
		dialer.end <- nil
	}
	for range dialing {
		if res := receive(t, "result", results); res.Status != logic.OK {
			t.Errorf("got %v, want %v", res.Status, logic.OK)
		}
	}
}

// After a failed dial, further attempts fail at once until the backoff ends. An update that reports
// a restart of the backend ends the backoff.
func TestDialsBackOffAfterFailure(t *testing.T) {
	u, dialer, b := newLimitedUpstream(t)
	dialer.end <- errors.New("no route")
	if res := receive(t, "result", startGet(u, waitLimit)); res.Status != logic.ConnectFailed {
		t.Fatalf("got %v, want %v", res.Status, logic.ConnectFailed)
	}
	receive(t, "dial", dialer.began)
	if u.Stats().Unreachable != 1 {
		t.Error("backend not counted as unreachable")
	}
	for range 3 { // a failed dial would double the backoff of 50 ms; these attempts do not dial
		if res := receive(t, "result", startGet(u, waitLimit)); res.Status != logic.ConnectFailed {
			t.Errorf("during the backoff: got %v, want %v", res.Status, logic.ConnectFailed)
		}
	}
	if len(dialer.began) != 0 {
		t.Skip("the test was stalled for the whole backoff")
	}
	restarted := newEndpoint("a", b.Addr, membership.Serving)
	restarted.StartedMs = 7
	u.UpdateEndpoints(false, []membership.Endpoint{restarted})
	dialer.end <- nil
	if res := receive(t, "result", startGet(u, waitLimit)); res.Status != logic.OK || u.Stats().Unreachable != 0 {
		t.Errorf("after the restart: got %v, want %v", res.Status, logic.OK)
	}
}

// A connection may become idle between an attempt's look for one and its registration for changes,
// which come too late for it then. The attempt has to look again, or it waits until its deadline.
func TestConnectionIdleBeforeRegistrationIsTaken(t *testing.T) {
	u, dialer, b := newLimitedUpstream(t)
	e := u.endpoints["a"]
	dialer.end <- nil
	idle, err := u.dial(t.Context(), e, b.Addr, e.epoch)
	if err != nil {
		t.Fatal(err)
	}
	receive(t, "dial of the idle connection", dialer.began)
	first, second := startGet(u, time.Hour), startGet(u, time.Hour) // as many dials as are allowed
	receive(t, "first dial", dialer.began)
	receive(t, "second dial", dialer.began)
	rt, ok := u.RoundTripper("a").(*roundTripper)
	if !ok {
		t.Fatal("not a roundTripper")
	}
	u.putIdle(idle) // no attempt is registered yet
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	c, reused, err := rt.connectLimited(ctx, false)
	if c != idle || !reused || err != nil {
		t.Errorf("got connection %p, reused %v and error %v; want the idle connection", c, reused, err)
	}
	dialer.end <- nil
	dialer.end <- nil
	receive(t, "result", first)
	receive(t, "result", second)
}

// An attempt that waits for a connection while its deadline passes, or while its backend drains, is
// NotSent, which proves that the request never ran.
func TestWaitForConnectionEndsWithAttempt(t *testing.T) {
	u, dialer, b := newLimitedUpstream(t)
	first, second := startGet(u, waitLimit), startGet(u, waitLimit)
	receive(t, "first dial", dialer.began)
	receive(t, "second dial", dialer.began)
	if res := receive(t, "result", startGet(u, 20*time.Millisecond)); res.Status != logic.NotSent {
		t.Errorf("past the deadline: got %v, want %v", res.Status, logic.NotSent)
	}
	third := startGet(u, waitLimit)
	u.UpdateEndpoints(false, []membership.Endpoint{newEndpoint("a", b.Addr, membership.Draining)})
	if res := receive(t, "result", third); res.Status != logic.NotSent {
		t.Errorf("backend draining: got %v, want %v", res.Status, logic.NotSent)
	}
	dialer.end <- nil
	dialer.end <- nil
	for _, results := range []<-chan core.AttemptResult{first, second} {
		if res := receive(t, "result", results); res.Status != logic.NotSent {
			t.Errorf("connected after the drain: got %v, want %v", res.Status, logic.NotSent)
		}
	}
	if n := b.Requests.Load(); n != 0 {
		t.Errorf("backend received %d requests after the drain, want 0", n)
	}
}
