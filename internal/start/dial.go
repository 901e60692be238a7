package start

import "time"

// Limits of dials to a backend that is not established.
const (
	initialDials     = 2 // concurrent dials to a backend before its first connection
	dialGrowth       = 2 // factor by which the limit grows with each established connection
	establishedDials = 16
	firstDialDelay   = 50 * time.Millisecond // after the first failure; doubles with each further failure
	maxDialDelay     = 2 * time.Second
)

// DialLimiter limits the connections that one replica dials concurrently to one backend. The limit
// is low for a backend that has just started or does not respond, because a hundred replicas that
// each dial one connection per waiting request would fill its accept queue before it accepts the
// first connection. The zero value is ready for use. DialLimiter is not safe for concurrent use.
type DialLimiter struct {
	limit        int // of concurrent dials; 0 means initialDials
	inFlight     int
	delay        time.Duration // after the last failure
	blockedUntil time.Time     // no dials are allowed before this time
}

// Allow reports whether another connection may be dialed now, and counts it if so. Otherwise wait
// is the minimum time until the next dial, or 0 if that depends on the dials in flight.
func (d *DialLimiter) Allow(now time.Time) (ok bool, wait time.Duration) {
	if now.Before(d.blockedUntil) {
		return false, d.blockedUntil.Sub(now)
	}
	if d.inFlight >= max(d.limit, initialDials) {
		return false, 0
	}
	d.inFlight++
	return true, 0
}

// Done records that a dial has ended, and whether it established a connection or failed. For a dial
// that the caller canceled, for example because its request ended, established and failed are both
// false, because such a dial gives no information about the backend.
func (d *DialLimiter) Done(now time.Time, established, failed bool) {
	d.inFlight--
	switch {
	case established:
		d.limit = min(max(d.limit, initialDials)*dialGrowth, establishedDials)
		d.delay, d.blockedUntil = 0, time.Time{}
	case failed:
		d.limit = initialDials
		d.delay = min(max(2*d.delay, firstDialDelay), maxDialDelay)
		d.blockedUntil = now.Add(d.delay)
	}
}

// Reset discards the state of a backend that has restarted. Dials in flight are no longer counted,
// and Done must not be called for them.
func (d *DialLimiter) Reset() { *d = DialLimiter{} }

// Established reports whether the backend has reached the full limit of concurrent dials, which
// means that its connections are established as far as is known.
func (d *DialLimiter) Established() bool { return d.limit >= establishedDials }
