// Package fit works out from the results of sweeps how each figure of each role grows: a line for each sweep, and one
// model over all sweeps of a source whose terms are costs per proxy, per service followed, and so on. It is pure.
//
// Points that are held out never enter a fit.
package fit

import (
	"fernlanding/internal/scale/result"
)

// Role is a kind of process whose costs are measured together.
type Role string

// The roles of a sweep.
const (
	Proxies Role = "proxies"
	Lists   Role = "lists"
	Relays  Role = "relays"
)

// Roles returns all roles.
func Roles() []Role { return []Role{Proxies, Lists, Relays} }

// Figure is something that is measured of a role.
type Figure string

// The figures. Those of time are of the proxies alone.
const (
	CPU           Figure = "cpu" // cores: CPU seconds a second
	RSS           Figure = "rss" // bytes
	Heap          Figure = "heap"
	Allocated     Figure = "allocated" // bytes a second
	Allocations   Figure = "allocations"
	Goroutines    Figure = "goroutines"
	Connections   Figure = "connections"
	BytesIn       Figure = "bytes_in" // a second
	BytesOut      Figure = "bytes_out"
	MessagesIn    Figure = "messages_in"
	MessagesOut   Figure = "messages_out"
	InForceMedian Figure = "in_force_p50" // seconds
	InForceP99    Figure = "in_force_p99"
	InForceLast   Figure = "in_force_last"
	CallMedian    Figure = "call_p50"
	CallP99       Figure = "call_p99"
)

const (
	bytesPerMiB    = 1 << 20
	microPerSecond = 1e6
)

// Figures returns all figures.
func Figures() []Figure {
	return []Figure{
		CPU, RSS, Heap, Allocated, Allocations, Goroutines, Connections, BytesIn, BytesOut, MessagesIn, MessagesOut,
		InForceMedian, InForceP99, InForceLast, CallMedian, CallP99,
	}
}

// IsTime tells whether the figure is a quantile of a time. Times are not added up over proxies.
func (f Figure) IsTime() bool {
	switch f {
	case InForceMedian, InForceP99, InForceLast, CallMedian, CallP99:
		return true
	}
	return false
}

// isState tells whether the figure is something that is held, not done.
func (f Figure) isState() bool {
	return f == RSS || f == Heap || f == Goroutines || f == Connections
}

// Unit is the figure's unit as people read it, and the number of base units in it.
func (f Figure) Unit() (name string, base float64) {
	switch f {
	case CPU:
		return "millicores", 1e-3
	case RSS, Heap:
		return "MiB", bytesPerMiB
	case Allocated, BytesIn, BytesOut:
		return "B/s", 1
	case Goroutines, Connections:
		return "", 1
	case CallMedian, CallP99:
		return "µs", 1 / microPerSecond
	case InForceMedian, InForceP99, InForceLast:
		return "ms", 1e-3
	}
	return "/s", 1
}

// cost is what a round says of a role.
func cost(r *result.Round, role Role) *result.Cost {
	switch role {
	case Lists:
		return &r.Lists
	case Relays:
		return &r.Relays
	}
	return &r.Proxies
}

// measured returns a figure of a role in a round, over all processes of the role; not ok where it was not measured.
func measured(r *result.Round, role Role, figure Figure) (value float64, ok bool) {
	if figure.IsTime() {
		return quantile(r, role, figure)
	}
	c := cost(r, role)
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
	}
	return float64(c.MessagesOut) / r.Seconds, true
}

func quantile(r *result.Round, role Role, figure Figure) (value float64, ok bool) {
	if role != Proxies {
		return 0, false
	}
	switch figure {
	case InForceMedian:
		return r.InForce.P50, r.InForce.Count > 0
	case InForceP99:
		return r.InForce.P99, r.InForce.Count > 0
	case InForceLast:
		return r.InForce.Max, r.InForce.Count > 0
	case CallMedian:
		return r.Call.P50, r.Call.Count > 0
	}
	return r.Call.P99, r.Call.Count > 0
}

// observation is a figure as one round measured it.
type observation struct {
	at    Drivers
	x     float64 // in the sweep's dimension
	value float64
}

// observe collects a figure of a role from the points of a result that are not held out.
func observe(res *result.Result, role Role, figure Figure) (all []observation) {
	for i := range res.Points {
		p := &res.Points[i]
		if p.HeldOut {
			continue
		}
		for k := range p.Rounds {
			r := &p.Rounds[k]
			if value, ok := measured(r, role, figure); ok {
				all = append(all, observation{at: DriversOf(p.Size, cost(r, role).Processes, r.Relays.Processes), x: Along(res.Dimension, p.Size), value: value})
			}
		}
	}
	return all
}

// Along is a size in one dimension.
func Along(d result.Dimension, s result.Size) float64 {
	switch d {
	case result.Services:
		return float64(s.Services)
	case result.Backends:
		return float64(s.Backends)
	case result.Changes:
		return s.ChangesPerSecond
	case result.Calls:
		return s.CallsPerSecond
	}
	return float64(s.Proxies)
}
