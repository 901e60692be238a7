package catalog

import (
	"math/rand/v2"
	"testing"
	"time"
)

var zero = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func newTestTimer(seed uint64) *retryTimer {
	return newRetryTimer(zero, silentInterval, pushedBackoff, rand.New(rand.NewPCG(seed, 1)))
}

// dueIn returns how long after a time a call is due.
func dueIn(timer *retryTimer, from time.Time, callOpen bool) time.Duration {
	return timer.due(callOpen).Sub(from)
}

// A silent agent is called ten times a second.
func TestSilentAgentIsCalledTenTimesASecond(t *testing.T) {
	timer, now := newTestTimer(1), zero
	for i := range 100 {
		if wait := dueIn(timer, now, i > 0); i == 0 && wait != 0 || i > 0 && wait != silentInterval {
			t.Fatalf("call %d is due after %v", i, wait)
		}
		now = timer.due(i > 0)
		timer.noteCall(now)
	}
}

// The bound of the backoff grows with each rejection.
func TestBackoffGrowsWithEachRejection(t *testing.T) {
	bounds := []time.Duration{
		250 * time.Millisecond, 750 * time.Millisecond, 2250 * time.Millisecond, 3 * time.Second, 3 * time.Second,
	}
	for seed := range uint64(200) {
		timer, now := newTestTimer(seed), zero
		for i, bound := range bounds {
			timer.noteCall(now)
			timer.noteRejection(now, 0)
			if wait := dueIn(timer, now, false); wait < bound/2 || wait > bound {
				t.Fatalf("seed %d: backoff %d is %v, not from %v to %v", seed, i, wait, bound/2, bound)
			}
			now = timer.due(false)
		}
	}
}

// Retry-After is kept up to its bound.
func TestRetryAfterIsKeptUpToItsBound(t *testing.T) {
	for name, test := range map[string]struct{ retryAfter, least, most time.Duration }{
		"shorter than the backoff": {time.Millisecond, 125 * time.Millisecond, 250 * time.Millisecond},
		"one second":               {time.Second, time.Second, 1500 * time.Millisecond},
		"an hour":                  {time.Hour, 2 * time.Second, 3 * time.Second},
	} {
		for seed := range uint64(200) {
			timer := newTestTimer(seed)
			timer.noteCall(zero)
			timer.noteRejection(zero, test.retryAfter)
			if wait := dueIn(timer, zero, false); wait < test.least || wait > test.most {
				t.Fatalf("%s, seed %d: %v, not from %v to %v", name, seed, wait, test.least, test.most)
			}
		}
	}
}

// Calls that an agent got while it was silent may be rejected together: that is one rejection.
func TestRejectionsOfOneMomentCountOnce(t *testing.T) {
	timer := newTestTimer(1)
	timer.noteCall(zero)
	timer.noteRejection(zero, 0)
	next := timer.due(false)
	for range 9 {
		timer.noteRejection(zero.Add(time.Millisecond), 0)
	}
	if !timer.due(false).Equal(next) || timer.bound != pushedBackoff.first {
		t.Errorf("due after %v instead of %v, bound %v", dueIn(timer, zero, false), next.Sub(zero), timer.bound)
	}
}

// A call counts as queued for as long as the service is known to answer; then it may hang as well.
func TestOpenCallCountsAsQueuedForAWhile(t *testing.T) {
	timer := newTestTimer(1)
	timer.noteCall(zero)
	timer.noteRejection(zero, 0)
	if wait := dueIn(timer, zero, true); wait != queueTime {
		t.Fatalf("with a call open the next is due after %v", wait)
	}
	now := timer.due(false)
	timer.noteCall(now) // after the backoff: it has its own time in the queue
	if wait := dueIn(timer, now, true); wait != queueTime {
		t.Fatalf("with the call after the backoff open the next is due after %v", wait)
	}
	now = timer.due(true)
	timer.noteCall(now)
	if wait := dueIn(timer, now, true); wait != silentInterval {
		t.Errorf("of an agent that has fallen silent the next call is due after %v", wait)
	}
	timer.noteRejection(now, 0)
	if wait := dueIn(timer, now, true); wait != queueTime {
		t.Errorf("rejected again, the next is due after %v", wait)
	}
}

// An agent whose calls fail has lost what was queued, and may have been restarted.
func TestFailedCallIsRetriedAsOfASilentAgent(t *testing.T) {
	timer := newTestTimer(1)
	for range 5 {
		timer.noteCall(zero)
		timer.noteRejection(zero, time.Hour)
	}
	timer.noteFailure()
	if wait := dueIn(timer, zero, true); wait != silentInterval {
		t.Errorf("due after %v", wait)
	}
	timer.noteCall(zero)
	timer.noteRejection(zero, 0)
	if wait := dueIn(timer, zero, false); wait > pushedBackoff.first {
		t.Errorf("the first rejection after that: %v", wait)
	}
}
