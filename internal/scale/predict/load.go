package predict

import (
	"fernlanding/internal/scale/fit"
)

const secondsPerDay = 86_400

// changeLoad is a number of list changes per service within a time.
type changeLoad struct {
	seconds float64   // time within which the changes are made
	changes []float64 // by service
}

// changesPerBackend returns n changes distributed evenly over all backends, so that the number of
// changes of a service is proportional to its size.
func (m *fleetModel) changesPerBackend(n, seconds float64) changeLoad {
	l := changeLoad{seconds: seconds, changes: make([]float64, len(m.sizes))}
	all := total(m.sizes)
	for i := range l.changes {
		l.changes[i] = n * m.sizes[i] / all
	}
	return l
}

// changesPerService returns n changes distributed evenly over all services.
func (m *fleetModel) changesPerService(n, seconds float64) changeLoad {
	l := changeLoad{seconds: seconds, changes: make([]float64, len(m.sizes))}
	for i := range l.changes {
		l.changes[i] = n / float64(len(m.sizes))
	}
	return l
}

// changesToLargest returns n changes to the largest service.
func (m *fleetModel) changesToLargest(n, seconds float64) changeLoad {
	l := changeLoad{seconds: seconds, changes: make([]float64, len(m.sizes))}
	l.changes[0] = n
	return l
}

// ordinaryDay returns the list and configuration changes of an ordinary day.
func (m *fleetModel) ordinaryDay(t *Target) changeLoad {
	restarts := m.fleet.RestartsPerDay * t.Assumed(RestartChanges)
	failures := m.fleet.MachineFailuresPerDay * t.Assumed(FailureChanges)
	listChanges := m.changesPerBackend(restarts+failures, secondsPerDay)
	return listChanges.plus(m.changesPerService(m.fleet.ConfigChangesPerDay, secondsPerDay))
}

// scaled returns the changes times a factor, within a new time in seconds.
func (l changeLoad) scaled(factor, seconds float64) changeLoad {
	out := changeLoad{seconds: seconds, changes: make([]float64, len(l.changes))}
	for i := range out.changes {
		out.changes[i] = factor * l.changes[i]
	}
	return out
}

// plus returns the changes of both loads within the time of the first load.
func (l changeLoad) plus(o changeLoad) changeLoad {
	out := changeLoad{seconds: l.seconds, changes: make([]float64, len(l.changes))}
	for i := range out.changes {
		out.changes[i] = l.changes[i] + o.changes[i]
	}
	return out
}

func (l changeLoad) total() float64 { return total(l.changes) }

// delivered returns the number of changes, counted once for each proxy that follows the service, and
// the number of endpoints of the lists to which the changes belong.
func (m *fleetModel) delivered(l changeLoad) (changes, endpoints float64) {
	for i, n := range l.changes {
		changes += m.callers(i) * n
		endpoints += m.callers(i) * n * m.sizes[i]
	}
	return changes, endpoints
}

// listReads returns the number of snapshots per second that long polls return, and the number of
// their endpoints. A proxy reads a list at most once per interval, which is in seconds.
func (m *fleetModel) listReads(l changeLoad, interval float64) (lists, endpoints float64) {
	for i, n := range l.changes {
		rate := min(fit.LongPollRate(n/l.seconds), 1/interval)
		lists += m.callers(i) * rate
		endpoints += m.callers(i) * rate * m.sizes[i]
	}
	return lists, endpoints
}

// driversAtRest returns the drivers of the fleet without changes.
func (m *fleetModel) driversAtRest() fit.Drivers {
	return m.driversUnder(m.changesPerBackend(0, 1), 1)
}

// driversUnder returns the drivers of the fleet under a load of changes. A proxy reads a list at most
// once per interval, which is in seconds.
func (m *fleetModel) driversUnder(l changeLoad, interval float64) fit.Drivers {
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
