package http1

import (
	"sync"

	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/start"
)

// endpoint is a backend as the current endpoint list describes it, with the idle connections to it.
// Upstream.mu guards its fields.
type endpoint struct {
	name    string
	addr    string
	started int64 // start time in milliseconds from the endpoint list; another value means a restart
	ready   bool

	// epoch increases when the backend drains, leaves, restarts or moves. It is written with both
	// Upstream.mu and writeMu held and may be read with either of them held.
	epoch   int
	writeMu sync.RWMutex // read-locked during a request's first write; see roundTripper.beginWrite

	idle        []*conn // most recently used last
	unreachable bool    // the last dial failed
	dialLimiter start.DialLimiter
	connChange  chan struct{} // closed when a dial ends or a connection becomes idle; nil if no attempt waits
}

// notifyWaiters wakes the attempts that wait for a connection.
func (e *endpoint) notifyWaiters() {
	if e.connChange != nil {
		close(e.connChange)
		e.connChange = nil
	}
}

// UpdateEndpoints implements core.Upstream. It closes the idle connections to a backend that has
// restarted, moved, drained or left. No new request may be sent to a backend that has drained or
// left, and after a restart or move the process at the other end of the connections no longer
// exists.
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

// removeUnlisted removes the endpoints that are missing from a snapshot. The caller holds mu.
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

// advanceEpoch starts a new epoch of an endpoint. Attempts that selected the endpoint in an earlier
// epoch send nothing from then on. The caller holds mu.
func (u *Upstream) advanceEpoch(e *endpoint) {
	e.writeMu.Lock() // waits for first writes that have read the old epoch
	e.epoch++
	e.writeMu.Unlock()
	e.unreachable = false
	e.dialLimiter.Reset()
	e.notifyWaiters()
	for _, c := range e.idle {
		u.closeLocked(c)
	}
	e.idle = nil
}

// isCurrent reports whether epoch is still the epoch of an endpoint.
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
