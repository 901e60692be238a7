package fit

import (
	"fernlanding/internal/scale/result"
)

// costOf returns the costs of a role in a round.
func costOf(r *result.Round, role Role) *result.Cost {
	switch role {
	case Lists:
		return &r.Lists
	case Relays:
		return &r.Relays
	default:
		return &r.Proxies
	}
}

// roundValue returns a metric of a role in a round, over all processes of the role. The result ok is
// false if the metric was not measured.
func roundValue(r *result.Round, role Role, metric Metric) (value float64, ok bool) {
	if metric.IsTime() {
		return timeQuantile(r, role, metric)
	}
	c := costOf(r, role)
	if *c == (result.Cost{}) {
		return 0, false
	}
	switch metric {
	case CPU:
		return c.CPUSeconds / r.Seconds, true
	case RSS:
		return float64(c.RSSBytes), c.RSSBytes > 0
	case Heap:
		return float64(c.HeapBytes), c.HeapBytes > 0
	case Allocated:
		return float64(c.AllocatedBytes) / r.Seconds, c.AllocatedBytes > 0
	case Allocations:
		return float64(c.Allocations) / r.Seconds, c.Allocations > 0
	case Goroutines:
		return float64(c.Goroutines), c.Goroutines > 0
	case Connections:
		return float64(c.Connections), true
	case BytesIn:
		return float64(c.BytesIn) / r.Seconds, true
	case BytesOut:
		return float64(c.BytesOut) / r.Seconds, true
	case MessagesIn:
		return float64(c.MessagesIn) / r.Seconds, true
	default:
		return float64(c.MessagesOut) / r.Seconds, true
	}
}

// timeQuantile returns a metric that is a time, in seconds. The result ok is false if no time was
// recorded.
func timeQuantile(r *result.Round, role Role, metric Metric) (value float64, ok bool) {
	if role != Proxies {
		return 0, false
	}
	switch metric {
	case PropagationMedian:
		return r.Propagation.P50, r.Propagation.Count > 0
	case PropagationP99:
		return r.Propagation.P99, r.Propagation.Count > 0
	case PropagationMax:
		return r.Propagation.Max, r.Propagation.Count > 0
	case CallMedian:
		return r.Call.P50, r.Call.Count > 0
	default:
		return r.Call.P99, r.Call.Count > 0
	}
}

// observation is the value of a metric in one round.
type observation struct {
	at    Drivers
	x     float64 // size along the dimension of the sweep
	value float64
}

// observe returns the values of a metric of a role at all points of a result that are not held out.
func observe(res *result.Result, role Role, metric Metric) []observation {
	var all []observation
	for i := range res.Points {
		p := &res.Points[i]
		if p.HeldOut {
			continue
		}
		for k := range p.Rounds {
			r := &p.Rounds[k]
			if value, ok := roundValue(r, role, metric); ok {
				all = append(all, observation{
					at:    DriversOf(p.Size, costOf(r, role).Processes, r.Relays.Processes),
					x:     DimensionValue(res.Dimension, p.Size),
					value: value,
				})
			}
		}
	}
	return all
}

// DimensionValue returns the value of a size along one dimension.
func DimensionValue(d result.Dimension, s result.Size) float64 {
	switch d {
	case result.Services:
		return float64(s.Services)
	case result.Backends:
		return float64(s.Backends)
	case result.Changes:
		return s.ChangesPerSecond
	case result.Calls:
		return s.CallsPerSecond
	default:
		return float64(s.Proxies)
	}
}

// MeanOf returns the mean of a metric of a role over the rounds of a point. The result ok is false
// if the metric was not measured.
func MeanOf(p *result.Point, role Role, metric Metric) (mean float64, ok bool) {
	n := 0
	for k := range p.Rounds {
		if v, ok := roundValue(&p.Rounds[k], role, metric); ok {
			mean += v
			n++
		}
	}
	return mean / float64(max(n, 1)), n > 0
}
