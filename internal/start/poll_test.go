package start_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fernlanding/internal/start"
)

var zero = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// newSchedulers returns the schedulers of count replicas, configured with the given number of
// replicas.
func newSchedulers(count, configured int) []*start.PollScheduler {
	schedulers := make([]*start.PollScheduler, 0, count)
	for i := range count {
		random := rand.New(rand.NewPCG(uint64(i), 5))
		schedulers = append(schedulers, start.NewPollScheduler(start.PollConfig{Replicas: configured}, random))
	}
	return schedulers
}

// newScheduler returns a scheduler that has made its first call.
func newScheduler(hasList bool) *start.PollScheduler {
	s := start.NewPollScheduler(start.PollConfig{}, rand.New(rand.NewPCG(1, 2)))
	s.First(zero, hasList, 0)
	return s
}

// after returns the time the given number of seconds after the first call.
func after(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }

// busiest returns the largest number of times within one interval of the given length.
func busiest(times []time.Duration, length time.Duration) int {
	count := map[time.Duration]int{}
	most := 0
	for _, d := range times {
		count[d/length]++
		most = max(most, count[d/length])
	}
	return most
}

// If the number of replicas that start together is configured, the sum of their first full reads
// stays near 200 a second, regardless of that number.
func TestFirstFullReadsAreSpreadOverFleet(t *testing.T) {
	for _, n := range []int{100, 300, 3000} {
		var delays []time.Duration
		for _, s := range newSchedulers(n, n) {
			call := s.First(zero, false, 0)
			if !call.Full || call.Hold != 0 || call.Reason == "" {
				t.Fatalf("first call of a replica without a list: %+v", call)
			}
			delays = append(delays, call.Delay)
		}
		if most := busiest(delays, time.Second); most > 260 {
			t.Errorf("%d replicas: %d first full reads in a second", n, most)
		}
	}
	for _, s := range newSchedulers(50, 0) {
		if call := s.First(zero, false, 0); call.Delay > 250*time.Millisecond {
			t.Errorf("first call of a replica with an unknown number of replicas waits %v", call.Delay)
		}
		if call := s.First(zero, true, 0); call.Full || call.Hold == 0 {
			t.Errorf("first call of a replica with a list is a full read: %+v", call)
		}
	}
}

// First calls are spread more widely for an older cached list, which costs discovery more.
func TestFirstCallsAreSpreadByListAge(t *testing.T) {
	last := time.Duration(0)
	for _, age := range []time.Duration{-time.Second, time.Second, 10 * time.Second, time.Minute, time.Hour} {
		most := time.Duration(0)
		for _, s := range newSchedulers(1000, 1000) {
			most = max(most, s.First(zero, true, age).Delay)
		}
		if most < last || age < 0 && most > 250*time.Millisecond {
			t.Errorf("age %v: longest delay is %v, that of a younger list %v", age, most, last)
		}
		if age > time.Minute && (most < 4*time.Second || most > 5*time.Second) {
			t.Errorf("age %v: longest delay is %v", age, most)
		}
		last = most
	}
}

// Calls stay as spread after any number of failures as after a few. No second has more than twice
// its share of calls.
func TestBackoffsStaySpreadDuringLongOutage(t *testing.T) {
	const replicas, limit = 400, 8 * time.Second // 400 times 20 ms
	schedulers := newSchedulers(replicas, replicas)
	next := make([]time.Duration, replicas)
	for i, s := range schedulers {
		next[i] = s.First(zero, false, 0).Delay
	}
	for second := time.Duration(0); second < 2*time.Minute; second += time.Second {
		var calls []time.Duration
		for i, s := range schedulers {
			for next[i] < second+time.Second {
				calls = append(calls, next[i])
				call := s.Next(zero.Add(next[i]), start.Failed, true, 0)
				if call.Delay > limit || call.Delay < 250*time.Millisecond {
					t.Fatalf("backoff is %v", call.Delay)
				}
				next[i] += call.Delay
			}
		}
		if second > 10*time.Second && len(calls) > 200 {
			t.Errorf("%d calls in the second after %v", len(calls), second)
		}
		if most := busiest(calls, 100*time.Millisecond); second > 10*time.Second && most > 40 {
			t.Errorf("%d calls in a tenth of the second after %v", most, second)
		}
	}
}

