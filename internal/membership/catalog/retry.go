package catalog

import (
	"math/rand/v2"
	"time"
)

const (
	// silentInterval is the time between calls to an agent that does not answer, whatever became of
	// the calls before: what it has when it speaks again counts as notified at that moment, and it
	// never answers what it got while it was silent.
	silentInterval = 100 * time.Millisecond
	// backoffGrowth is the factor by which the bound of the backoff grows with each rejection.
	backoffGrowth = 3
	// maxKeptRetryAfter is the longest Retry-After that is kept. Up to half as much again is added,
	// to spread the callers that got the same.
	maxKeptRetryAfter = 2 * time.Second
	// queueTime is for how long after a rejection, and after the call that follows its backoff, an
	// open call is taken to be queued by the service, so that none is made beside it. Later it may
	// as well hang in an agent that has fallen silent.
	queueTime = 3 * time.Second
)

// backoffBounds bounds the backoffs after rejections (status 503 or 429). Each is drawn from the
// upper half of a bound that grows from the first to the largest. A change counts as notified 6 s
// after the service had it and could be reached, so the longest backoff leaves some of that to the
// service's own queue.
type backoffBounds struct{ first, largest time.Duration }

var (
	// pushedBackoff: where lists are pushed, a rejection is rare, and short where an agent on the
	// replica's own machine restarts.
	pushedBackoff = backoffBounds{first: 250 * time.Millisecond, largest: 3 * time.Second}
	// onDemandBackoff: where all replicas call one service, a rejection says that its queue is
	// longer than it lets calls wait. All that are rejected come back within a backoff, so backoffs
	// are long enough for the queue to shrink meanwhile.
	onDemandBackoff = backoffBounds{first: time.Second, largest: 4 * time.Second}
)

// retryTimer decides when to call again, until one call is answered. It has no clock: times come in
// as arguments, and backoffs are drawn from its source of randomness. It is not safe for concurrent
// use.
type retryTimer struct {
	random   *rand.Rand
	interval time.Duration // between calls to a silent agent
	bounds   backoffBounds

	next        time.Time     // when to call again where no call is open, or the agent is silent
	called      time.Time     // when the last call was made
	queuedUntil time.Time     // an open call counts as queued; zero: none does
	rejected    bool          // there was a rejection since the last call
	bound       time.Duration // of the last backoff; 0: none
}

// newRetryTimer returns a timer whose first call is due at once.
func newRetryTimer(
	now time.Time, interval time.Duration, bounds backoffBounds, random *rand.Rand,
) *retryTimer {
	return &retryTimer{random: random, interval: interval, bounds: bounds, next: now}
}

// due returns when to call again; callOpen says that a call is open.
func (t *retryTimer) due(callOpen bool) time.Time {
	if callOpen && t.queuedUntil.After(t.next) {
		return t.queuedUntil
	}
	return t.next
}

// noteCall notes that a call is made.
func (t *retryTimer) noteCall(now time.Time) {
	if t.rejected {
		t.queuedUntil = now.Add(queueTime)
	}
	t.called, t.rejected = now, false
	t.next = now.Add(t.interval)
}

// noteRejection notes that a call was rejected; retryAfter is 0 where the service asked for none.
// Several calls that are rejected with none made in between are one rejection.
func (t *retryTimer) noteRejection(now time.Time, retryAfter time.Duration) {
	t.queuedUntil = now.Add(queueTime)
	if t.rejected {
		return
	}
	t.rejected = true
	t.next = now.Add(max(t.drawBackoff(), t.drawRetryAfter(retryAfter)))
}

// noteFailure notes that a call was reset, its connection refused, or its answer invalid: what was
// in the agent's queue is lost, and it is called like one that is silent.
func (t *retryTimer) noteFailure() {
	t.queuedUntil, t.rejected, t.bound = time.Time{}, false, 0
	t.next = t.called.Add(t.interval)
}

// drawBackoff draws the backoff after one more rejection.
func (t *retryTimer) drawBackoff() time.Duration {
	t.bound = min(max(backoffGrowth*t.bound, t.bounds.first), t.bounds.largest)
	return t.bound/2 + t.drawUpTo(t.bound/2)
}

// drawRetryAfter draws the delay that a Retry-After asks for.
func (t *retryTimer) drawRetryAfter(retryAfter time.Duration) time.Duration {
	kept := min(retryAfter, maxKeptRetryAfter)
	return kept + t.drawUpTo(kept/2)
}

// drawUpTo returns a uniformly distributed duration from 0 to a longest one, included.
func (t *retryTimer) drawUpTo(longest time.Duration) time.Duration {
	return time.Duration(t.random.Int64N(int64(longest) + 1))
}
