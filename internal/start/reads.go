// Package start decides how a copy that has just started, or whose list service was away, comes back without harming what
// it needs: when it asks for the list and how long it waits for the answer (Reads), and how fast it opens connections to
// backends that have not shown yet that they can bear them (Dials). It is pure: no I/O, no clock; times and the source of
// randomness come in as arguments. Each copy decides alone, and the sum over the fleet is what counts: all bounds are
// chosen for the sum, by the number of copies where that is known.
package start

import (
	"math/rand/v2"
	"time"
)

// Outcome is how a call for the list ended.
type Outcome int

// The outcomes of a call.
const (
	Answered Outcome = iota // with news, or with none in a watch's time
	TimedOut                // no whole answer within the call's patience: the service may still be at work on it
	Rejected                // turned away, in words: 503 or 429
	Failed                  // refused, reset, or an answer that makes no sense
)

// String is the outcome as a log line words it.
func (o Outcome) String() string {
	return [...]string{"answered", "no answer in time", "turned away", "broken"}[o]
}

// Call is the next call that a copy makes to its list service.
type Call struct {
	Delay   time.Duration // from now
	Full    bool          // for the whole list; otherwise for what is newer than the version that the copy has
	Timeout time.Duration // that it waits for the answer, beyond the time that a watch holds
	Hold    time.Duration // that a watch holds where nothing changes; 0 with Whole
	Reason  string        // it does not come at once; empty: it does
}

// PollConfig is what Reads go by. The zero value of a field stands for its default.
type PollConfig struct {
	Replicas     int           // of the fleet that share the list service; 0: not told
	Hold         time.Duration // of a watch, in the mean; 2 s
	FullTimeout  time.Duration // with a whole reading, at first; 3 s
	WatchTimeout time.Duration // with a watch, beyond its hold, at first; 1 s
	RecentStarts int           // of this copy lately, this one not included, as far as is known
}

// How a fleet's calls are spread.
const (
	perCopySpread = 5 * time.Millisecond // the first readings of N copies are spread over N times this: 200 a second
	leastSpread   = 250 * time.Millisecond
	oldList       = time.Minute // from this age on a list that a copy begins with costs its service a whole reading
	mostSpread    = 60 * time.Second
	perCopyWait   = 20 * time.Millisecond // after a failure N copies are spread over N times this: 50 a second
	leastWait     = 2 * time.Second
	unknownWait   = 4 * time.Second // where the number of copies is not told
	mostWait      = 5 * time.Minute
	firstWait     = 250 * time.Millisecond // of a wait after a failure: the least
	waitGrowth    = 3                      // the bound of the next wait over the last wait (decorrelated jitter)
	firstPart     = 8                      // the bound of the first wait is at least this part of the longest
	calmTimes     = 2                      // a copy whose list still serves waits up to this many times as long

	mostPatience = 30 * time.Second
	patienceUp   = 2   // after a call was given up
	holdJitter   = 0.2 // part of a watch's hold by which it may be shorter or longer, lest copies told at once ask at once

	watchBurst = 20                     // calls in a row that are answered at once, before they are spaced
	watchEvery = 150 * time.Millisecond // is the spacing; a watch goes on if the next call comes within 200 ms

	reconcileFirst = 30 * time.Second // after a break, a copy that resumed its watch reads the whole list once, this much later
	reconcileSpan  = 60 * time.Second // and up to this much more

	loopWait = time.Second // a copy that starts for the n-th time lately waits up to this times 2^n more
	mostLoop = 30 * time.Second
)

// PollScheduler decides when a copy calls its list service. It is not safe for concurrent use.
type PollScheduler struct {
	cfg  PollConfig
	rnd  *rand.Rand
	has  bool          // a list, whose version the next call can go from
	wait time.Duration // after the last failure; 0: the last call was answered
	tell time.Duration // present patience with a whole reading
	over time.Duration // and beyond a watch's hold

	tokens float64
	filled time.Time
	whole  time.Time // when to read the whole list again; zero: not
}

// NewPollScheduler returns the Reads of a copy with no list.
func NewPollScheduler(cfg PollConfig, rnd *rand.Rand) *PollScheduler {
	or := func(d *time.Duration, by time.Duration) {
		if *d <= 0 {
			*d = by
		}
	}
	or(&cfg.Hold, 2*time.Second)
	or(&cfg.FullTimeout, 3*time.Second)
	or(&cfg.WatchTimeout, time.Second)
	return &PollScheduler{cfg: cfg, rnd: rnd, tell: cfg.FullTimeout, over: cfg.WatchTimeout, tokens: watchBurst}
}

