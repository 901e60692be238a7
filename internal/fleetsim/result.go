package fleetsim

import (
	"math"
	"slices"
)

// The windows of arrival by which recovery is measured.
const (
	recoveryWindow   = 2_000_000 / slotLength // slots
	recoveryFraction = 0.95
)

// Result is a day that has been simulated.
type Result struct {
	Day *Day
	Metrics
	Violations []string // of rules, in words; none on a day that is as it must be
	Trace      *Trace   // nil unless Options.Trace is set
}

// result returns the day as it ended.
func (s *simulation) result() *Result {
	for _, r := range s.replicas {
		if !r.dead && len(r.requests) > 0 {
			s.audit.violation("a request without a final answer")
		}
	}
	return &Result{Day: s.day, Metrics: s.metrics, Violations: s.audit.violations, Trace: s.trace}
}

// Service returns the priority weight served, as a fraction of that requested.
func (r *Result) Service() float64 { return ratio(r.WeightServed, r.Weight) }

// ExcessShedding returns the priority weight of attempts shed while capacity was free, as a
// fraction of the weight requested.
func (r *Result) ExcessShedding() float64 { return ratio(r.ExcessWeight, r.Weight) }

// ExcessSheddingByLimits returns the same without attempts that a tenant's quota shed, which is
// meant to hold back what has little weight.
func (r *Result) ExcessSheddingByLimits() float64 { return ratio(r.ExcessLimitsWeight, r.Weight) }

// OverloadedTime returns the fraction of all backends' time in which they were slowed by overload.
func (r *Result) OverloadedTime() float64 {
	return ratio(float64(r.overloadedSamples), float64(r.samples))
}

// ratio returns x / of, and 0 if of is 0.
func ratio(x, of float64) float64 {
	if of == 0 {
		return 0
	}
	return x / of
}

// Recovery returns the time in seconds from a fault's end until service over two seconds of
// arrivals is 95% of that of the same time of the calm day, which had the same requests; the rest
// of the day if it never is. It returns false if the day ends too soon to tell.
func (r *Result) Recovery(calm *Result, f Fault) (float64, bool) {
	end := int((f.end() + slotLength - 1) / slotLength)
	last := int(r.Day.Length.micros()/slotLength) - recoveryWindow
	for i := end; i <= last; i++ {
		if r.serviceFrom(i) >= recoveryFraction*calm.serviceFrom(i) {
			return float64(i-end) * slotLength / 1e6, true
		}
	}
	return float64(last-end+1) * slotLength / 1e6, end <= last
}

// serviceFrom returns the service over a window of arrivals that begins with the slot.
func (r *Result) serviceFrom(slot int) float64 {
	weight, weightServed := 0.0, 0.0
	for i := slot; i < slot+recoveryWindow; i++ {
		weight += r.weight[i]
		weightServed += r.weightServed[i]
	}
	if weight == 0 {
		return 1
	}
	return weightServed / weight
}

// Calm returns the day without its faults, with the same requests.
func (d *Day) Calm() *Day {
	calm := *d
	calm.Faults = nil
	return &calm
}

// Quantile returns the q-quantile of the values, 0 if there are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Round(q*float64(len(sorted)-1)))]
}
