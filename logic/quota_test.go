package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestTenantQuotaCanPassFractions(t *testing.T) {
	for _, quota := range []float64{0.5, 3, 40} {
		var q tenantQuota
		admitted := 0
		const secs = 40
		for now := start; now < start+secs*second; now += second / 100 {
			if q.canPass(now, start, quota, 1, 0, 0.5) {
				q.admitted.add(now, 1)
				admitted++
			}
		}
		if rate := float64(admitted) / secs; math.Abs(rate-quota) > 0.15*quota+1.0/secs {
			t.Errorf("quota of %.1f per second admitted %.2f per second", quota, rate)
		}
	}
}

// A fresh replica with an extended window admitted the requests of a long window at once and
// overloaded the front tier.
func TestFreshReplicaDoesNotAdmitLongWindowAtOnce(t *testing.T) {
	var q tenantQuota
	admitted := 0
	for now := start; now < start+second; now += second / 100 {
		if q.canPass(now, start, 3, 1, 0, 0.5) {
			q.admitted.add(now, 1)
			admitted++
		}
	}
	if admitted > 4 {
		t.Errorf("%d requests admitted in the first second with a quota of 3, want at most 4", admitted)
	}
}

// Each replica with sparse traffic admitted one request of each tenant per window, however low its
// quota. Hundreds of replicas continued to send to overloaded endpoints, which never recovered.
func TestSmallQuotaIsEnforcedAtSparseReplicas(t *testing.T) {
	admitted := 0
	rnd := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		var q tenantQuota
		for now := start; now < start+8*second; now += second {
			if q.canPass(now, start-100*second, 0.01, 1, 0, rnd.Float64()) {
				q.admitted.add(now, 1)
				admitted++
			}
		}
	}
	if most := 200; admitted >= most || admitted == 0 { // at 200, each replica would admit one request
		t.Errorf("200 replicas with a quota of 0.01 per second admitted %d requests in 8 s, want 1 to 199", admitted)
	}
}

// Under congestion, replicas whose tenants each send less than one request per window shed nothing
// after a cut of the multiple: the allowance for random variation admitted all requests.
func TestPoissonAllowanceFallsUnderPressure(t *testing.T) {
	s := testSettings()
	s.Replicas, s.Tenants = 100, []Tenant{{CapacityFraction: 0.5, Quota: 30}, {CapacityFraction: 0.5, Quota: 30}}
	sent := func(multiple float64) int {
		b, h := newTestBalancer(t, s, 4)
		for i := range 100 {
			now, id := start+int64(i)*4*second, fmt.Sprint(i)
			b.quotas.multiple, b.tenants[0].arrivals, b.arrivals = multiple, decayingCounter{}, decayingCounter{}
			b.Request(now, h, Request{ID: id, ClientDeadline: now + second})
			b.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
		}
		return len(h.sends)
	}
	if n := sent(1); n < 95 {
		t.Errorf("%d of 100 requests pass at a multiple of 1, want at least 95", n)
	}
	if n := sent(0.2); n > 60 || n < 20 {
		t.Errorf("%d of 100 requests pass at a multiple of 0.2, want 20 to 60", n)
	}
}

// At a replica with one request per second, random variation alone fills the quota of a tenant. A
// third of the requests was shed without any load. A tenant that keeps sending more than its
// fraction must still be limited.
func TestPoissonAllowanceAtSparseReplicas(t *testing.T) {
	s := testSettings()
	s.Replicas = 100
	for range 4 {
		s.Tenants = append(s.Tenants, Tenant{CapacityFraction: 0.25, Quota: 30})
	}
	for _, c := range []struct {
		perSecond        float64 // requests of tenant 0; the others send 0.25 per second each
		maxShed, minShed float64 // fractions of its requests that are shed
	}{{0.25, 0.05, 0}, {3, 1, 0.6}} {
		rnd := rand.New(rand.NewPCG(3, 3))
		sent, arrived := 0.0, 0.0
		for replica := range 20 {
			s.ReplicaIndex = replica
			b, h := newTestBalancer(t, s, 4)
			for now := start; now < start+40*second; now += second / 100 {
				for tenant, rate := range []float64{c.perSecond, 0.25, 0.25, 0.25} {
					if rnd.Float64() > rate/100 {
						continue
					}
					id := fmt.Sprint(now, tenant)
					before := len(h.sends)
					b.Request(now, h, Request{ID: id, Tenant: tenant, ClientDeadline: now + second})
					if tenant == 0 {
						arrived++
						sent += float64(len(h.sends) - before)
					}
					b.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 300_000, RequestDone: true})
				}
			}
		}
		if shed := 1 - sent/arrived; shed > c.maxShed || shed < c.minShed {
			t.Errorf("at %.2f requests per second and a quota of 0.3: fraction %.2f shed, want %.2f to %.2f",
				c.perSecond, shed, c.minShed, c.maxShed)
		}
	}
}

