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

// dueIn returns the time from a given time until a call is due.
func dueIn(timer *retryTimer, from time.Time, callOpen bool) time.Duration {
	return timer.due(callOpen).Sub(from)
}

// A silent agent is called ten times a second.
func TestSilentAgentIsCalledTenTimesASecond(t *testing.T) {
	timer, now := newTestTimer(1), zero
	for i := range 100 {
		if wait := dueIn(timer, now, i > 0); i == 0 && wait != 0 || i > 0 && wait != silentInterval {
			t.Fatalf("call %d is due in %v", i, wait)
		}
		now = timer.due(i > 0)
		timer.recordCall(now)
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
			timer.recordCall(now)
			timer.recordRejection(now, 0)
			if wait := dueIn(timer, now, false); wait < bound/2 || wait > bound {
				t.Fatalf("seed %d: backoff %d is %v, want %v to %v", seed, i, wait, bound/2, bound)
			}
			now = timer.due(false)
		}
	}
}

// Retry-After is honored up to its bound.
func TestRetryAfterIsHonoredUpToBound(t *testing.T) {
	for name, test := range map[string]struct{ retryAfter, least, most time.Duration }{
		"shorter than the backoff": {time.Millisecond, 125 * time.Millisecond, 250 * time.Millisecond},
		"one second":               {time.Second, time.Second, 1500 * time.Millisecond},
		"an hour":                  {time.Hour, 2 * time.Second, 3 * time.Second},
	} {
		for seed := range uint64(200) {
			timer := newTestTimer(seed)
			timer.recordCall(zero)
			timer.recordRejection(zero, test.retryAfter)
			if wait := dueIn(timer, zero, false); wait < test.least || wait > test.most {
				t.Fatalf("%s, seed %d: due in %v, want %v to %v", name, seed, wait, test.least, test.most)
			}
		}
	}
}

// An agent may reject together all calls that it received while it was silent. They count as one
// rejection.
func TestSimultaneousRejectionsCountOnce(t *testing.T) {
	timer := newTestTimer(1)
	timer.recordCall(zero)
	timer.recordRejection(zero, 0)
	next := timer.due(false)
	for range 9 {
		timer.recordRejection(zero.Add(time.Millisecond), 0)
	}
	if !timer.due(false).Equal(next) || timer.bound != pushedBackoff.first {
		t.Errorf("due in %v, want %v; bound %v", dueIn(timer, zero, false), next.Sub(zero), timer.bound)
	}
}

// An open call counts as queued while the service is known to respond. After that it may hang.
func TestOpenCallCountsAsQueuedForLimitedTime(t *testing.T) {
	timer := newTestTimer(1)
	timer.recordCall(zero)
	timer.recordRejection(zero, 0)
	if wait := dueIn(timer, zero, true); wait != queueTime {
		t.Fatalf("with a call open the next is due in %v", wait)
	}
	now := timer.due(false)
	timer.recordCall(now) // this call, after the backoff, has its own time in the queue
	if wait := dueIn(timer, now, true); wait != queueTime {
		t.Fatalf("with the call after the backoff open the next is due in %v", wait)
	}
	now = timer.due(true)
	timer.recordCall(now)
	if wait := dueIn(timer, now, true); wait != silentInterval {
		t.Errorf("with a silent agent the next call is due in %v", wait)
	}
	timer.recordRejection(now, 0)
	if wait := dueIn(timer, now, true); wait != queueTime {
		t.Errorf("after another rejection the next call is due in %v", wait)
	}
}

// An agent whose calls fail has lost its queue and may have restarted, so it is called like a
// silent agent.
func TestFailedCallIsRetriedLikeSilentAgent(t *testing.T) {
	timer := newTestTimer(1)
	for range 5 {
		timer.recordCall(zero)
		timer.recordRejection(zero, time.Hour)
	}
	timer.recordFailure()
	if wait := dueIn(timer, zero, true); wait != silentInterval {
		t.Errorf("call after a failure is due in %v", wait)
	}
	timer.recordCall(zero)
	timer.recordRejection(zero, 0)
	if wait := dueIn(timer, zero, false); wait > pushedBackoff.first {
		t.Errorf("backoff after the first rejection is %v", wait)
	}
}
