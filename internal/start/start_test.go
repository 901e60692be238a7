package start_test

import (
	"fernlanding/internal/start"
	"math/rand/v2"
	"testing"
	"time"
)

var zero = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func copies(n, told int) (all []*start.PollScheduler) {
	for i := range n {
		all = append(all, start.NewPollScheduler(start.PollConfig{Replicas: told}, rand.New(rand.NewPCG(uint64(i), 5))))
	}
	return all
}

// busiest is the most that falls into one stretch of a length.
func busiest(at []time.Duration, length time.Duration) int {
	count := map[time.Duration]int{}
	most := 0
	for _, d := range at {
		count[d/length]++
		most = max(most, count[d/length])
	}
	return most
}

// However many copies start together, and are told so, the sum of their first readings stays near 200 a second.
func TestFirstReadingsAreSpreadByTheFleet(t *testing.T) {
	for _, n := range []int{100, 300, 3000} {
		var at []time.Duration
		for _, r := range copies(n, n) {
			c := r.First(zero, false, 0)
			if !c.Full || c.Hold != 0 || c.Reason == "" {
				t.Fatalf("first call of a copy with no list: %+v", c)
			}
			at = append(at, c.Delay)
		}
		if most := busiest(at, time.Second); most > 260 {
			t.Errorf("%d copies: %d first readings in a second", n, most)
		}
	}
	for _, r := range copies(50, 0) {
		if c := r.First(zero, false, 0); c.Delay > 250*time.Millisecond {
			t.Errorf("a copy that is not told of others waits %v", c.Delay)
		}
		if c := r.First(zero, true, 0); c.Full || c.Hold == 0 {
			t.Errorf("a copy with a list asks for the whole: %+v", c)
		}
	}
}

// The older a list that a copy begins with, the wider its first call is spread: it costs its service more.
func TestFirstCallsWithAListAreSpreadByItsAge(t *testing.T) {
	last := time.Duration(0)
	for _, age := range []time.Duration{-time.Second, time.Second, 10 * time.Second, time.Minute, time.Hour} {
		most := time.Duration(0)
		for _, r := range copies(1000, 1000) {
			most = max(most, r.First(zero, true, age).Delay)
		}
		if most < last || age < 0 && most > 250*time.Millisecond || age > time.Minute && (most < 4*time.Second || most > 5*time.Second) {
			t.Errorf("age %v: up to %v, %v for a younger one", age, most, last)
		}
		last = most
	}
}

// After any number of failures the copies come as spread as after a few: no second has more than twice its part.
func TestWaitsStaySpreadOverALongOutage(t *testing.T) {
	const n, bound = 400, 8 * time.Second // 400 times 20 ms
	all := copies(n, n)
	at := make([]time.Duration, n)
	for i, r := range all {
		at[i] = r.First(zero, false, 0).Delay
	}
	for end := time.Duration(0); end < 2*time.Minute; end += time.Second {
		var came []time.Duration
		for i, r := range all {
			for at[i] < end+time.Second {
				came = append(came, at[i])
				c := r.Next(zero.Add(at[i]), start.Failed, true, 0)
				if c.Delay > bound || c.Delay < 250*time.Millisecond {
					t.Fatalf("a wait of %v", c.Delay)
				}
				at[i] += c.Delay
			}
		}
		if end > 10*time.Second && len(came) > 200 {
			t.Errorf("%d calls in the second from %v", len(came), end)
		}
		if b := busiest(came, 100*time.Millisecond); end > 10*time.Second && b > 40 {
			t.Errorf("%d calls in a tenth of the second from %v", b, end)
		}
	}
}

