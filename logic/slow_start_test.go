package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The fraction of attempts at an endpoint in slow start stays below its least capacity.
func TestRule4EndpointInSlowStartStaysWithinItsCapacity(t *testing.T) {
	s := testSettings()
	b, h := mustNew(t, s), &recorder{}
	list := testEndpoints(2)
	list[1].StartedAt = start - 1
	b.UpdateEndpoints(start, h, Snapshot, list)
	got := 0
	const n = 4000
	for i := range n {
		submit(b, h, start+int64(i), fmt.Sprint(i), 0)
		b.Outcome(start+int64(i), h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 1000, RequestDone: true})
	}
	for _, s := range h.sends {
		if s.endpoint == "s1" {
			got++
		}
	}
	part := float64(got) / float64(len(h.sends)-got)
	if part > s.SlowStartMinCapacity || part == 0 {
		t.Errorf("endpoint in slow start got %.3f of the requests of a warm one, want above 0 and at most %.3f",
			part, s.SlowStartMinCapacity)
	}
	if w := b.slowStartFactor(start+s.SlowStartWindow, b.endpoints.byID["s1"]); w != 1 {
		t.Errorf("slow start factor %v after the slow start window, want 1", w)
	}
}

// slowStartScenario is a fleet of replicas with endpoints of which some are in slow start, and the
// load.
type slowStartScenario struct {
	replicas, endpoints int
	warm                int     // warm endpoints among them
	quota               float64 // requests per second within the quotas of all tenants
	rate                float64 // requests per second over all replicas
	tier                int
	latency             float64 // seconds that an attempt is in flight; 0 means that attempts do not overlap
}

// run simulates the given number of seconds. It returns the fractions of the requests that went to
// endpoints in slow start and that were shed.
func (d slowStartScenario) run(t *testing.T, seconds float64) (cold, shed float64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(1, 2))
	var endpoints []Endpoint
	for i := range d.endpoints {
		s := Endpoint{ID: fmt.Sprintf("s%d", i), State: Ready, Weight: 1}
		if i >= d.warm {
			s.StartedAt = start
		}
		endpoints = append(endpoints, s)
	}
	settings := Settings{
		Replicas: d.replicas, Zones: 1, MaxAttempts: 1, SlowStartMinCapacity: 0.25, SlowStartWindow: 1e9, Tier: d.tier,
		CapSlowStartPreference: d.latency > 0,
		Classes:                []Class{{LatencyObjective: 1e6, Deadline: 2e6, PriorityWeight: 1}},
		Tenants:                []Tenant{{CapacityFraction: 1, Quota: d.quota}},
	}
	isCold := map[string]bool{}
	for _, s := range endpoints {
		isCold[s.ID] = s.StartedAt > 0
	}
	var all []*Balancer
	for i := range d.replicas {
		settings.ReplicaIndex = i
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(start, &recorder{}, Snapshot, endpoints)
		all = append(all, b)
	}
	n, sentCold, shedTotal := int(d.rate*seconds), 0, 0
	now := start
	type call struct {
		at int64
		b  *Balancer
		id string
	}
	var inFlight []call
	end := func(c call) {
		c.b.Outcome(c.at, &recorder{}, Outcome{ID: c.id, Status: OK, Latency: 250_000, RequestDone: true})
	}
	for i := range n {
		now += int64(rnd.ExpFloat64() / d.rate * 1e6)
		for len(inFlight) > 0 && inFlight[0].at <= now {
			end(inFlight[0])
			inFlight = inFlight[1:]
		}
		b, h := all[rnd.IntN(len(all))], &recorder{}
		id := fmt.Sprint(i)
		b.Request(now, h, Request{ID: id, ClientDeadline: now + 2_000_000})
		if len(h.sends) == 0 {
			shedTotal++
			cause := b.ShedCause()
			if d.latency == 0 && cause != BySlowStart && cause != ByTenantQuota {
				t.Fatalf("shed by %v, want BySlowStart or ByTenantQuota", cause)
			}
			continue
		}
		if isCold[h.sends[0].endpoint] {
			sentCold++
		}
		inFlight = append(inFlight, call{now + int64(d.latency*1e6), b, id})
	}
	return float64(sentCold) / float64(n), float64(shedTotal) / float64(n)
}

