package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The part of an endpoint in slow start of the selection stays under its least capacity.
func TestRule4EndpointInSlowStartGetsItsPart(t *testing.T) {
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
		t.Errorf("an endpoint in slow start got %.3f of a warm one's requests, its capacity is %.3f",
			part, s.SlowStartMinCapacity)
	}
	if w := b.slowStartFactor(start+s.SlowStartWindow, b.endpoints.byID["s1"]); w != 1 {
		t.Errorf("an endpoint past its slow start has the factor %v", w)
	}
}

// slowStartDay is a fleet of replicas before endpoints of which some are in slow start, and the
// load on it.
type slowStartDay struct {
	replicas, endpoints int
	warm                int     // endpoints among them that are warm
	quota               float64 // requests per second inside the quotas of all tenants
	rate                float64 // requests per second over all replicas
	tier                int
	latency             float64 // seconds that an attempt is in flight; 0: none is while others are sent
}

// play plays some seconds and returns the fractions of the requests that went to endpoints in slow
// start and that were shed.
func (d slowStartDay) play(t *testing.T, seconds float64) (cold, shed float64) {
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
				t.Fatalf("shed by %v", cause)
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

// However many replicas start together with endpoints that have a quarter of their capacity, these
// are sent that part of what all may ask for, and no more. Nothing is shed where few requests come,
// where warm endpoints have the rest, where nothing says what endpoints are made for, or in an
// inner tier.
func TestEndpointsInSlowStartGetInSumWhatTheyBear(t *testing.T) {
	for _, c := range []struct {
		name                          string
		day                           slowStartDay
		seconds                       float64
		leastCold, mostCold, mostShed float64
	}{
		{
			name:    "all cold, ten replicas",
			day:     slowStartDay{replicas: 10, endpoints: 20, quota: 2000, rate: 2000},
			seconds: 3, leastCold: 0.15, mostCold: 0.3, mostShed: 0.85,
		},
		{
			name:    "all cold, a hundred",
			day:     slowStartDay{replicas: 100, endpoints: 20, quota: 2000, rate: 2000},
			seconds: 3, leastCold: 0.15, mostCold: 0.3, mostShed: 0.85,
		},
		{
			name:    "all cold, three hundred",
			day:     slowStartDay{replicas: 300, endpoints: 60, quota: 6000, rate: 6000},
			seconds: 3, leastCold: 0.15, mostCold: 0.3, mostShed: 0.85,
		},
		{
			name:    "all cold, more than is in the quotas",
			day:     slowStartDay{replicas: 100, endpoints: 20, quota: 2000, rate: 4000},
			seconds: 3, leastCold: 0.07, mostCold: 0.2, mostShed: 0.93,
		},
		{
			name:    "all cold, a tenth of it comes",
			day:     slowStartDay{replicas: 100, endpoints: 20, quota: 2000, rate: 200},
			seconds: 3, leastCold: 0.65, mostCold: 1, mostShed: 0.35,
		},
		{
			name:    "the same for longer",
			day:     slowStartDay{replicas: 100, endpoints: 20, quota: 2000, rate: 200},
			seconds: 15, leastCold: 0.9, mostCold: 1, mostShed: 0.1,
		},
		{
			name:    "half are warm",
			day:     slowStartDay{replicas: 100, endpoints: 20, warm: 10, quota: 2000, rate: 2000},
			seconds: 3, leastCold: 0.05, mostCold: 0.2, mostShed: 0.01,
		},
		{
			name:    "one is warm: by its weight",
			day:     slowStartDay{replicas: 100, endpoints: 20, warm: 1, quota: 2000, rate: 2000},
			seconds: 3, leastCold: 0.5, mostCold: 0.8, mostShed: 0.01,
		},
		{
			name:    "an inner tier",
			day:     slowStartDay{replicas: 100, endpoints: 20, quota: 2000, rate: 2000, tier: 1},
			seconds: 3, leastCold: 0.99, mostCold: 1, mostShed: 0,
		},
		// A third are cold: 0.11 of the requests are as much for their capacity as the others get.
		{
			name:    "warm ones hold a request of each replica",
			day:     slowStartDay{replicas: 36, endpoints: 24, warm: 16, quota: 2000, rate: 1500, latency: 0.25},
			seconds: 3, leastCold: 0.03, mostCold: 0.13, mostShed: 0.1,
		},
		{
			name:    "warm ones hold some",
			day:     slowStartDay{replicas: 12, endpoints: 24, warm: 16, quota: 2000, rate: 1500, latency: 0.25},
			seconds: 3, leastCold: 0.03, mostCold: 0.13, mostShed: 0.1,
		},
		{
			name:    "requests are few",
			day:     slowStartDay{replicas: 100, endpoints: 24, warm: 16, quota: 2000, rate: 200, latency: 0.25},
			seconds: 3, leastCold: 0.02, mostCold: 0.12, mostShed: 0.1,
		},
	} {
		cold, shed := c.day.play(t, c.seconds)
		if cold < c.leastCold || cold > c.mostCold || shed > c.mostShed {
			t.Errorf("%s: %.3f to endpoints in slow start, %.3f shed", c.name, cold, shed)
		}
	}
	b, h := newTestBalancer(t, testSettings(), 0) // which names no tenants
	b.UpdateEndpoints(start, h, Snapshot, []Endpoint{{ID: "a", State: Ready, Weight: 1, StartedAt: start}})
	for i := range 50 {
		submit(b, h, start+int64(i)*1000, fmt.Sprint(i), 0)
		if len(h.sends) != i+1 {
			t.Fatalf("request %d to the only endpoint, which is in slow start: %s", i, h.last())
		}
		b.Outcome(start+int64(i)*1000, h, Outcome{ID: fmt.Sprint(i), Status: OK, Latency: 250_000, RequestDone: true})
	}
}