func TestNextCalls(t *testing.T) {
	t.Run("Retry-After is honored", func(t *testing.T) {
		for range 100 {
			call := newScheduler(false).Next(zero, start.Rejected, true, 7*time.Second)
			if call.Delay < 7*time.Second || call.Delay > 11*time.Second {
				t.Fatalf("delay is %v, want 7 s to 11 s", call.Delay)
			}
		}
	})
	t.Run("the timeout grows while full reads time out, and shrinks again", func(t *testing.T) {
		s, last := newScheduler(false), 3*time.Second
		for i := range 8 {
			call := s.Next(after(float64(i)), start.TimedOut, true, 0)
			if call.Timeout != min(2*last, 30*time.Second) {
				t.Fatalf("timeout is %v after %v", call.Timeout, last)
			}
			last = call.Timeout
		}
		for i := range 4 {
			s.Next(after(float64(10+i)), start.Answered, false, 0)
		}
		s.RequireFull()
		if call := s.Next(after(20), start.Failed, true, 0); call.Timeout != 3*time.Second {
			t.Errorf("timeout is %v after four answers", call.Timeout)
		}
	})
	t.Run("a watch over a slow link gets a longer timeout", func(t *testing.T) {
		s := newScheduler(true)
		first := s.Next(after(0), start.Answered, false, 0).Timeout
		if call := s.Next(after(3), start.TimedOut, false, 0); call.Timeout <= first || call.Full {
			t.Errorf("timeout is %v and then %v, full %v", first, call.Timeout, call.Full)
		}
	})
	t.Run("after a failure a watch resumes, and one full read follows", testFullReadAfterFailure)
	t.Run("an empty list is watched and soon read again", func(t *testing.T) {
		for range 50 {
			s, now := newScheduler(false), 0.0
			s.ScheduleFull(after(now))
			call := s.Next(after(now), start.Answered, true, 0)
			for ; !call.Full; call = s.Next(after(now), start.Answered, true, 0) {
				now += (call.Delay + max(call.Hold, time.Millisecond)).Seconds()
			}
			if now < 0.2 || now > 4.1 {
				t.Fatalf("the full list is read again after %.1f s, want 0.2 s to 4.1 s", now)
			}
		}
	})
	t.Run("RequireFull makes the next call a full read", func(t *testing.T) {
		s := newScheduler(true)
		s.RequireFull()
		if call := s.Next(after(0), start.Failed, false, 0); !call.Full {
			t.Errorf("next call is %+v", call)
		}
	})
	t.Run("many answers in a row are spaced", func(t *testing.T) {
		s, now := newScheduler(true), 0.0
		for range 200 {
			now += s.Next(after(now), start.Answered, false, 0).Delay.Seconds()
		}
		if now < 26 || now > 31 {
			t.Errorf("200 immediate answers took %.1f s, want 26 s to 31 s", now)
		}
		if call := s.Next(after(now), start.Answered, false, 0); call.Delay > 200*time.Millisecond {
			t.Errorf("calls are spaced by %v, which does not continue a watch", call.Delay)
		}
	})
	t.Run("a replica that restarts repeatedly waits longer", func(t *testing.T) {
		mean := func(recentStarts int) (sum time.Duration) {
			for seed := range uint64(200) {
				random := rand.New(rand.NewPCG(seed, 2))
				s := start.NewPollScheduler(start.PollConfig{RecentStarts: recentStarts}, random)
				sum += s.First(zero, false, 0).Delay
			}
			return sum / 200
		}
		none, three, hundred := mean(0), mean(3), mean(100)
		if none >= time.Second || three <= 2*time.Second || hundred <= 10*time.Second || hundred >= 20*time.Second {
			t.Errorf("mean delays are %v, %v, %v", none, three, hundred)
		}
	})
}

func testFullReadAfterFailure(t *testing.T) {
	s := newScheduler(false)
	if call := s.Next(after(0), start.Answered, false, 0); call.Full || call.Delay != 0 {
		t.Fatalf("call after the first list is %+v", call)
	}
	now, fullReads := 1.0, 0
	if call := s.Next(after(now), start.Failed, false, 0); call.Full {
		t.Errorf("call after a failure is a full read: %+v", call)
	}
	for now < 300 {
		if call := s.Next(after(now), start.Answered, false, 0); call.Full {
			fullReads++
			if now < 29 || now > 95 {
				t.Errorf("full read after %.0f s, want 29 s to 95 s", now)
			}
		}
		now += 2
	}
	if fullReads != 1 {
		t.Errorf("%d full reads after a failure, want 1", fullReads)
	}
}
