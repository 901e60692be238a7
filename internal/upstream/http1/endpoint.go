package http1

import (
	"sync"

	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/start"
)

// endpoint is one backend as the endpoint list now has it, with the idle connections to it. Its
// fields are guarded by Upstream.mu.
type endpoint struct {
	name    string
	addr    string
	started int64 // milliseconds, as the list has it; another value is another incarnation
	ready   bool

	// epoch goes up when the backend drains, leaves, restarts or moves. It is written under both
	// Upstream.mu and writeMu and may be read under either.
	epoch   int
	writeMu sync.RWMutex // read-locked while a request's first write is under way; see roundTripper.beginWrite

	idle        []*conn // the most recently used last
	unreachable bool    // the last dial failed
	dials       start.DialLimiter
	connChange  chan struct{} // closed when a dial has ended or a connection falls idle; nil: nobody waits for that
}

// notifyWaiters wakes the attempts that wait for a connection.
func (e *endpoint) notifyWaiters() {
	if e.connChange != nil {
		close(e.connChange)
		e.connChange = nil
	}
}

// UpdateEndpoints implements core.Upstream. Idle connections to a backend that has restarted,
// moved, drained or left are closed: nothing new is to be sent there, or the process at their other
// end is no more.
func (u *Upstream) UpdateEndpoints(full bool, entries []membership.Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, entry := range entries {
		u.updateEndpoint(entry)
	}
	if full {
		u.removeUnlisted(entries)
	}
}

// updateEndpoint applies one entry of the endpoint list. The caller holds mu.
func (u *Upstream) updateEndpoint(entry membership.Endpoint) {
	e := u.endpoints[entry.Name]
	if e == nil {
		e = &endpoint{name: entry.Name}
		u.endpoints[entry.Name] = e
	}
	ready := entry.Status == membership.Serving
	if e.addr != entry.Address || e.started != entry.StartedMs || e.ready != ready {
		e.addr, e.started, e.ready = entry.Address, entry.StartedMs, ready
		u.advanceEpoch(e)
	}
	if entry.Status == membership.Deleted {
		delete(u.endpoints, entry.Name)
	}
}

// removeUnlisted removes the endpoints that a snapshot lacks. The caller holds mu.
func (u *Upstream) removeUnlisted(snapshot []membership.Endpoint) {
	listed := make(map[string]bool, len(snapshot))
	for _, entry := range snapshot {
		listed[entry.Name] = true
	}
	for name, e := range u.endpoints {
		if !listed[name] {
			e.ready = false
			u.advanceEpoch(e)
			delete(u.endpoints, name)
		}
	}
}

// advanceEpoch begins a new epoch of an endpoint: attempts chosen in an earlier one send nothing
// from here on. The caller holds mu.
func (u *Upstream) advanceEpoch(e *endpoint) {
	e.writeMu.Lock() // waits for the first writes that have seen the old epoch
	e.epoch++
	e.writeMu.Unlock()
	e.unreachable = false
	e.dials.Reset()
	e.notifyWaiters()
	for _, c := range e.idle {
		u.closeLocked(c)
	}
	e.idle = nil
}

// isCurrent reports whether an endpoint is still in an epoch.
func (u *Upstream) isCurrent(e *endpoint, epoch int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return e.epoch == epoch
}

// RoundTripper implements core.Upstream.
func (u *Upstream) RoundTripper(name string) core.RoundTripper {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.endpoints[name]
	if e == nil || !e.ready {
		return nil
	}
	return &roundTripper{upstream: u, endpoint: e, addr: e.addr, epoch: e.epoch}
}
