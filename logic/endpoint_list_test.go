package logic

import (
	"fmt"
	"testing"
)

func TestRule3DrainingAndRemovedEndpointsGetNothing(t *testing.T) {
	for _, state := range []State{Draining, Removed} {
		b, h := newTestBalancer(t, testSettings(), 4)
		list := testEndpoints(4)
		list[0].State, list[1].State = state, state
		b.UpdateEndpoints(start, h, Delta, list[:2])
		for i := range 300 {
			submit(b, h, start+int64(i), fmt.Sprint(i), 0)
			b.Outcome(start+int64(i), h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			if s.endpoint == "s0" || s.endpoint == "s1" {
				t.Fatalf("state %d: attempt sent to %s", state, s.endpoint)
			}
		}
		if len(h.sends) < 100 {
			t.Fatalf("%d attempts sent, want at least 100", len(h.sends))
		}
	}
}

func TestRule3EndpointMissingFromSnapshotIsRemoved(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), 2)
	b.UpdateEndpoints(start, h, Snapshot, testEndpoints(1))
	for i := range 50 {
		submit(b, h, start+int64(i), fmt.Sprint(i), 0)
		b.Outcome(start+int64(i), h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 1000, RequestDone: true})
	}
	for _, s := range h.sends {
		if s.endpoint != "s0" {
			t.Fatalf("attempt sent to %s, which the snapshot does not list", s.endpoint)
		}
	}
}

func TestWatchIsRetriedAfterFailure(t *testing.T) {
	s := testSettings()
	s.WatchEndpoints, s.PollInterval = true, 10*second
	b, h := newTestBalancer(t, s, 2)
	if h.watches != 1 {
		t.Fatalf("%d watches after the first list, want 1", h.watches)
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil)
	if len(h.timers) != 1 {
		t.Fatalf("%d timers after a failure, want 1", len(h.timers))
	}
	b.UpdateEndpoints(start, h, UpdateFailed, nil) // a failed watch and a failed poll are reported separately
	if len(h.timers) != 1 {
		t.Errorf("%d timers after two reports of the same failure, want 1", len(h.timers))
	}
	b.Timer(start+second, h, h.timers[0])
	b.Timer(start+second, h, h.timers[0])
	if h.watches != 2 {
		t.Errorf("%d watches after the timer, want 2", h.watches)
	}
}

// Endpoints in a list restored from an earlier process get no non-idempotent request until they
// have served another one. After any update, all endpoints get them.
func TestRestoredEndpointsAreUnverified(t *testing.T) {
	const idempotent, nonIdempotent = 0, 2
	for _, kind := range []UpdateKind{Snapshot, Delta} {
		b, h := mustNew(t, testSettings()), &recorder{}
		b.UpdateEndpoints(start, h, RestoredSnapshot, testEndpoints(3))
		now := start
		// serve submits a request and returns the ID of the endpoint that served it, or "".
		serve := func(class int) string {
			now += 1000
			id := fmt.Sprint(now)
			submit(b, h, now, id, class)
			q := b.requests[id]
			if q == nil {
				return ""
			}
			b.Outcome(now+1, h, Outcome{ID: id, Status: OK, Latency: 1, RequestDone: true})
			return q.attempts[0].endpoint.ID
		}
		if got := serve(nonIdempotent); got != "" {
			t.Errorf("unverified endpoint %s got a non-idempotent request", got)
		}
		shown := serve(idempotent)
		if shown == "" || b.Unverified(shown) {
			t.Fatalf("endpoint %q is unverified after serving a request", shown)
		}
		for range 20 {
			if got := serve(nonIdempotent); got != shown {
				t.Errorf("non-idempotent request went to %q, want %q, which has served one", got, shown)
			}
		}
		unverified := 0
		for _, s := range testEndpoints(3) {
			if b.Unverified(s.ID) {
				unverified++
			}
		}
		if unverified != 2 {
			t.Errorf("%d of 3 endpoints unverified, want 2", unverified)
		}
		if kind == Snapshot {
			b.UpdateEndpoints(now, h, Snapshot, testEndpoints(3))
		} else {
			b.UpdateEndpoints(now, h, Delta, nil)
		}
		for _, s := range testEndpoints(3) {
			if b.Unverified(s.ID) {
				t.Errorf("endpoint %s is unverified after an update", s.ID)
			}
		}
	}
	b, h := mustNew(t, testSettings()), &recorder{}
	b.UpdateEndpoints(start, h, CachedSnapshot, testEndpoints(3))
	if b.Unverified("s0") || b.Unverified("none") {
		t.Error("endpoint of a CachedSnapshot or unknown endpoint is unverified")
	}
}
