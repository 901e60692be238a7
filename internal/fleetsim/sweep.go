package fleetsim

import (
	"math/rand/v2"
	"slices"
)

// Outcome is the result of one day in a sweep.
type Outcome struct {
	Day              string    `json:"day"`
	Seed             uint64    `json:"seed"`
	Service          float64   `json:"service"`
	FaultFreeService float64   `json:"calm"` // service of the same day without faults
	ExcessShedding   float64   `json:"shadow"`
	ExcessByLimits   float64   `json:"gate_shadow"` // part of ExcessShedding that is not caused by tenant quotas
	OverloadedTime   float64   `json:"overdriven"`
	Recovery         []float64 `json:"recovery_s"` // seconds, for each fault that ends early enough in the day
	Violations       []string  `json:"broken,omitempty"`
}

// Evaluate simulates a day and the same day without faults. The returned Result is that of the day
// with faults.
func Evaluate(d *Day) (Outcome, *Result) {
	r := Run(d, Options{})
	o := Outcome{
		Day:              d.Name,
		Seed:             d.Seed,
		Service:          r.Service(),
		FaultFreeService: r.Service(),
		ExcessShedding:   r.ExcessShedding(),
		ExcessByLimits:   r.ExcessSheddingByLimits(),
		OverloadedTime:   r.OverloadedTime(),
		Violations:       r.Violations,
	}
	if len(d.Faults) == 0 {
		return o, r
	}
	faultFree := Run(d.WithoutFaults(), Options{})
	o.FaultFreeService = faultFree.Service()
	o.Violations = append(o.Violations, faultFree.Violations...)
	for _, f := range d.Faults {
		if s, ok := r.Recovery(faultFree, f); ok {
			o.Recovery = append(o.Recovery, s)
		}
	}
	return o, r
}

// Seeds draws n seeds from the given stream. Different streams share seeds only by chance.
func Seeds(stream uint64, n int) []uint64 {
	rnd := rand.New(rand.NewPCG(stream, 0x5eed))
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = rnd.Uint64() >> 12 // exact in JSON
	}
	return seeds
}

// Sweep evaluates each day with each seed. The evaluations are independent, so forEach may call its
// function for the numbers from 0 to n-1 concurrently.
func Sweep(days []*Day, seeds []uint64, forEach func(n int, evaluate func(int))) []Outcome {
	outcomes := make([]Outcome, len(days)*len(seeds))
	forEach(len(outcomes), func(i int) {
		d := *days[i/len(seeds)]
		d.Seed = seeds[i%len(seeds)]
		outcomes[i], _ = Evaluate(&d)
	})
	return outcomes
}

// Summary holds the quantiles and means of a sweep.
type Summary struct {
	Days               int     `json:"days"`
	Service10          float64 `json:"service_p10"`
	Service50          float64 `json:"service_p50"`
	FaultFreeService50 float64 `json:"calm_p50"`
	Recovery50         float64 `json:"recovery_p50_s"`
	Recovery90         float64 `json:"recovery_p90_s"`
	ExcessShedding     float64 `json:"shadow_mean"`
	ExcessByLimits     float64 `json:"gate_shadow_mean"`
	OverloadedTime     float64 `json:"overdriven_mean"`
	DaysWithViolations int     `json:"days_with_a_broken_rule"`
}

// Summarize returns the summary of outcomes.
func Summarize(outcomes []Outcome) Summary {
	var s Summary
	var service, faultFree, recovery []float64
	n := float64(len(outcomes))
	for _, o := range outcomes {
		service = append(service, o.Service)
		faultFree = append(faultFree, o.FaultFreeService)
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
	s.FaultFreeService50 = Quantile(faultFree, 0.5)
	s.Recovery50, s.Recovery90 = Quantile(recovery, 0.5), Quantile(recovery, 0.9)
	return s
}

// ByDay groups outcomes by the name of their day. It returns the names in order of first occurrence
// and the groups by name.
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
