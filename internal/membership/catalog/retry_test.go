package catalog

import (
	"math/rand/v2"
	"testing"
	"time"
)

var zero = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func drawn(seed uint64) *retry {
	return newRetry(zero, silentInterval, pushBackoff, rand.New(rand.NewPCG(seed, 1)))
}

// in is how long after a time a call is due.
func in(r *retry, from time.Time, pending bool) time.Duration { return r.due(pending).Sub(from) }

func TestRetryCallsASilentAgentTenTimesASecond(t *testing.T) {
	r, now := drawn(1), zero
	for i := range 100 {
		if wait := in(r, now, i > 0); i == 0 && wait != 0 || i > 0 && wait != silentInterval {
			t.Fatalf("call %d is due after %v", i, wait)
		}
		now = r.due(i > 0)
		r.call(now)
	}
}

func TestRetryWaitsLongerAfterEachRefusal(t *testing.T) {
	bounds := []time.Duration{250 * time.Millisecond, 750 * time.Millisecond, 2250 * time.Millisecond, 3 * time.Second, 3 * time.Second}
	for seed := range uint64(200) {
		r, now := drawn(seed), zero
		for i, bound := range bounds {
			r.call(now)
			r.refuse(now, 0)
			if wait := in(r, now, false); wait < bound/2 || wait > bound {
				t.Fatalf("seed %d: wait %d is %v, not from %v to %v", seed, i, wait, bound/2, bound)
			}
			now = r.due(false)
		}
	}
}

func TestRetryKeepsARetryAfterUpToItsBound(t *testing.T) {
	for name, c := range map[string]struct{ asked, least, most time.Duration }{
		"shorter than its own wait": {time.Millisecond, 125 * time.Millisecond, 250 * time.Millisecond},
		"one second":                {time.Second, time.Second, 1500 * time.Millisecond},
		"an hour":                   {time.Hour, 2 * time.Second, 3 * time.Second},
	} {
		for seed := range uint64(200) {
			r := drawn(seed)
			r.call(zero)
			r.refuse(zero, c.asked)
			if wait := in(r, zero, false); wait < c.least || wait > c.most {
				t.Fatalf("%s, seed %d: %v, not from %v to %v", name, seed, wait, c.least, c.most)
			}
		}
	}
}

// Calls that an agent got while it was silent may be refused together: that is one refusal.
func TestRetryCountsRefusalsOfOneMomentOnce(t *testing.T) {
	r := drawn(1)
	r.call(zero)
	r.refuse(zero, 0)
	next := r.due(false)
	for range 9 {
		r.refuse(zero.Add(time.Millisecond), 0)
	}
	if !r.due(false).Equal(next) || r.bound != pushBackoff.first {
		t.Errorf("due after %v instead of %v, bound %v", in(r, zero, false), next.Sub(zero), r.bound)
	}
}

// A call stands in the service's queue for as long as the service is known to speak; then it may hang as well.
func TestRetryTakesAnOpenCallToBeQueuedForAWhile(t *testing.T) {
	r := drawn(1)
	r.call(zero)
	r.refuse(zero, 0)
	if wait := in(r, zero, true); wait != queuedTime {
		t.Fatalf("with a call open the next is due after %v", wait)
	}
	now := r.due(false)
	r.call(now) // after the wait: it has its own time in the queue
	if wait := in(r, now, true); wait != queuedTime {
		t.Fatalf("with the call after the wait open the next is due after %v", wait)
	}
	now = r.due(true)
	r.call(now)
	if wait := in(r, now, true); wait != silentInterval {
		t.Errorf("of an agent that has fallen silent the next call is due after %v", wait)
	}
	r.refuse(now, 0)
	if wait := in(r, now, true); wait != queuedTime {
		t.Errorf("refused again, the next is due after %v", wait)
	}
}

// An agent that breaks off has lost what was queued, and may have been started anew.
func TestRetryCallsAnAgentThatBreaksOffAsASilentOne(t *testing.T) {
	r := drawn(1)
	for range 5 {
		r.call(zero)
		r.refuse(zero, time.Hour)
	}
	r.fail()
	if wait := in(r, zero, true); wait != silentInterval {
		t.Errorf("due after %v", wait)
	}
	r.call(zero)
	r.refuse(zero, 0)
	if wait := in(r, zero, false); wait > pushBackoff.first {
		t.Errorf("the first refusal after that: %v", wait)
	}
}
