package catalog

import (
	"math/rand/v2"
	"time"
)

const (
	// An agent that says nothing is called this often, whatever became of the calls before: what it has when it speaks again counts
	// as told at that moment, and it never answers what it got while it was silent.
	silentInterval = 100 * time.Millisecond
	// The bound of the wait after a refusal grows so with each.
	refusedGrowth = 3
	// What a Retry-After asks for is kept up to this, and up to half as much again is added to spread the callers that heard it.
	mostHonoured = 2 * time.Second
	// After a refusal, and after the call that follows its wait, a call that is open is taken for so long to stand in the service's
	// queue, and none is made beside it. Later it may as well hang in an agent that has fallen silent.
	queuedTime = 3 * time.Second
)

// backoff bounds the waits after refusals (503 or 429). Each wait is drawn from the upper half of a bound that grows from the first
// to the most. A change counts as told 6 s after the service had it and could be reached, so the longest wait leaves some of that to the
// service's own queue.
type backoff struct{ first, most time.Duration }

var (
	// Where lists are pushed, a refusal is rare, and short where an agent on the own machine begins anew.
	pushBackoff = backoff{250 * time.Millisecond, 3 * time.Second}
	// Where all proxies ask one service, a refusal says that its queue is longer than it lets calls wait. All that are refused come
	// back within a wait, so waits are long enough for the queue to shrink meanwhile.
	askBackoff = backoff{time.Second, 4 * time.Second}
)

// retry decides when to call again for a list that is pushed, until one call is answered. It has no clock: times come in as
// arguments, and the waits are drawn from its source of randomness. It is not safe for concurrent use.
type retry struct {
	random   *rand.Rand
	interval time.Duration // between calls of an agent that is silent
	backoff  backoff

	next    time.Time     // when to call again where no call is open, or the agent is silent
	called  time.Time     // the last call
	queued  time.Time     // until then an open call stands in a queue; zero: the agent has refused none, or has broken off since
	waiting bool          // there was a refusal since the last call
	bound   time.Duration // of the last wait after a refusal
}

// newRetry returns a retry whose first call is due at once, and which calls a silent agent as often as an interval says.
func newRetry(now time.Time, interval time.Duration, bounds backoff, random *rand.Rand) *retry {
	return &retry{random: random, interval: interval, backoff: bounds, next: now}
}

// due is when to call again. pending: a call is open.
func (r *retry) due(pending bool) time.Time {
	if pending && r.queued.After(r.next) {
		return r.queued
	}
	return r.next
}

// call takes the news that a call is made.
func (r *retry) call(now time.Time) {
	if r.waiting {
		r.queued = now.Add(queuedTime)
	}
	r.called, r.waiting = now, false
	r.next = now.Add(r.interval)
}

// refuse takes the news that a call was turned away. retryAfter is when the service asked to come back; 0: it did not say.
// Several calls that are refused with none made in between are one refusal.
func (r *retry) refuse(now time.Time, retryAfter time.Duration) {
	r.queued = now.Add(queuedTime)
	if r.waiting {
		return
	}
	r.waiting = true
	r.next = now.Add(max(r.refusedWait(), r.honoured(retryAfter)))
}

// fail takes the news that a call was reset, refused by the kernel, or answered with what makes no sense: what was in the agent's
// queue is lost, and it is called as one that is silent.
func (r *retry) fail() {
	r.queued, r.waiting, r.bound = time.Time{}, false, 0
	r.next = r.called.Add(r.interval)
}

// refusedWait draws the wait after one more refusal.
func (r *retry) refusedWait() time.Duration {
	r.bound = min(max(refusedGrowth*r.bound, r.backoff.first), r.backoff.most)
	return r.bound/2 + r.upTo(r.bound/2)
}

// honoured draws the wait that a Retry-After asks for.
func (r *retry) honoured(retryAfter time.Duration) time.Duration {
	asked := min(retryAfter, mostHonoured)
	return asked + r.upTo(asked/2)
}

// upTo draws a time from 0 to most, evenly.
func (r *retry) upTo(most time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(most) + 1))
}
