package predict

import (
	"fernlanding/internal/scale/fit"
)

const day = 86_400 // seconds

// load is a number of changes to lists, spread over services.
type load struct {
	seconds float64   // within which the changes are made
	changes []float64 // by service
}

// changesPerBackend returns n changes that are spread over all backends: large services receive
// more of them.
func (m *fleetModel) changesPerBackend(n, seconds float64) load {
	l := load{seconds: seconds, changes: make([]float64, len(m.sizes))}
	all := total(m.sizes)
	for i := range l.changes {
		l.changes[i] = n * m.sizes[i] / all
	}
	return l
}

// changesPerService returns n changes that are spread evenly over all services.
func (m *fleetModel) changesPerService(n, seconds float64) load {
	l := load{seconds: seconds, changes: make([]float64, len(m.sizes))}
	for i := range l.changes {
		l.changes[i] = n / float64(len(m.sizes))
	}
	return l
}

// changesToLargest returns n changes to the largest service.
func (m *fleetModel) changesToLargest(n, seconds float64) load {
	l := load{seconds: seconds, changes: make([]float64, len(m.sizes))}
	l.changes[0] = n
	return l
}

// ordinaryDay returns the changes to lists and to configuration on an ordinary day.
func (m *fleetModel) ordinaryDay(t *Target) load {
	restarts := m.fleet.RestartsPerDay * t.Assumed(RestartChanges)
	failures := m.fleet.MachineFailuresPerDay * t.Assumed(FailureChanges)
	return m.changesPerBackend(restarts+failures, day).plus(m.changesPerService(m.fleet.ConfigChangesPerDay, day))
}

// scaled returns the load times a factor, within other seconds.
func (l load) scaled(factor, seconds float64) load {
	out := load{seconds: seconds, changes: make([]float64, len(l.changes))}
	for i := range out.changes {
		out.changes[i] = factor * l.changes[i]
	}
	return out
}

// plus returns the changes of both loads within the seconds of the first.
func (l load) plus(o load) load {
	out := load{seconds: l.seconds, changes: make([]float64, len(l.changes))}
	for i := range out.changes {
		out.changes[i] = l.changes[i] + o.changes[i]
	}
	return out
}

func (l load) total() float64 { return total(l.changes) }

// delivered returns the number of changes, each counted once for each proxy that follows its
// service, and the number of endpoints of the lists that they belong to.
func (m *fleetModel) delivered(l load) (changes, endpoints float64) {
	for i, n := range l.changes {
		changes += m.callers(i) * n
		endpoints += m.callers(i) * n * m.sizes[i]
	}
	return changes, endpoints
}

// listReads returns the number of complete lists per second that long polls return, and the number
// of their endpoints. A proxy reads a list at most once per interval, in seconds.
func (m *fleetModel) listReads(l load, interval float64) (lists, endpoints float64) {
	for i, n := range l.changes {
		rate := min(fit.LongPollRate(n/l.seconds), 1/interval)
		lists += m.callers(i) * rate
		endpoints += m.callers(i) * rate * m.sizes[i]
	}
	return lists, endpoints
}

// driversAtRest returns the drivers of the fleet without any change.
func (m *fleetModel) driversAtRest() fit.Drivers {
	return m.driversUnder(m.changesPerBackend(0, 1), 1)
}

// driversUnder returns the drivers of the fleet under a load. A proxy reads a list at most once per
// interval, in seconds.
func (m *fleetModel) driversUnder(l load, interval float64) fit.Drivers {
	proxies := float64(m.fleet.Proxies)
	changes, endpoints := m.delivered(l)
	lists, endpointsRead := m.listReads(l, interval)
	drivers := fit.Drivers{
		Proxies:          proxies,
		Followed:         proxies * total(m.followed),
		EndpointsHeld:    proxies * m.endpointsFollowed(),
		Changes:          l.total() / l.seconds,
		Delivered:        changes / l.seconds,
		EndpointsChanged: endpoints / l.seconds,
		ListsRead:        lists,
		EndpointsRead:    endpointsRead,
		Calls:            m.fleet.CallsPerSecond,
		Services:         float64(m.fleet.Services),
		Endpoints:        total(m.sizes),
	}
	for i, n := range l.changes {
		drivers.EndpointsPut += n * m.sizes[i] / l.seconds
	}
	return drivers
}
