package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

const (
	wavePeriod   = 11 * 1e6 // microseconds
	quotaSeconds = 1.0      // seconds of its quota that a tenant may send at once
)

// clientRequest is what a client wants, over all its attempts.
type clientRequest struct {
	class, tenant int
	arrivedAt     int64   // microseconds
	weight        float64 // priority weight
	work          float64 // microseconds of a core of speed 1, over all tiers
	key           string  // idempotency key
	name          string
	attempts      int
	answered      bool
}

// workload draws all client requests of the day. What faults bring is drawn apart from it.
func (s *simulation) workload() []*clientRequest {
	d := s.day
	rnd := rand.New(rand.NewPCG(d.Seed, streamRequests))
	phase := rnd.Float64() * 2 * math.Pi
	all := s.drawArrivals(rnd, arrivals{
		to: float64(s.length), rate: d.RequestRate(),
		keep: func(at float64) float64 {
			return (1 + d.Wave*math.Sin(phase+2*math.Pi*at/wavePeriod)) / (1 + d.Wave)
		},
	})
	for i := range d.Faults {
		f := &d.Faults[i]
		if f.Kind == FaultBurst && f.Factor > 1 {
			rnd := rand.New(rand.NewPCG(d.Seed, streamBursts<<8+uint64(i)))
			all = append(all, s.drawArrivals(rnd, s.burst(f))...)
		}
	}
	slices.SortStableFunc(all, func(x, y *clientRequest) int { return int(x.arrivedAt - y.arrivedAt) })
	s.assignWeights(all)
	return all
}

// burst returns the arrivals that a burst adds.
func (s *simulation) burst(f *Fault) arrivals {
	d := s.day
	rate := d.RequestRate()
	if tenant := d.tenantIndex(f.Tenant); tenant >= 0 {
		rate *= d.tenantFraction(tenant)
	}
	return arrivals{
		from: float64(f.At.micros()), to: math.Min(float64(s.length), float64(f.end())), tenant: f.Tenant,
		rate: rate * (f.Factor - 1), keep: func(float64) float64 { return 1 / (1 + d.Wave) },
	}
}

// arrivals describes a Poisson process: arrivals at a rate times (1+Wave), each kept with the
// probability that keep returns for its time.
type arrivals struct {
	from, to float64 // microseconds
	tenant   string  // empty: each is drawn
	rate     float64 // per second
	keep     func(at float64) float64
}

// drawArrivals draws the requests of a process.
func (s *simulation) drawArrivals(rnd *rand.Rand, p arrivals) []*clientRequest {
	d := s.day
	if p.rate <= 0 {
		return nil
	}
	var all []*clientRequest
	gap := 1e6 / (p.rate * (1 + d.Wave))
	for at := p.from + rnd.ExpFloat64()*gap; at < p.to; at += rnd.ExpFloat64() * gap {
		kept := rnd.Float64() < p.keep(at)
		r := &clientRequest{arrivedAt: int64(at), tenant: d.tenantIndex(p.tenant)}
		r.class = drawIndex(rnd, len(d.Classes), func(i int) float64 { return d.Classes[i].Share })
		if r.tenant < 0 && len(d.Tenants) > 0 {
			r.tenant = drawIndex(rnd, len(d.Tenants), d.tenantFraction)
		}
		class := &d.Classes[r.class]
		r.work = float64(class.Work.micros()) * workFactor(rnd, class.CV)
		if kept {
			all = append(all, r)
		}
	}
	return all
}

// drawIndex draws an index below n by weights.
func drawIndex(rnd *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := rnd.Float64() * sum
	for i := range n - 1 {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}

// workFactor draws a factor with a mean of 1: exponential if its coefficient of variation is 1,
// else lognormal.
func workFactor(rnd *rand.Rand, cv float64) float64 {
	if cv == 1 {
		return rnd.ExpFloat64()
	}
	variance := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(variance)*rnd.NormFloat64() - variance/2)
}

// assignWeights names requests and sets their priority weights, which are less where a tenant has
// used up its quota.
func (s *simulation) assignWeights(all []*clientRequest) {
	d := s.day
	tokens, filledAt := make([]float64, len(d.Tenants)), make([]int64, len(d.Tenants))
	total := d.tenantShares()
	for i, r := range all {
		r.name, r.weight = "o"+strconv.Itoa(i), 1
		if d.Classes[r.class].Idempotency == idempotentByKey {
			r.key = "k" + strconv.Itoa(i)
		}
		if r.tenant < 0 {
			continue
		}
		quota := d.Tenants[r.tenant].Share / total * d.Quota * s.capacity
		bucket := &tokens[r.tenant]
		*bucket = math.Min(math.Max(1, quota*quotaSeconds), *bucket+quota*float64(r.arrivedAt-filledAt[r.tenant])/1e6)
		filledAt[r.tenant] = r.arrivedAt
		if *bucket < 1 {
			r.weight = d.OverQuotaWeight
		} else {
			*bucket--
		}
	}
}
