package start

import "time"

// The bounds of dials to a backend that is not established.
const (
	initialDials     = 2 // concurrent dials to a backend none of whose connections has been established yet
	dialGrowth       = 2 // factor by which the bound grows with each connection that is established
	establishedDials = 16
	firstDialDelay   = 50 * time.Millisecond // after a first failure; doubled with each further one
	maxDialDelay     = 2 * time.Second
)

// DialLimiter bounds the connections that one replica dials concurrently to one backend. A backend
// that has just started, or that does not answer, gets few: a hundred replicas that each dial one
// for every waiting request fill its accept queue before it has accepted the first. The zero value
// is ready for use. It is not safe for concurrent use.
type DialLimiter struct {
	limit    int // of concurrent dials; 0 stands for initialDials
	inFlight int
	delay    time.Duration // after the last failure
	notUntil time.Time     // before which there is no dial
}

// Allow reports whether another connection may be dialed now, and counts it. Otherwise wait is the
// least time until one may be, or 0 where that depends on the dials in flight.
func (d *DialLimiter) Allow(now time.Time) (ok bool, wait time.Duration) {
	if now.Before(d.notUntil) {
		return false, d.notUntil.Sub(now)
	}
	if d.inFlight >= max(d.limit, initialDials) {
		return false, 0
	}
	d.inFlight++
	return true, 0
}

// Done notes that a dial has ended, and whether it established a connection or failed. One that was
// canceled for reasons of the caller's own (its request has ended) says nothing of the backend:
// established and failed are both false.
func (d *DialLimiter) Done(now time.Time, established, failed bool) {
	d.inFlight--
	switch {
	case established:
		d.limit = min(max(d.limit, initialDials)*dialGrowth, establishedDials)
		d.delay, d.notUntil = 0, time.Time{}
	case failed:
		d.limit = initialDials
		d.delay = min(max(2*d.delay, firstDialDelay), maxDialDelay)
		d.notUntil = now.Add(d.delay)
	}
}

// Reset forgets what is known of the backend, because it has restarted. Dials in flight no longer
// count, and Done must not be called for them.
func (d *DialLimiter) Reset() { *d = DialLimiter{} }

// Established reports whether the backend has its full bound of concurrent dials: its connections
// are established as far as is known.
func (d *DialLimiter) Established() bool { return d.limit >= establishedDials }
