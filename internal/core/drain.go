package core

import "time"

// LimitDeadlines ends all requests by a time, since the process may be killed soon after. It is for
// the drain that a SIGTERM begins. It does not close the pool.
func (p *Pool) LimitDeadlines(limit time.Time) {
	at := p.clock.At(limit)
	p.runEvent(func() {
		p.deadlineLimit = at
		for _, r := range p.requests {
			if r.expiry.index >= 0 && r.expiry.dueAt > at {
				p.timers.reschedule(&r.expiry, at)
			}
		}
	})
}

// Close has the pool admit no more requests; it completes those that it has.
func (p *Pool) Close() { p.runEvent(func() { p.closed = true }) }
