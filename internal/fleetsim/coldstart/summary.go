package coldstart

import (
	"math"
	"slices"
	"time"
)

// summarize returns the result of the simulated day.
func (s *simulation) summarize() Result {
	r := s.result
	s.summarizeCalls(&r)
	for _, n := range s.fullPolls {
		r.PeakFullPolls = max(r.PeakFullPolls, float64(n))
	}
	var ready, recovered []float64
	for _, replica := range s.replicas {
		readyAt := math.Inf(1)
		if replica.readyAt >= 0 {
			readyAt = replica.readyAt.Seconds()
		}
		ready = append(ready, readyAt)
		if replica.withoutListAtOutageEnd {
			recovered = append(recovered, readyAt-s.day.outageEnd().Seconds())
		}
	}
	r.Ready95, r.ReadyAll = quantile95(ready), largest(ready)
	r.Recovered95, r.RecoveredAll = quantile95(recovered), largest(recovered)
	return r
}

// summarizeCalls sets the peak and steady rates of calls.
func (s *simulation) summarizeCalls(r *Result) {
	end := int(s.day.Length / time.Second)
	recovery := end
	if s.day.OutageAt > 0 {
		recovery = int(s.day.outageEnd() / time.Second)
	}
	quarter, steady := max(1, end/4), 0
	for second, n := range s.calls {
		r.PeakCalls = max(r.PeakCalls, float64(n))
		if second >= recovery {
			r.PeakCallsAfterOutage = max(r.PeakCallsAfterOutage, float64(n))
		}
		if second >= end-quarter && second < end {
			steady += n
		}
	}
	r.SteadyCalls = float64(steady) / float64(quarter)
}

// quantile95 returns the value that 95% of the values do not exceed, or 0 if there are no values.
func quantile95(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(0.95*float64(len(sorted))))]
}

// largest returns the largest value, or 0 if there are no values.
func largest(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return slices.Max(values)
}
