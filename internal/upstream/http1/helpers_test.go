package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
)

const (
	waitLimit = 20 * time.Second // limit of each wait for an expected event

	uncountedBody = 64 << 10
	maxResponse   = 1 << 20
)

// receive returns the next value of a channel. The test fails if none arrives within waitLimit.
func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitLimit):
		t.Fatalf("no %s within %v", what, waitLimit)
		panic("unreachable")
	}
}

// waitUntil waits until ok returns true. The test fails if that takes longer than waitLimit.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not true within %v", waitLimit)
		}
	}
}

// closeAtEnd closes c at the end of the test. The test may have closed it before.
func closeAtEnd(t *testing.T, c interface{ Close() error }) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

const served = backendtest.OKResponse

// newEndpoint returns an entry of the endpoint list.
func newEndpoint(name, addr string, status membership.Status) membership.Endpoint {
	return membership.Endpoint{Name: name, Address: addr, Zone: "a", Status: status}
}

// fixedQuota is a DescriptorQuota that nothing else shares.
type fixedQuota struct {
	mu         sync.Mutex
	max, inUse int
}

// Acquire implements DescriptorQuota.
func (q *fixedQuota) Acquire() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inUse == q.max {
		return false
	}
	q.inUse++
	return true
}

// Release implements DescriptorQuota.
func (q *fixedQuota) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inUse--
}

// OverFairShare implements DescriptorQuota.
func (q *fixedQuota) OverFairShare() bool { return false }

// slotMemory is a Memory for as many bodies as the capacity of the channel, regardless of their
// sizes.
type slotMemory chan struct{}

// Reserve implements Memory.
func (m slotMemory) Reserve(ctx context.Context, _ int64) error {
	select {
	case m <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release implements Memory.
func (m slotMemory) Release(int64) { <-m }

// newUpstream returns an Upstream with endpoints "a", "b" and so on, and at most maxConns
// connections.
func newUpstream(maxConns int, addrs ...string) *Upstream {
	u := New(Config{
		DialTimeout: 5 * time.Second, BackendIdleTimeout: 40 * time.Second, ReuseDelay: UntrustedReuseDelay,
		Quota: &fixedQuota{max: maxConns}, Memory: make(slotMemory, 1),
		MaxResponse: maxResponse, MaxUncountedBody: uncountedBody,
	})
	var endpoints []membership.Endpoint
	for i, addr := range addrs {
		endpoints = append(endpoints, newEndpoint(string(rune('a'+i)), addr, membership.Serving))
	}
	u.UpdateEndpoints(true, endpoints)
	return u
}

// hookDial makes u call hook at the end of each dial. The hook may replace the connection.
func hookDial(u *Upstream, hook func(net.Conn, error) (net.Conn, error)) {
	dial := u.dialer
	u.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return hook(dial(ctx, network, addr))
	}
}

// expireReuseDelay makes the idle connections old enough for reuse.
func expireReuseDelay(u *Upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range u.endpoints {
		for _, c := range e.idle {
			c.idleSince = c.idleSince.Add(-UntrustedReuseDelay)
		}
	}
}

// testAttempt is an attempt with the RoundTripper that carries it out.
type testAttempt struct {
	*core.Attempt
	rt core.RoundTripper
}

// run runs the attempt and returns its result.
func (a testAttempt) run() core.AttemptResult { return a.rt.RoundTrip(a.Attempt) }

// start runs the attempt in the background.
func (a testAttempt) start() <-chan core.AttemptResult {
	results := make(chan core.AttemptResult, 1)
	go func() { results <- a.run() }()
	return results
}

// newAttempt returns an attempt whose deadline is timeout from now.
func newAttempt(u *Upstream, name string, timeout time.Duration) testAttempt {
	return testAttempt{core.NewAttempt(&core.Request{
		Request: logic.Request{ID: "1"},
		Method:  http.MethodGet, Target: "/look/k%2f1?x=%20y", Host: "backend.local",
		Header: []core.HeaderField{{Name: "Request-Id", Value: "1"}},
	}, time.Now().Add(timeout)), u.RoundTripper(name)}
}
