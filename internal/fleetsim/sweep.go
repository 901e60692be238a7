package fleetsim

import (
	"math/rand/v2"
	"slices"
)

// Outcome is what a sweep keeps of one day.
type Outcome struct {
	Day        string    `json:"day"`
	Seed       uint64    `json:"seed"`
	Service    float64   `json:"service"`
	Calm       float64   `json:"calm"` // service of the same day without its troubles
	Shadow     float64   `json:"shadow"`
	Gate       float64   `json:"gate_shadow"` // of it, by other rules than the tenants' shares
	Overdriven float64   `json:"overdriven"`
	Recovery   []float64 `json:"recovery_s"` // of each trouble whose end the day shows
	Broken     []string  `json:"broken,omitempty"`
}

// Judge plays a day and its calm twin. The result is the day's own.
func Judge(d *Day) (Outcome, *Result) {
	r := Play(d, Options{})
	o := Outcome{
		Day: d.Name, Seed: d.Seed, Service: r.Service(), Calm: r.Service(), Shadow: r.ShadowPart(), Gate: r.GatePart(),
		Overdriven: r.Overdriven(), Broken: r.Broken,
	}
	if len(d.Trouble) == 0 {
		return o, r
	}
	calm := Play(d.Calm(), Options{})
	o.Calm = calm.Service()
	o.Broken = append(o.Broken, calm.Broken...)
	for _, t := range d.Trouble {
		if s, ok := r.Recovery(calm, t); ok {
			o.Recovery = append(o.Recovery, s)
		}
	}
	return o, r
}

// Seeds draws n seeds of a stream; streams share none but by chance.
func Seeds(stream uint64, n int) []uint64 {
	rnd := rand.New(rand.NewPCG(stream, 0x5eed))
	all := make([]uint64, n)
	for i := range all {
		all[i] = rnd.Uint64() >> 12 // exact in JSON
	}
	return all
}

// Sweep judges each day with each seed. Days are independent: each may run what it is given on many cores.
func Sweep(days []*Day, seeds []uint64, each func(n int, f func(int))) []Outcome {
	all := make([]Outcome, len(days)*len(seeds))
	each(len(all), func(i int) {
		d := *days[i/len(seeds)]
		d.Seed = seeds[i%len(seeds)]
		all[i], _ = Judge(&d)
	})
	return all
}

// Summary is a sweep in quantiles.
type Summary struct {
	Days       int     `json:"days"`
	Service10  float64 `json:"service_p10"`
	Service50  float64 `json:"service_p50"`
	Calm50     float64 `json:"calm_p50"`
	Recovery50 float64 `json:"recovery_p50_s"`
	Recovery90 float64 `json:"recovery_p90_s"`
	Shadow     float64 `json:"shadow_mean"`
	Gate       float64 `json:"gate_shadow_mean"`
	Overdriven float64 `json:"overdriven_mean"`
	Broken     int     `json:"days_with_a_broken_rule"`
}

// Summarize sums up outcomes.
func Summarize(all []Outcome) Summary {
	var s Summary
	var service, calm, recovery []float64
	for _, o := range all {
		service, calm, recovery = append(service, o.Service), append(calm, o.Calm), append(recovery, o.Recovery...)
		s.Shadow += o.Shadow / float64(len(all))
		s.Gate += o.Gate / float64(len(all))
		s.Overdriven += o.Overdriven / float64(len(all))
		if len(o.Broken) > 0 {
			s.Broken++
		}
	}
	s.Days = len(all)
	s.Service10, s.Service50, s.Calm50 = Quantile(service, 0.1), Quantile(service, 0.5), Quantile(calm, 0.5)
	s.Recovery50, s.Recovery90 = Quantile(recovery, 0.5), Quantile(recovery, 0.9)
	return s
}

// ByDay groups outcomes by the name of their day, in the order in which these came first.
func ByDay(all []Outcome) (names []string, groups map[string][]Outcome) {
	groups = map[string][]Outcome{}
	for _, o := range all {
		if !slices.Contains(names, o.Day) {
			names = append(names, o.Day)
		}
		groups[o.Day] = append(groups[o.Day], o)
	}
	return names, groups
}
