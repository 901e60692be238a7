package logic

import (
	"fmt"
	"testing"
)

// Many replicas that select from all endpoints fill every endpoint's connection table.
func TestSubsetsAreSmallAndCoverTheFleet(t *testing.T) {
	const replicas, endpoints = 60, 90
	users := map[string]int{}
	for i := range replicas {
		s := testSettings()
		s.Replicas, s.ReplicaIndex = replicas, i
		b, h := newTestBalancer(t, s, endpoints)
		met := map[string]bool{}
		for k := range 400 {
			now := start + int64(k)*50_000 // 20 a second
			submit(b, h, now, fmt.Sprint(k), 0)
			b.Outcome(now, h, Outcome{ID: fmt.Sprint(k), Status: OK, Latency: 1000, RequestDone: true})
		}
		for _, s := range h.sends {
			met[s.endpoint] = true
		}
		if len(met) > endpoints/3 {
			t.Fatalf("replica %d met %d endpoints", i, len(met))
		}
		for s := range met {
			users[s]++
		}
	}
	if len(users) != endpoints {
		t.Errorf("%d of %d endpoints are in some subset", len(users), endpoints)
	}
}

// Replicas with a few requests a second met each of twelve endpoints once in many seconds, and went
// on overloading the ones that had become slow.
func TestSparseReplicaMeetsItsEndpointsOftenEnough(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), 60)
	met := map[string]int{}
	for k := range 240 {
		now := start + int64(k)*second/3 // 3 a second
		submit(b, h, now, fmt.Sprint(k), 0)
		b.Outcome(now, h, Outcome{ID: fmt.Sprint(k), Status: OK, Latency: 300_000, RequestDone: true})
	}
	for _, s := range h.sends {
		met[s.endpoint]++
	}
	if len(met) > 8 || len(met) < 4 {
		t.Errorf("3 requests a second are spread over %d endpoints", len(met))
	}
}
