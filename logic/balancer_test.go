package logic

import (
	"fmt"
	"testing"
)

func TestRule1NoActionAfterRequestIsDone(t *testing.T) {
	for _, end := range []func(b *Balancer, h Host){
		func(b *Balancer, h Host) { b.Cancel(start+1000, h, "r") },
		func(b *Balancer, h Host) { b.ResponseStarted(start+1000, "r") },
		func(b *Balancer, h Host) {
			b.Outcome(start+1000, h, Outcome{ID: "r", Status: Overloaded, RequestDone: true})
		},
	} {
		b, h := newTestBalancer(t, testSettings(), 4)
		submit(b, h, start, "r", 0)
		before := len(h.actions)
		end(b, h)
		b.Outcome(start+2000, h, Outcome{ID: "r", Status: Overloaded})
		if len(h.actions) != before {
			t.Errorf("got actions %q after the request was done, want none", h.actions[before:])
		}
		if len(b.requests) != 0 {
			t.Error("finished request still in memory")
		}
	}
}

// A long run constantly has new request IDs, keys and endpoints. The balancer must not keep state
// of finished requests.
func TestFinishedRequestsLeaveNoState(t *testing.T) {
	s := testSettings()
	s.OrderingDelay = 1000
	for i := range s.Classes {
		s.Classes[i].Ordered = true
	}
	s.Tenants = []Tenant{{CapacityFraction: 1, Quota: 1000}}
	b, h := newTestBalancer(t, s, 4)
	now := start
	for i := range 30_000 {
		now += 2_000
		id := fmt.Sprint("r", i)
		if i%10 == 0 { // replace an endpoint
			b.UpdateEndpoints(now, h, Delta, []Endpoint{
				{ID: fmt.Sprint("n", i), Cell: i, State: Ready, Weight: 1, StartedAt: now},
				{ID: fmt.Sprint("n", i-100), State: Removed},
			})
		}
		h.sends, h.timers, h.actions, h.retryAfters = nil, nil, nil, nil
		b.Request(now, h, Request{
			ID: id, Class: i % len(s.Classes), Key: fmt.Sprint("k", i), ClientDeadline: now + 1_000_000,
		})
		attempt := 0
		for len(h.sends) > attempt { // an outcome may cause a retry
			status := OK
			if i%7 == 0 {
				status = Reset
			}
			b.Outcome(now+1_000, h, Outcome{
				ID: id, Attempt: attempt, Status: status, Latency: 1_000, RequestDone: status == OK,
			})
			attempt++
		}
		for _, token := range h.timers {
			b.Timer(now+2_000, h, token)
		}
	}
	pending := 0
	for i := range b.classes {
		pending += len(b.classes[i].pending)
	}
	for _, left := range []struct {
		what       string
		size, most int
	}{
		{"requests", len(b.requests), 0},
		{"keys", len(b.keys), 0},
		{"endpoints", len(b.endpoints.byID), 20},
		{"endpoints on the ring", len(b.endpoints.ring), 20},
		{"requests in the retry budget", len(b.retryBudget.requests), 6000},
		{"retries in the retry budget", len(b.retryBudget.retries), 6000},
		{"pending attempts", pending, 2000},
	} {
		if left.size > left.most {
			t.Errorf("%d %s left, want at most %d", left.size, left.what, left.most)
		}
	}
}
