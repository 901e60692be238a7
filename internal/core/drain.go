package core

import "time"

// LimitDeadlines caps the deadlines of all present and future requests at limit. It is called when
// SIGTERM starts a drain, because the process may be killed soon after limit. LimitDeadlines does
// not close the pool.
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

// Close stops the admission of new requests. The pool completes the requests that it has.
func (p *Pool) Close() { p.runEvent(func() { p.closed = true }) }
