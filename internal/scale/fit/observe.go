package fit

import (
	"fernlanding/internal/scale/result"
)

// costOf returns a role's costs in a round.
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

// measured returns a figure of a role in a round, over all processes of the role. It is not ok if
// the figure was not measured.
func measured(r *result.Round, role Role, figure Metric) (value float64, ok bool) {
	if figure.IsTime() {
		return quantile(r, role, figure)
	}
	c := costOf(r, role)
	if *c == (result.Cost{}) {
		return 0, false
	}
	switch figure {
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

// quantile returns a figure that is a time, in seconds. It is not ok if nothing was timed.
func quantile(r *result.Round, role Role, figure Metric) (value float64, ok bool) {
	if role != Proxies {
		return 0, false
	}
	switch figure {
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

// observation is a figure as one round measured it.
type observation struct {
	at    Drivers
	x     float64 // the size in the sweep's dimension
	value float64
}

// observe returns a figure of a role at all points of a result that are not held out.
func observe(res *result.Result, role Role, figure Metric) []observation {
	var all []observation
	for i := range res.Points {
		p := &res.Points[i]
		if p.HeldOut {
			continue
		}
		for k := range p.Rounds {
			r := &p.Rounds[k]
			if value, ok := measured(r, role, figure); ok {
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

// DimensionValue returns the value of a size in one dimension.
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

// MeanOf returns the mean over a point's rounds of a figure of a role. It is not ok if the figure
// was not measured.
func MeanOf(p *result.Point, role Role, figure Metric) (mean float64, ok bool) {
	n := 0
	for k := range p.Rounds {
		if v, ok := measured(&p.Rounds[k], role, figure); ok {
			mean += v
			n++
		}
	}
	return mean / float64(max(n, 1)), n > 0
}