// Endpoints in slow start have a quarter of their capacity. However many replicas start together
// with them, these endpoints get that fraction of the quotas and no more. Nothing is shed if there
// are few requests, if warm endpoints take the rest, if the load that the endpoints are made for is
// unknown, or in an inner tier.
func TestEndpointsInSlowStartGetTheirCapacityInTotal(t *testing.T) {
	for _, c := range []struct {
		name                      string
		scenario                  slowStartScenario
		seconds                   float64
		minCold, maxCold, maxShed float64
	}{
		{
			name:     "all in slow start, 10 replicas",
			scenario: slowStartScenario{replicas: 10, endpoints: 20, quota: 2000, rate: 2000},
			seconds:  3, minCold: 0.15, maxCold: 0.3, maxShed: 0.85,
		},
		{
			name:     "all in slow start, 100 replicas",
			scenario: slowStartScenario{replicas: 100, endpoints: 20, quota: 2000, rate: 2000},
			seconds:  3, minCold: 0.15, maxCold: 0.3, maxShed: 0.85,
		},
		{
			name:     "all in slow start, 300 replicas",
			scenario: slowStartScenario{replicas: 300, endpoints: 60, quota: 6000, rate: 6000},
			seconds:  3, minCold: 0.15, maxCold: 0.3, maxShed: 0.85,
		},
		{
			name:     "all in slow start, more requests than the quotas",
			scenario: slowStartScenario{replicas: 100, endpoints: 20, quota: 2000, rate: 4000},
			seconds:  3, minCold: 0.07, maxCold: 0.2, maxShed: 0.93,
		},
		{
			name:     "all in slow start, a tenth of the quotas",
			scenario: slowStartScenario{replicas: 100, endpoints: 20, quota: 2000, rate: 200},
			seconds:  3, minCold: 0.65, maxCold: 1, maxShed: 0.35,
		},
		{
			name:     "all in slow start, a tenth of the quotas, for longer",
			scenario: slowStartScenario{replicas: 100, endpoints: 20, quota: 2000, rate: 200},
			seconds:  15, minCold: 0.9, maxCold: 1, maxShed: 0.1,
		},
		{
			name:     "half are warm",
			scenario: slowStartScenario{replicas: 100, endpoints: 20, warm: 10, quota: 2000, rate: 2000},
			seconds:  3, minCold: 0.05, maxCold: 0.2, maxShed: 0.01,
		},
		{
			name:     "one is warm and gets its weight",
			scenario: slowStartScenario{replicas: 100, endpoints: 20, warm: 1, quota: 2000, rate: 2000},
			seconds:  3, minCold: 0.5, maxCold: 0.8, maxShed: 0.01,
		},
		{
			name:     "an inner tier",
			scenario: slowStartScenario{replicas: 100, endpoints: 20, quota: 2000, rate: 2000, tier: 1},
			seconds:  3, minCold: 0.99, maxCold: 1, maxShed: 0,
		},
		// With a third of the endpoints in slow start, a fraction of 0.11 of the requests loads
		// them as much as the others, relative to their capacity.
		{
			name:     "warm ones hold an attempt of each replica",
			scenario: slowStartScenario{replicas: 36, endpoints: 24, warm: 16, quota: 2000, rate: 1500, latency: 0.25},
			seconds:  3, minCold: 0.03, maxCold: 0.13, maxShed: 0.1,
		},
		{
			name:     "warm ones hold some attempts",
			scenario: slowStartScenario{replicas: 12, endpoints: 24, warm: 16, quota: 2000, rate: 1500, latency: 0.25},
			seconds:  3, minCold: 0.03, maxCold: 0.13, maxShed: 0.1,
		},
		{
			name:     "few requests",
			scenario: slowStartScenario{replicas: 100, endpoints: 24, warm: 16, quota: 2000, rate: 200, latency: 0.25},
			seconds:  3, minCold: 0.02, maxCold: 0.12, maxShed: 0.1,
		},
	} {
		cold, shed := c.scenario.run(t, c.seconds)
		if cold < c.minCold || cold > c.maxCold || shed > c.maxShed {
			t.Errorf("%s: %.3f to endpoints in slow start, want %.3f to %.3f; %.3f shed, want at most %.3f",
				c.name, cold, c.minCold, c.maxCold, shed, c.maxShed)
		}
	}
	b, h := newTestBalancer(t, testSettings(), 0) // without tenants
	b.UpdateEndpoints(start, h, Snapshot, []Endpoint{{ID: "a", State: Ready, Weight: 1, StartedAt: start}})
	for i := range 50 {
		submit(b, h, start+int64(i)*1000, fmt.Sprint(i), 0)
		if len(h.sends) != i+1 {
			t.Fatalf("request %d not sent to the only endpoint, which is in slow start: %s", i, h.last())
		}
		b.Outcome(start+int64(i)*1000, h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 250_000, RequestDone: true})
	}
}