func TestTenantOverItsQuotaIsShed(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{CapacityFraction: 0.5, Quota: 20}, {CapacityFraction: 0.5, Quota: 20}}
	b, h := newTestBalancer(t, s, 4)
	sent := map[int]int{}
	n := 0
	for now := start; now < start+4*second; now += second / 100 {
		tenant := 0
		n++
		if n%10 == 0 { // tenant 0 sends 90 requests per second, tenant 1 sends 10
			tenant = 1
		}
		before := len(h.sends)
		id := fmt.Sprint(n)
		b.Request(now, h, Request{ID: id, Class: 0, Tenant: tenant, ClientDeadline: now + second})
		if len(h.sends) > before {
			sent[tenant]++
			b.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 400_000, RequestDone: true})
		}
	}
	if sent[1] != 40 {
		t.Errorf("%d of 40 requests of the tenant within its quota sent, want all", sent[1])
	}
	if sent[0] > 200 {
		t.Errorf("%d requests of the tenant above its quota of 20 per second sent in 4 s, want at most 200", sent[0])
	}
}

// A fresh replica limited every tenant to its quota from its first request on and was slow to raise
// the multiple. In a run of half a minute without load, these were most of the requests shed at the
// front tier. The first bad round ends the allowance above the quotas.
func TestFreshReplicaAdmitsAboveQuotaUntilAttemptsAreSlow(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{CapacityFraction: 1, Quota: 20}}
	b, h := newTestBalancer(t, s, 8)
	for i := range 32 { // one second of traffic at 1.6 times the quota
		now, id := start+int64(i)*second/32, fmt.Sprint(i)
		b.Request(now, h, Request{ID: id, ClientDeadline: now + second})
		b.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
	}
	if n := len(h.sends); n != 32 {
		t.Errorf("%d of 32 requests pass at a fresh replica, want all", n)
	}
	for i := 0; b.quotas.multiple > 1; i++ {
		if i == 10*roundSize {
			t.Fatalf("after 10 rounds of slow outcomes: multiple %v, want at most 1", b.quotas.multiple)
		}
		now := start + 2*second + int64(i)
		b.updatePressure(now, 0, &attempt{sentAt: now}, true, true)
	}
	if b.quotas.multiple < minMultiple || b.quotas.multiple >= 1 {
		t.Errorf("after a bad round: multiple %v, want at least minMultiple and less than 1", b.quotas.multiple)
	}
}

// One bad round limited a tenant to its quota for the rest of a short run, although attempts were
// timely again.
func TestQuotaMultipleRecoversWithinTwelveRounds(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{CapacityFraction: 1, Quota: 20}}
	b, _ := newTestBalancer(t, s, 8)
	b.quotas.multiple = multipleAfterBadRound
	for i := range 12 * roundSize {
		now := start + int64(i)
		b.updatePressure(now, 0, &attempt{sentAt: now}, false, false)
	}
	if b.quotas.multiple != initialMultiple {
		t.Errorf("after 12 good rounds: multiple %v, want initialMultiple", b.quotas.multiple)
	}
}

// Requests admitted at twice the quota blocked all others for seconds after a cut of the multiple,
// with hardly an attempt in flight.
func TestCutMultipleStillAdmitsItsRate(t *testing.T) {
	const quota = 20.0 // requests per second at a multiple of 1
	for _, c := range []struct{ before, after float64 }{{2, 0.5}, {2, 1}, {1, 0.5}, {0.5, 2}, {1, 1}} {
		q, admitted := &tenantQuota{}, 0
		for now := start; now < start+20*second; now += second / 200 {
			multiple := c.before
			if now >= start+10*second {
				multiple = c.after
			}
			if q.canPass(now, start-100*second, quota, multiple, 0, 0.5) {
				q.admitted.add(now, 1/multiple)
				if now >= start+10*second && now < start+12*second {
					admitted++
				}
			}
		}
		if want := 2 * quota * c.after; float64(admitted) < 0.8*want || float64(admitted) > 1.25*want+2 {
			t.Errorf("multiple changed from %.1f to %.1f: %d requests admitted in 2 s, want about %.0f",
				c.before, c.after, admitted, want)
		}
	}
}
