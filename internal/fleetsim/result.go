package fleetsim

import (
	"math"
	"slices"
)

const (
	recoveryWindow   = 2_000_000 / slotLength // slots of arrivals over which recovery is measured
	recoveryFraction = 0.95                   // fraction of the fault-free service that counts as recovered
)

// Result is the result of a simulated day.
type Result struct {
	Day *Day
	Metrics
	Violations []string // descriptions of the audit rules that were violated
	Trace      *Trace   // nil unless Options.Trace is set
}

// result returns the result after the last event.
func (s *simulation) result() *Result {
	for _, r := range s.replicas {
		if !r.dead && len(r.requests) > 0 {
			s.audit.violation("a request without a final answer")
		}
	}
	return &Result{Day: s.day, Metrics: s.metrics, Violations: s.audit.violations, Trace: s.trace}
}

// Service returns the served priority weight as a fraction of the requested priority weight.
func (r *Result) Service() float64 { return ratio(r.ServedWeight, r.RequestedWeight) }

// ExcessShedding returns the priority weight of attempts that were shed while all tiers had free
// capacity, as a fraction of the requested priority weight.
func (r *Result) ExcessShedding() float64 { return ratio(r.ExcessWeight, r.RequestedWeight) }

// ExcessSheddingByLimits returns the excess shedding without attempts shed by tenant quotas. Quotas
// are excluded because they are meant to hold back requests of low weight.
func (r *Result) ExcessSheddingByLimits() float64 {
	return ratio(r.ExcessLimitsWeight, r.RequestedWeight)
}

// OverloadedTime returns the fraction of time, over all backends, spent overloaded.
func (r *Result) OverloadedTime() float64 {
	return ratio(float64(r.overloadedSamples), float64(r.samples))
}

// ratio returns x / total, or 0 if total is 0.
func ratio(x, total float64) float64 {
	if total == 0 {
		return 0
	}
	return x / total
}

// Recovery returns the time in seconds from the end of a fault until the day has recovered. The day
// has recovered when the service over two seconds of arrivals is at least 95% of the service of the
// fault-free day over the same two seconds. Except for bursts, both days have the same requests. If
// the day does not recover, Recovery returns the rest of the day. It returns false if the day ends
// too soon after the fault.
func (r *Result) Recovery(faultFree *Result, f Fault) (float64, bool) {
	end := int((f.end() + slotLength - 1) / slotLength)
	last := int(r.Day.Length.micros()/slotLength) - recoveryWindow
	for i := end; i <= last; i++ {
		if r.windowService(i) >= recoveryFraction*faultFree.windowService(i) {
			return float64(i-end) * slotLength / 1e6, true
		}
	}
	return float64(last-end+1) * slotLength / 1e6, end <= last
}

// windowService returns the service over the recoveryWindow slots from slot on, or 1 if no request
// arrived in them.
func (r *Result) windowService(slot int) float64 {
	requested, served := 0.0, 0.0
	for i := slot; i < slot+recoveryWindow; i++ {
		requested += r.requestedBySlot[i]
		served += r.servedBySlot[i]
	}
	if requested == 0 {
		return 1
	}
	return served / requested
}

// WithoutFaults returns a copy of the day without faults. Except for the requests of bursts, both
// days have the same requests.
func (d *Day) WithoutFaults() *Day {
	faultFree := *d
	faultFree.Faults = nil
	return &faultFree
}

// Quantile returns the q-quantile of the values, or 0 if there are no values.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Round(q*float64(len(sorted)-1)))]
}
