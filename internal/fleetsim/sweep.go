package fleetsim

import (
	"math/rand/v2"
	"slices"
)

// Outcome is what a sweep keeps of one day.
type Outcome struct {
	Day            string    `json:"day"`
	Seed           uint64    `json:"seed"`
	Service        float64   `json:"service"`
	CalmService    float64   `json:"calm"` // of the same day without its faults
	ExcessShedding float64   `json:"shadow"`
	ExcessByLimits float64   `json:"gate_shadow"` // of it, by other rules than the tenants' quotas
	OverloadedTime float64   `json:"overdriven"`
	Recovery       []float64 `json:"recovery_s"` // of each fault whose end the day shows
	Violations     []string  `json:"broken,omitempty"`
}

// Evaluate simulates a day and its calm twin. The result is the day's own.
func Evaluate(d *Day) (Outcome, *Result) {
	r := Run(d, Options{})
	o := Outcome{
		Day:            d.Name,
		Seed:           d.Seed,
		Service:        r.Service(),
		CalmService:    r.Service(),
		ExcessShedding: r.ExcessShedding(),
		ExcessByLimits: r.ExcessSheddingByLimits(),
		OverloadedTime: r.OverloadedTime(),
		Violations:     r.Violations,
	}
	if len(d.Faults) == 0 {
		return o, r
	}
	calm := Run(d.Calm(), Options{})
	o.CalmService = calm.Service()
	o.Violations = append(o.Violations, calm.Violations...)
	for _, f := range d.Faults {
		if s, ok := r.Recovery(calm, f); ok {
			o.Recovery = append(o.Recovery, s)
		}
	}
	return o, r
}

// Seeds draws n seeds of a stream; two streams share none but by chance.
func Seeds(stream uint64, n int) []uint64 {
	rnd := rand.New(rand.NewPCG(stream, 0x5eed))
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = rnd.Uint64() >> 12 // exact in JSON
	}
	return seeds
}

// Sweep evaluates each day with each seed. Days are independent: forEach may call its function for
// the numbers from 0 to n-1 on many cores.
func Sweep(days []*Day, seeds []uint64, forEach func(n int, evaluate func(int))) []Outcome {
	outcomes := make([]Outcome, len(days)*len(seeds))
	forEach(len(outcomes), func(i int) {
		d := *days[i/len(seeds)]
		d.Seed = seeds[i%len(seeds)]
		outcomes[i], _ = Evaluate(&d)
	})
	return outcomes
}

// Summary is a sweep in quantiles.
type Summary struct {
	Days               int     `json:"days"`
	Service10          float64 `json:"service_p10"`
	Service50          float64 `json:"service_p50"`
	CalmService50      float64 `json:"calm_p50"`
	Recovery50         float64 `json:"recovery_p50_s"`
	Recovery90         float64 `json:"recovery_p90_s"`
	ExcessShedding     float64 `json:"shadow_mean"`
	ExcessByLimits     float64 `json:"gate_shadow_mean"`
	OverloadedTime     float64 `json:"overdriven_mean"`
	DaysWithViolations int     `json:"days_with_a_broken_rule"`
}

// Summarize sums up outcomes.
func Summarize(outcomes []Outcome) Summary {
	var s Summary
	var service, calm, recovery []float64
	n := float64(len(outcomes))
	for _, o := range outcomes {
		service = append(service, o.Service)
		calm = append(calm, o.CalmService)
		recovery = append(recovery, o.Recovery...)
		s.ExcessShedding += o.ExcessShedding / n
		s.ExcessByLimits += o.ExcessByLimits / n
		s.OverloadedTime += o.OverloadedTime / n
		if len(o.Violations) > 0 {
			s.DaysWithViolations++
		}
	}
	s.Days = len(outcomes)
	s.Service10, s.Service50 = Quantile(service, 0.1), Quantile(service, 0.5)
	s.CalmService50 = Quantile(calm, 0.5)
	s.Recovery50, s.Recovery90 = Quantile(recovery, 0.5), Quantile(recovery, 0.9)
	return s
}

// ByDay groups outcomes by the name of their day, and returns the names in the order in which they
// came first.
func ByDay(outcomes []Outcome) ([]string, map[string][]Outcome) {
	var names []string
	groups := map[string][]Outcome{}
	for _, o := range outcomes {
		if !slices.Contains(names, o.Day) {
			names = append(names, o.Day)
		}
		groups[o.Day] = append(groups[o.Day], o)
	}
	return names, groups
}
