package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

const (
	wavePeriod        = 11 * 1e6 // microseconds
	quotaBurstSeconds = 1.0      // burst size of a tenant, in seconds of its quota
)

// clientRequest is a request of a client with all its attempts.
type clientRequest struct {
	class, tenant int     // indexes; tenant is negative if the day has no tenants
	arrivedAt     int64   // microseconds
	weight        float64 // priority weight
	work          float64 // microseconds of a core of speed 1, over all tiers
	key           string  // idempotency key
	name          string
	attempts      int
	answered      bool
}

// workload draws all client requests of the day. The requests of bursts are drawn from separate
// streams, so that they do not change the others.
func (s *simulation) workload() []*clientRequest {
	d := s.day
	rnd := rand.New(rand.NewPCG(d.Seed, streamRequests))
	phase := rnd.Float64() * 2 * math.Pi
	all := s.drawArrivals(rnd, arrivals{
		to: float64(s.length), rate: d.RequestRate(),
		keep: func(at float64) float64 {
			return (1 + d.RateAmplitude*math.Sin(phase+2*math.Pi*at/wavePeriod)) / (1 + d.RateAmplitude)
		},
	})
	for i := range d.Faults {
		f := &d.Faults[i]
		if f.Kind == FaultBurst && f.Factor > 1 {
			rnd := rand.New(rand.NewPCG(d.Seed, streamBursts<<8+uint64(i)))
			all = append(all, s.drawArrivals(rnd, s.burstArrivals(f))...)
		}
	}
	slices.SortStableFunc(all, func(x, y *clientRequest) int { return int(x.arrivedAt - y.arrivedAt) })
	s.assignWeights(all)
	return all
}

// burstArrivals returns the process of the arrivals that a burst adds.
func (s *simulation) burstArrivals(f *Fault) arrivals {
	d := s.day
	rate := d.RequestRate()
	if tenant := d.tenantIndex(f.Tenant); tenant >= 0 {
		rate *= d.tenantFraction(tenant)
	}
	return arrivals{
		from: float64(f.At.micros()), to: math.Min(float64(s.length), float64(f.end())), tenant: f.Tenant,
		rate: rate * (f.Factor - 1), keep: func(float64) float64 { return 1 / (1 + d.RateAmplitude) },
	}
}

// arrivals describes a Poisson process by thinning. Arrivals are drawn at rate * (1 +
// RateAmplitude), and each is kept with the probability that keep returns for its time.
type arrivals struct {
	from, to float64 // microseconds
	tenant   string  // name of the tenant; empty means that each request's tenant is drawn
	rate     float64 // per second
	keep     func(at float64) float64
}

// drawArrivals draws the requests of a Poisson process.
func (s *simulation) drawArrivals(rnd *rand.Rand, p arrivals) []*clientRequest {
	d := s.day
	if p.rate <= 0 {
		return nil
	}
	var all []*clientRequest
	gap := 1e6 / (p.rate * (1 + d.RateAmplitude))
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

// drawIndex draws an index below n with probabilities proportional to the weights.
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

// workFactor draws a factor with a mean of 1 and the coefficient of variation cv. The distribution
// is exponential if cv is 1, and lognormal otherwise.
func workFactor(rnd *rand.Rand, cv float64) float64 {
	if cv == 1 {
		return rnd.ExpFloat64()
	}
	variance := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(variance)*rnd.NormFloat64() - variance/2)
}

// assignWeights sets the names, idempotency keys and priority weights of requests. A request beyond
// its tenant's quota, which a token bucket measures, gets the weight OverQuotaWeight.
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
		*bucket = math.Min(math.Max(1, quota*quotaBurstSeconds),
			*bucket+quota*float64(r.arrivedAt-filledAt[r.tenant])/1e6)
		filledAt[r.tenant] = r.arrivedAt
		if *bucket < 1 {
			r.weight = d.OverQuotaWeight
		} else {
			*bucket--
		}
	}
}
