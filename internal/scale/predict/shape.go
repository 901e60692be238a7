package predict

import (
	"math"

	"fernlanding/internal/scale/fit"
)

// shape is how uneven a fleet's services are: service i has sizes[i] backends, and the part followed[i] of all proxies
// follows it. Both fall by a power of the rank, whose exponent follows from the sums.
type shape struct {
	fleet    Fleet
	sizes    []float64
	followed []float64
}

func shapeOf(f Fleet, t *Target) *shape {
	s := &shape{fleet: f}
	s.sizes = powerLaw(f.Services, float64(f.LargestService), t.Get(LeastService), float64(f.Proxies))
	s.followed = powerLaw(f.Services, min(t.Get(FollowedPart), f.ServicesFollowed), 0, f.ServicesFollowed)
	return s
}

// halvings find an exponent to a part in 10^12.
const halvings = 46

// powerLaw returns n values largest*rank^-e, none below least, with e such that they add up to sum; as near as can be.
func powerLaw(n int, largest, least, sum float64) []float64 {
	low, high := 0.0, 64.0
	for range halvings {
		middle := (low + high) / 2
		if total(ranked(n, largest, least, middle)) > sum {
			low = middle
		} else {
			high = middle
		}
	}
	out := ranked(n, largest, least, high)
	if got := total(out); got < sum*(1-1e-6) { // even all at the largest are too few
		for i := range out {
			out[i] *= sum / got
		}
	}
	return out
}

func ranked(n int, largest, least, exponent float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = max(least, largest*math.Pow(float64(i+1), -exponent))
	}
	return out
}

func total(values []float64) (sum float64) {
	for _, v := range values {
		sum += v
	}
	return sum
}

// endpointsFollowed are those that a typical proxy holds.
func (s *shape) endpointsFollowed() (sum float64) {
	for i := range s.sizes {
		sum += s.followed[i] * s.sizes[i]
	}
	return sum
}

// largestEndpoints are those of the n largest services.
func (s *shape) largestEndpoints(n int) float64 { return total(s.sizes[:min(n, len(s.sizes))]) }

// callers is how many proxies follow service i.
func (s *shape) callers(i int) float64 { return float64(s.fleet.Proxies) * s.followed[i] }

// callRate is the calls a second of one caller to service i. Every backend gets as many calls as every other.
func (s *shape) callRate(i int) float64 {
	return s.fleet.CallsPerSecond / float64(s.fleet.Proxies) * s.sizes[i] / max(s.callers(i), 1)
}

// load is a number of changes to lists, spread over services.
type load struct {
	seconds float64   // over which they come
	changes []float64 // by service
}

// perBackend are n changes, each to a backend drawn from all: large services get more of them.
func (s *shape) perBackend(n, seconds float64) load {
	l := load{seconds: seconds, changes: make([]float64, len(s.sizes))}
	all := total(s.sizes)
	for i := range l.changes {
		l.changes[i] = n * s.sizes[i] / all
	}
	return l
}

// perService are n changes, each to a service drawn from all.
func (s *shape) perService(n, seconds float64) load {
	l := load{seconds: seconds, changes: make([]float64, len(s.sizes))}
	for i := range l.changes {
		l.changes[i] = n / float64(len(s.sizes))
	}
	return l
}

// toLargest are n changes to the largest service.
func (s *shape) toLargest(n, seconds float64) load {
	l := load{seconds: seconds, changes: make([]float64, len(s.sizes))}
	l.changes[0] = n
	return l
}

func (l load) plus(o load) load {
	out := load{seconds: l.seconds, changes: make([]float64, len(l.changes))}
	for i := range out.changes {
		out.changes[i] = l.changes[i] + o.changes[i]
	}
	return out
}

func (l load) total() float64 { return total(l.changes) }

// delivered is the number of changes, each counted for each proxy that follows its service, and the endpoints of the lists
// that they are changes to.
func (s *shape) delivered(l load) (changes, endpoints float64) {
	for i, c := range l.changes {
		changes += s.callers(i) * c
		endpoints += s.callers(i) * c * s.sizes[i]
	}
	return changes, endpoints
}

// read is the number of whole lists that blocking reads bring a second, and their endpoints. A proxy reads a list once a gap
// at most.
func (s *shape) read(l load, gap float64) (lists, endpoints float64) {
	for i, c := range l.changes {
		rate := min(fit.ReadRate(c/l.seconds), 1/gap)
		lists += s.callers(i) * rate
		endpoints += s.callers(i) * rate * s.sizes[i]
	}
	return lists, endpoints
}

// atRest are the drivers of the fleet without any change.
func (s *shape) atRest() fit.Drivers { return s.under(s.perBackend(0, 1), 1) }

// under are the drivers of the fleet under a load, with at most one reading of a list by a proxy in a gap.
func (s *shape) under(l load, gap float64) fit.Drivers {
	n := float64(s.fleet.Proxies)
	d := fit.Drivers{
		Proxies: n, Followed: n * total(s.followed), EndpointsHeld: n * s.endpointsFollowed(),
		Calls: s.fleet.CallsPerSecond, Services: float64(s.fleet.Services), Endpoints: total(s.sizes),
	}
	changes, endpoints := s.delivered(l)
	d.Changes, d.Delivered, d.EndpointsChanged = l.total()/l.seconds, changes/l.seconds, endpoints/l.seconds
	d.ListsRead, d.EndpointsRead = s.read(l, gap)
	for i, c := range l.changes {
		d.EndpointsPut += c * s.sizes[i] / l.seconds
	}
	return d
}

// ordinary are the changes of an ordinary day to lists and to configuration.
func (s *shape) ordinary(t *Target) load {
	lists := s.fleet.RestartsPerDay*t.Get(RestartChanges) + s.fleet.MachineFailuresPerDay*t.Get(FailureChanges)
	return s.perBackend(lists, day).plus(s.perService(s.fleet.ChangesPerDay, day))
}

const day = 86_400 // seconds
