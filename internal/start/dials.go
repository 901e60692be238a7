package start

import "time"

// How connections to a backend that has not shown itself yet are paced.
const (
	unprovenDials = 2 // connections that a copy opens at once to a backend none of whose connections has come up yet
	dialsUp       = 2 // times as many once one has, for each that comes up, until it is proven
	provenDials   = 16
	dialRest      = 50 * time.Millisecond // after a connection that did not come up, the least
	mostDialRest  = 2 * time.Second
)

// DialLimiter bounds the connections that one copy opens at once to one backend. A backend that has just started, or that does not
// answer, gets few: a hundred copies that each open one for every waiting request fill its queue of connections before it
// has accepted the first. It is not safe for concurrent use.
type DialLimiter struct {
	most int // at once; 0 stands for unprovenDials
	open int // on their way
	rest time.Duration
	till time.Time // none before
}

// Allow tells whether another connection may be opened now, and counts it; otherwise how long it is at least until one may,
// or 0 where that depends on those that are on their way.
func (d *DialLimiter) Allow(now time.Time) (ok bool, wait time.Duration) {
	if now.Before(d.till) {
		return false, d.till.Sub(now)
	}
	if d.open >= max(d.most, unprovenDials) {
		return false, 0
	}
	d.open++
	return true, 0
}

// Done takes the news that a connection has come up, or has not. One that was given up for reasons of the caller's own
// (its request has ended) says nothing of the backend: up and failed are both false.
func (d *DialLimiter) Done(now time.Time, up, failed bool) {
	d.open--
	switch {
	case up:
		d.most, d.rest, d.till = min(max(d.most, unprovenDials)*dialsUp, provenDials), 0, time.Time{}
	case failed:
		d.most = unprovenDials
		d.rest = min(max(2*d.rest, dialRest), mostDialRest)
		d.till = now.Add(d.rest)
	}
}

// Reset is for a backend that has started anew: what was learned of it does not hold, and what is on its way does not count.
func (d *DialLimiter) Reset() { *d = DialLimiter{} }

// Established tells whether connections come up as far as is known.
func (d *DialLimiter) Established() bool { return d.most >= provenDials }
