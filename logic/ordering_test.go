package logic

import (
	"slices"
	"testing"
)

// Requests overtook an earlier request with the same key that was still in flight at a slow
// endpoint.
func TestRequestsOfOneKeyKeepTheirOrder(t *testing.T) {
	s := testSettings()
	s.Classes[2].Ordered, s.OrderingDelay = true, 100_000
	b, h := newTestBalancer(t, s, 4)
	submitKey := func(now int64, id, key string) {
		b.Request(now, h, Request{ID: id, Class: 2, Key: key, ClientDeadline: now + second})
	}
	sends := func() []string {
		var ids []string
		for _, s := range h.sends {
			ids = append(ids, s.id)
		}
		return ids
	}
	submitKey(start, "a", "k")
	submitKey(start+1, "b", "k")
	submitKey(start+2, "c", "k")
	submitKey(start+3, "other", "j")
	submitKey(start+4, "free", "")
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free"}) {
		t.Fatalf("sent %v, want the first request of each key and the request without one", got)
	}
	b.Cancel(start+5, h, "b")
	b.Cancel(start+6, h, "a") // done, but its attempt is still in flight
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v while an attempt of the key was in flight", got)
	}
	b.Outcome(start+1000, h, Outcome{ID: "a", Status: Reset, Latency: 1000, RequestDone: true})
	if got := sends(); len(got) != 3 {
		t.Fatalf("sent %v while the key was paused", got)
	}
	b.Timer(start+101_000, h, "turn k")
	if got := sends(); !slices.Equal(got, []string{"a", "other", "free", "c"}) {
		t.Fatalf("sent %v after the pause", got)
	}
	submitKey(start+102_000, "d", "k")
	b.Timer(start+102_000+second-1000, h, "held d")
	if h.last() != "shed d" {
		t.Errorf("last action %q after the expiry of a queued request, want it shed", h.last())
	}
	b.Outcome(start+102_000, h, Outcome{ID: "c", Status: OK, Latency: 1000, RequestDone: true})
	if len(b.keys) != 1 || len(b.requests) != 2 { // "other" and its key
		t.Errorf("%d keys and %d requests in memory, want 1 and 2", len(b.keys), len(b.requests))
	}
}