// First is the first call. A copy that has a list of some age serves by it and asks for what is newer, which costs the
// service little where the list is fresh and a whole reading where it is old. The calls of all copies that start at once are
// spread by their number and, with a list, by its age; those of one that dies again and again, by its starts.
func (r *PollScheduler) First(now time.Time, has bool, age time.Duration) Call {
	r.has, r.filled = has, now
	spread := min(max(time.Duration(r.cfg.Replicas)*perCopySpread, leastSpread), mostSpread)
	if has {
		part := min(1, float64(max(age, 0))/float64(oldList))
		spread = leastSpread + time.Duration(part*float64(spread-leastSpread))
	}
	c := Call{Delay: r.draw(0, spread), Reason: "spread over the copies that may start with this one"}
	if n := r.cfg.RecentStarts; n > 0 {
		c.Delay += r.draw(0, min(loopWait<<min(n, 10), mostLoop))
		c.Reason = "has started again and again"
	}
	if has { // the version may be another service's by now
		r.whole = now.Add(c.Delay + r.draw(reconcileFirst, reconcileFirst+reconcileSpan))
	}
	return r.call(c, now.Add(c.Delay))
}

// Next is the call after one that has ended. urgent: the copy can't serve, or its backends die, until it has a newer list.
// after is when the service asked to come back; 0: it did not say.
func (r *PollScheduler) Next(now time.Time, o Outcome, urgent bool, after time.Duration) Call {
	if o == Answered {
		// What an answer took is known to be borne: patience comes back step by step.
		r.tell, r.over = max(r.cfg.FullTimeout, r.tell/patienceUp), max(r.cfg.WatchTimeout, r.over/patienceUp)
		r.has, r.wait = true, 0
		return r.paced(now)
	}
	if o == TimedOut {
		if r.tell = min(r.tell*patienceUp, mostPatience); r.has {
			r.over = min(r.over*patienceUp, mostPatience)
		}
	}
	if o == Failed && r.has && r.whole.IsZero() {
		// The service may have come back with an older state whose versions then pass ours; no watch shows that.
		r.whole = now.Add(r.draw(reconcileFirst, reconcileFirst+reconcileSpan))
	}
	most := r.most()
	if !urgent {
		most *= calmTimes
	}
	// The draw is cut by its bound, not at it: waits cut at a bound would all come out alike, and the copies together.
	// A large fleet's first waits are long too: those who are turned away at the start are nearly all of it.
	r.wait = r.draw(firstWait, min(max(waitGrowth*max(r.wait, firstWait), most/firstPart), most))
	c := Call{Delay: r.wait, Reason: o.String()}
	if after > 0 {
		after = min(after, mostWait)
		c.Delay = after + r.draw(0, max(after/2, firstWait))
		c.Reason += ", asked to come back later"
	}
	return r.call(c, now.Add(c.Delay))
}

// most is the bound of a wait of a copy that can't serve, by which all copies come back at a rate that a service bears.
func (r *PollScheduler) most() time.Duration {
	if r.cfg.Replicas == 0 {
		return unknownWait
	}
	return min(max(time.Duration(r.cfg.Replicas)*perCopyWait, leastWait), mostWait)
}

// EmptyList takes the news that the list is empty, before Next. The service may have lost its members and find them again under the
// same version, which no watch shows; so the copy watches on, and reads the whole list again before long.
func (r *PollScheduler) EmptyList(now time.Time) { r.whole = now.Add(r.draw(firstWait, r.most())) }

// RequireFull has the next call ask for the whole list: what the copy has does not go together with what it was told.
func (r *PollScheduler) RequireFull() { r.has = false }

// paced is the call after an answer: at once, unless many were answered at once.
func (r *PollScheduler) paced(now time.Time) Call {
	r.tokens = min(watchBurst, r.tokens+float64(now.Sub(r.filled))/float64(watchEvery))
	r.filled = now
	c := Call{}
	if r.tokens--; r.tokens < 0 {
		c = Call{Delay: time.Duration(-r.tokens * float64(watchEvery)), Reason: "answers come without end"}
	}
	return r.call(c, now.Add(c.Delay))
}

// call completes a call that is made at a time.
func (r *PollScheduler) call(c Call, at time.Time) Call {
	c.Full = !r.has || !r.whole.IsZero() && !at.Before(r.whole)
	if c.Full {
		c.Timeout, r.whole = r.tell, time.Time{}
		return c
	}
	c.Timeout = r.over
	c.Hold = r.cfg.Hold + time.Duration((2*r.rnd.Float64()-1)*holdJitter*float64(r.cfg.Hold))
	if !r.whole.IsZero() { // which is due then
		c.Hold = min(c.Hold, max(r.whole.Sub(at), 0))
	}
	return c
}

// draw is a time from least to most, evenly.
func (r *PollScheduler) draw(least, most time.Duration) time.Duration {
	return least + time.Duration(r.rnd.Int64N(int64(max(most-least, 0))+1))
}