func TestNextCalls(t *testing.T) {
	fresh := func(has bool) *start.PollScheduler {
		r := start.NewPollScheduler(start.PollConfig{}, rand.New(rand.NewPCG(1, 2)))
		r.First(zero, has, 0)
		return r
	}
	at := func(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }
	t.Run("what the service asks for is kept", func(t *testing.T) {
		for range 100 {
			if c := fresh(false).Next(zero, start.Rejected, true, 7*time.Second); c.Delay < 7*time.Second || c.Delay > 11*time.Second {
				t.Fatalf("after %v", c.Delay)
			}
		}
	})
	t.Run("patience grows while readings are given up, and comes back", func(t *testing.T) {
		r, last := fresh(false), 3*time.Second
		for i := range 8 {
			c := r.Next(at(float64(i)), start.TimedOut, true, 0)
			if c.Timeout != min(2*last, 30*time.Second) {
				t.Fatalf("patience %v after %v", c.Timeout, last)
			}
			last = c.Timeout
		}
		for i := range 4 {
			r.Next(at(float64(10+i)), start.Answered, false, 0)
		}
		r.RequireFull()
		if c := r.Next(at(20), start.Failed, true, 0); c.Timeout != 3*time.Second {
			t.Errorf("patience %v after four answers", c.Timeout)
		}
	})
	t.Run("a watch that is late by its link gets longer", func(t *testing.T) {
		r := fresh(true)
		first := r.Next(at(0), start.Answered, false, 0).Timeout
		if c := r.Next(at(3), start.TimedOut, false, 0); c.Timeout <= first || c.Full {
			t.Errorf("patience %v and then %v, whole %v", first, c.Timeout, c.Full)
		}
	})
	t.Run("after a break a watch resumes, and one whole reading follows", func(t *testing.T) {
		r := fresh(false)
		if c := r.Next(at(0), start.Answered, false, 0); c.Full || c.Delay != 0 {
			t.Fatalf("after the first list: %+v", c)
		}
		now, whole := 1.0, 0
		if c := r.Next(at(now), start.Failed, false, 0); c.Full {
			t.Errorf("whole at once: %+v", c)
		}
		for now < 300 {
			c := r.Next(at(now), start.Answered, false, 0)
			if c.Full {
				if whole++; now < 29 || now > 95 {
					t.Errorf("the whole reading came after %.0f s", now)
				}
			}
			now += 2
		}
		if whole != 1 {
			t.Errorf("%d whole readings after a break", whole)
		}
	})
	t.Run("an empty list is watched, and soon read again", func(t *testing.T) {
		for range 50 {
			r, now := fresh(false), 0.0
			r.EmptyList(at(now))
			c := r.Next(at(now), start.Answered, true, 0)
			for ; !c.Full; c = r.Next(at(now), start.Answered, true, 0) {
				now += (c.Delay + max(c.Hold, time.Millisecond)).Seconds()
			}
			if now < 0.2 || now > 4.1 {
				t.Fatalf("the whole list is read again after %.1f s", now)
			}
		}
	})
	t.Run("doubt asks for the whole list", func(t *testing.T) {
		r := fresh(true)
		r.RequireFull()
		if c := r.Next(at(0), start.Failed, false, 0); !c.Full {
			t.Errorf("%+v", c)
		}
	})
	t.Run("answers without end are spaced", func(t *testing.T) {
		r, now := fresh(true), 0.0
		for range 200 {
			now += r.Next(at(now), start.Answered, false, 0).Delay.Seconds()
		}
		if now < 26 || now > 31 {
			t.Errorf("200 answers at once took %.1f s", now)
		}
		if c := r.Next(at(now), start.Answered, false, 0); c.Delay > 200*time.Millisecond {
			t.Errorf("a watch that is spaced by %v is a new one", c.Delay)
		}
	})
	t.Run("who starts again and again waits longer", func(t *testing.T) {
		sum := func(starts int) (d time.Duration) {
			for i := range uint64(200) {
				d += start.NewPollScheduler(start.PollConfig{RecentStarts: starts}, rand.New(rand.NewPCG(i, 2))).First(zero, false, 0).Delay
			}
			return d / 200
		}
		if a, b, c := sum(0), sum(3), sum(100); !(a < time.Second && b > 2*time.Second && c > 10*time.Second && c < 20*time.Second) {
			t.Errorf("mean waits %v, %v, %v", a, b, c)
		}
	})
}

func TestDials(t *testing.T) {
	at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
	open := func(d *start.DialLimiter, now time.Time) (n int) {
		for n < 1000 {
			if ok, _ := d.Allow(now); !ok {
				break
			}
			n++
		}
		return n
	}
	var d start.DialLimiter
	if n := open(&d, at(0)); n != 2 {
		t.Fatalf("%d connections at once to a backend that is not known", n)
	}
	d.Done(at(1), false, false) // its request has ended: that tells nothing
	if n := open(&d, at(1)); n != 1 || d.Established() {
		t.Errorf("%d more after one was given up", n)
	}
	d.Done(at(2), true, false)
	d.Done(at(2), true, false)
	if n := open(&d, at(2)); n != 8 {
		t.Errorf("%d at once after two have come up", n)
	}
	for range 8 {
		d.Done(at(3), true, false)
	}
	if n := open(&d, at(3)); n != 16 || !d.Established() {
		t.Errorf("%d at once to one that is proven", n)
	}
	for range 16 {
		d.Done(at(4), true, false)
	}
	rests := []time.Duration{}
	for now := 10; len(rests) < 8; {
		if ok, wait := d.Allow(at(now)); !ok {
			t.Fatalf("none at %d ms, wait %v", now, wait)
		}
		d.Done(at(now), false, true)
		ok, wait := d.Allow(at(now))
		if ok || wait <= 0 {
			t.Fatalf("no rest after a failure")
		}
		rests = append(rests, wait)
		now += int(wait / time.Millisecond)
	}
	if rests[0] != 50*time.Millisecond || rests[1] != 100*time.Millisecond || rests[7] != 2*time.Second {
		t.Errorf("rests %v", rests)
	}
	d.Reset()
	if n := open(&d, at(10)); n != 2 {
		t.Errorf("%d to a backend that has started anew", n)
	}
}
