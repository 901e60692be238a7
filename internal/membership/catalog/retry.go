package catalog

import (
	"math/rand/v2"
	"time"
)

const (
	// silentInterval is the time between calls to an agent that does not respond, regardless of the
	// results of the earlier calls. The agent never answers calls that it received while it was
	// silent, and the platform considers the replica notified of the agent's list as soon as the
	// agent responds again.
	silentInterval = 100 * time.Millisecond
	// backoffGrowth is the factor by which the bound of the backoff grows with each rejection.
	backoffGrowth = 3
	// maxHonoredRetryAfter caps the Retry-After that is honored. Up to half of the delay is added
	// at random, to spread callers that received the same value.
	maxHonoredRetryAfter = 2 * time.Second
	// queueTime is how long an open call is assumed to be queued by the service, counted from a
	// rejection or from the call that follows its backoff. No second call is made during that time.
	// After it, the call may as well hang in an agent that has become silent.
	queueTime = 3 * time.Second
)

// backoffBounds bounds the backoffs after rejections (status 503 or 429). Each backoff is drawn
// from the upper half of a bound that grows from first to largest. The platform considers the
// replica notified of a change 6 s after the service had the change and was reachable, so the
// largest backoff leaves time for the service's own queue.
type backoffBounds struct{ first, largest time.Duration }

var (
	// pushedBackoff applies in the pushed mode, in which rejections are rare, and short if an agent
	// on the replica's own machine restarts.
	pushedBackoff = backoffBounds{first: 250 * time.Millisecond, largest: 3 * time.Second}
	// onDemandBackoff applies in the on-demand mode. There a rejection means that the service's
	// queue is longer than the wait that it allows. All rejected callers return within one backoff,
	// so backoffs are long enough for the queue to shrink.
	onDemandBackoff = backoffBounds{first: time.Second, largest: 4 * time.Second}
)

// retryTimer decides when to call again until a call succeeds. It has no clock: times are passed as
// arguments, and backoffs are drawn from its source of randomness. It is not safe for concurrent
// use.
type retryTimer struct {
	random   *rand.Rand
	interval time.Duration // between calls to a silent agent
	bounds   backoffBounds

	next        time.Time     // time of the next call if no call is open or the agent is silent
	lastCall    time.Time     // time of the last call
	queuedUntil time.Time     // an open call counts as queued until then; zero if none does
	rejected    bool          // whether a call was rejected since the last call
	bound       time.Duration // bound of the last backoff; 0 if there was none
}

// newRetryTimer returns a retryTimer whose first call is due at once.
func newRetryTimer(
	now time.Time, interval time.Duration, bounds backoffBounds, random *rand.Rand,
) *retryTimer {
	return &retryTimer{random: random, interval: interval, bounds: bounds, next: now}
}

// due returns when to call again. callOpen reports whether a call is open.
func (t *retryTimer) due(callOpen bool) time.Time {
	if callOpen && t.queuedUntil.After(t.next) {
		return t.queuedUntil
	}
	return t.next
}

// recordCall records that a call is made.
func (t *retryTimer) recordCall(now time.Time) {
	if t.rejected {
		t.queuedUntil = now.Add(queueTime)
	}
	t.lastCall, t.rejected = now, false
	t.next = now.Add(t.interval)
}

// recordRejection records that a call was rejected. A retryAfter of 0 means that the service sent
// none. Several rejections without a call in between count as one.
func (t *retryTimer) recordRejection(now time.Time, retryAfter time.Duration) {
	t.queuedUntil = now.Add(queueTime)
	if t.rejected {
		return
	}
	t.rejected = true
	t.next = now.Add(max(t.drawBackoff(), t.drawRetryAfter(retryAfter)))
}

// recordFailure records that a call was reset, its connection refused or its response invalid. The
// agent has lost its queue, so it is called at the interval of a silent agent.
func (t *retryTimer) recordFailure() {
	t.queuedUntil, t.rejected, t.bound = time.Time{}, false, 0
	t.next = t.lastCall.Add(t.interval)
}

// drawBackoff draws the backoff after one more rejection.
func (t *retryTimer) drawBackoff() time.Duration {
	t.bound = min(max(backoffGrowth*t.bound, t.bounds.first), t.bounds.largest)
	return t.bound/2 + t.drawUpTo(t.bound/2)
}

// drawRetryAfter draws the delay for a Retry-After.
func (t *retryTimer) drawRetryAfter(retryAfter time.Duration) time.Duration {
	delay := min(retryAfter, maxHonoredRetryAfter)
	return delay + t.drawUpTo(delay/2)
}

// drawUpTo draws a uniformly distributed duration from 0 to longest, inclusive.
func (t *retryTimer) drawUpTo(longest time.Duration) time.Duration {
	return time.Duration(t.random.Int64N(int64(longest) + 1))
}
