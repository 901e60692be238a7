package fleetsim

import "fernlanding/logic"

// host implements logic.Host for a replica.
type host replica

// host returns the replica as a logic.Host.
func (r *replica) host() logic.Host { return (*host)(r) }

// Forward implements logic.Host.
func (h *host) Forward(id, endpoint string, timeout int64) {
	r, s := (*replica)(h), h.sim
	q, b := r.requests[id], s.byID[endpoint]
	if q == nil || q.done || q.inFlight != nil || b == nil || b.tier != r.tier {
		s.audit.violation("a Send that cannot be: " + id + " to " + endpoint)
		return
	}
	if at, left := r.drainNotifiedAt[endpoint]; left && s.now-at > drainGrace {
		s.audit.violation("something new for " + endpoint + " after its drain was told")
	}
	a := &attempt{request: q, backend: b, number: q.attempts, sentAt: s.now}
	q.attempts++
	q.inFlight = a
	s.metrics.Attempts++
	s.inFlight[a] = s.attempts
	s.attempts++
	s.after(s.networkDelay(), func() { b.receive(a) })
	until := q.giveUpAt
	if timeout > 0 {
		until = min(until, s.now+timeout)
	}
	if until == q.giveUpAt {
		until-- // the replica answers before the client gives up
	}
	s.at(until, func() { a.giveUp(logic.TimedOut) })
}

// Shed implements logic.Host.
func (h *host) Shed(id string, retryAfter int64) {
	r := (*replica)(h)
	q := r.requests[id]
	if q == nil {
		return
	}
	r.sim.audit.recordShed(q)
	r.sim.recordShed(r, q)
	r.end(q, answer{status: shed, retryAfter: retryAfter})
}

// Fail implements logic.Host.
func (h *host) Fail(id string) {
	if q := h.requests[id]; q != nil {
		(*replica)(h).end(q, answer{status: failed})
	}
}

// SetTimer implements logic.Host.
func (h *host) SetTimer(delay int64, token string) {
	r := (*replica)(h)
	r.sim.after(delay, func() {
		if !r.dead {
			r.balancer.Timer(r.sim.now, r.host(), token)
		}
	})
}

// WatchEndpoints implements logic.Host. It does nothing, since the simulation pushes updates.
func (h *host) WatchEndpoints() {}

// Log implements logic.Host.
func (h *host) Log(string) {}
