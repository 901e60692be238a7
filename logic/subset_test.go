package logic

import (
	"fmt"
	"testing"
)

// If many replicas use all endpoints, the connection tables of all endpoints fill up.
func TestSubsetsAreSmallAndCoverTheFleet(t *testing.T) {
	const replicas, endpoints = 60, 90
	users := map[string]int{}
	for i := range replicas {
		s := testSettings()
		s.Replicas, s.ReplicaIndex = replicas, i
		b, h := newTestBalancer(t, s, endpoints)
		met := map[string]bool{}
		for k := range 400 {
			now := start + int64(k)*50_000 // 20 requests per second
			submit(b, h, now, fmt.Sprint(k), 0)
			b.Outcome(now, h, Outcome{ID: fmt.Sprint(k), Status: OK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			met[s.endpoint] = true
		}
		if len(met) > endpoints/3 {
			t.Fatalf("replica %d uses %d endpoints, want at most %d", i, len(met), endpoints/3)
		}
		for s := range met {
			users[s]++
		}
	}
	if len(users) != endpoints {
		t.Errorf("%d of %d endpoints are in a subset, want all", len(users), endpoints)
	}
}

// Replicas with a few requests per second used each of twelve endpoints only once in many seconds,
// and continued to overload endpoints that had become slow.
func TestSparseReplicaUsesFewEndpoints(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), 60)
	met := map[string]int{}
	for k := range 240 {
		now := start + int64(k)*second/3 // 3 requests per second
		submit(b, h, now, fmt.Sprint(k), 0)
		b.Outcome(now, h, Outcome{ID: fmt.Sprint(k), Status: OK, Latency: 300_000, RequestDone: true})
	}
	for _, s := range h.sends {
		met[s.endpoint]++
	}
	if len(met) > 8 || len(met) < 4 {
		t.Errorf("%d endpoints get 3 requests per second, want 4 to 8", len(met))
	}
}
