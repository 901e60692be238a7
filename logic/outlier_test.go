package logic

import (
	"fmt"
	"testing"
)

// Endpoints that failed one class got no requests of other classes either, and the other endpoints
// were overloaded.
func TestErrorAffectsClassAndTimeoutAffectsEndpoint(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), 4)
	failing, healthy := b.endpoints.byID["s0"], b.endpoints.byID["s1"]
	for range 5 {
		b.updateOutlierState(failing, 0, Error)
		b.updateOutlierState(healthy, 0, OK)
	}
	if w := b.endpointWeight(start, failing, 0); w > b.endpointWeight(start, healthy, 0)/5 {
		t.Errorf("endpoint that fails the class has weight %v for it", w)
	}
	if b.endpointWeight(start, failing, 2) != b.endpointWeight(start, healthy, 2) {
		t.Error("errors of one class changed the weight for another class")
	}
	for range 5 {
		b.updateOutlierState(failing, 0, TimedOut)
		for range 3 {
			b.updateOutlierState(healthy, 0, OK)
		}
	}
	if w := b.endpointWeight(start, failing, 2); w > b.endpointWeight(start, healthy, 2)/5 {
		t.Errorf("endpoint with timeouts has weight %v for another class", w)
	}
}

// An error from all endpoints comes from a deeper tier, and no endpoint is an outlier.
func TestFailureThatPeersShowMakesNoOutlier(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), 4)
	for range 100 {
		for _, s := range b.endpoints.byID {
			b.updateOutlierState(s, 0, Error)
		}
	}
	for _, s := range b.endpoints.byID {
		if b.updateOutlierState(s, 0, Error) {
			t.Errorf("%s is an outlier for a failure that its peers show", s.ID)
		}
	}
}

// When a zone is lost, all its endpoints refuse connections. Each of them is still an outlier.
func TestRefusedConnectionAlwaysMakesOutlier(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), 8)
	for range 5 {
		for _, s := range b.endpoints.byID {
			if !b.updateOutlierState(s, 0, ConnectFailed) {
				t.Fatalf("%s is not an outlier for a refused connection", s.ID)
			}
		}
	}
}

// playFastFailures submits n requests of a class, 5 ms apart, to endpoints of which the first two
// fail at once. It returns the number of attempts at each endpoint.
func playFastFailures(t *testing.T, endpoints, n, class int) (*Balancer, map[string]int) {
	t.Helper()
	b, h := newTestBalancer(t, settingsWithLongObjectives(), endpoints)
	attempts := map[string]int{}
	type call struct {
		id string
		at int64
	}
	var inFlight []call
	for i := range n {
		now := start + int64(i)*5_000
		for len(inFlight) > 0 && inFlight[0].at <= now {
			c := inFlight[0]
			inFlight = inFlight[1:]
			b.Outcome(c.at, h, Outcome{ID: c.id, Status: OK, Latency: 300_000, RequestDone: true})
		}
		id, before := fmt.Sprint("q", i), len(h.sends)
		b.Request(now, h, Request{ID: id, Class: class, Tenant: -1, ClientDeadline: now + 6*second})
		if len(h.sends) == before {
			continue
		}
		endpoint := h.sends[before].endpoint
		attempts[endpoint]++
		if endpoint == "s0" || endpoint == "s1" {
			b.Outcome(now+1000, h, Outcome{ID: id, Status: Error, Latency: 1000, RequestDone: true})
		} else {
			inFlight = append(inFlight, call{id, now + 300_000})
		}
	}
	return b, attempts
}

// Endpoints that fail at once hold no attempts and therefore attracted most of them. Their failures
// raised the usual error rate until none of them was an outlier, and counted as attempts without
// congestion.
func TestFailingEndpointsGetProbesOnly(t *testing.T) {
	for _, c := range []struct {
		class int
		most  int // maximum number of 3,000 attempts that go to the two endpoints
	}{{0, 3000/probeInterval + 40}, {2, 40}} {
		b, attempts := playFastFailures(t, 10, 3000, c.class)
		if n := attempts["s0"] + attempts["s1"]; n > c.most {
			t.Errorf("class %d: %d attempts went to failing endpoints, want at most %d", c.class, n, c.most)
		}
		stats := b.Stats()
		if stats.Tier.LastCut.Evidence != NoEvidence || stats.Classes[c.class].LastCut.Evidence != NoEvidence {
			t.Errorf("class %d: limits were cut, want no cut: %+v", c.class, stats)
		}
	}
}

// If all endpoints fail alike, none is an outlier, and the limits are cut.
func TestNoOutlierWhereAllFail(t *testing.T) {
	b, h := newTestBalancer(t, settingsWithLongObjectives(), 6)
	playOutcomes(b, h, start, 300, 10_000, 100_000, func(i int) Status { return []Status{OK, Error}[i%2] })
	stats := b.Stats()
	if stats.Tier.LastCut.Evidence != FailureEvidence {
		t.Errorf("half of all attempts failed: limit of the tier cut by %v, want a cut by failures",
			stats.Tier.LastCut.Evidence)
	}
	failing := 0
	for _, s := range b.endpoints.ready {
		if s.healthFor(0) < failingHealth {
			failing++
		}
	}
	if failing > 3 {
		t.Errorf("%d of 6 endpoints are below failingHealth for failures of all, want at most 3", failing)
	}
}

// Failures of an outlier do not change the limits, the quota multiple or the spillover weight,
// however many there are.
func TestOutlierFailureIsNoEvidenceOfLoad(t *testing.T) {
	b, h := newTestBalancer(t, settingsWithLongObjectives(), 6)
	now := playOutcomes(b, h, start, 200, 10_000, 300_000, alwaysOK)
	before := b.tier
	for i := range 50 {
		id := fmt.Sprint("x", i)
		b.Request(now, h, Request{ID: id, Class: 2, Tenant: -1, ClientDeadline: now + 6*second})
		a := b.requests[id].attempts[0]
		a.endpoint.inFlight--
		a.endpoint = b.endpoints.ready[0]
		a.endpoint.inFlight++
		b.Outcome(now+1, h, Outcome{ID: id, Status: Reset, Latency: 1, RequestDone: true})
	}
	after := b.tier
	if after.limit != before.limit || after.late.total != before.late.total ||
		after.failures.total > before.failures.total+1 {
		t.Errorf("limit %.1f, late outcomes %d, failures %d after; %.1f, %d and %d before",
			after.limit, after.late.total, after.failures.total, before.limit, before.late.total, before.failures.total)
	}
}
