package start

import (
	"math/rand/v2"
	"time"
)

// PollConfig is what a PollScheduler is made of. The zero value of a field stands for its default.
type PollConfig struct {
	Replicas     int           // that share discovery; 0: not known
	Hold         time.Duration // of a watch, in the mean; 2 s
	FullTimeout  time.Duration // of a full read, at first; 3 s
	WatchTimeout time.Duration // of a watch in addition to its hold, at first; 1 s
	RecentStarts int           // of this replica, this one not included, as far as is known
}

const (
	defaultHold         = 2 * time.Second
	defaultFullTimeout  = 3 * time.Second
	defaultWatchTimeout = time.Second
)

// How the calls of a fleet are spread.
const (
	// The first full reads of N replicas spread over N times spreadPerReplica: 200 a second.
	spreadPerReplica = 5 * time.Millisecond
	minSpread        = 250 * time.Millisecond
	maxSpread        = 60 * time.Second
	// oldListAge is the age from which on a cached list costs discovery as much as a full read.
	oldListAge = time.Minute

	// After a failure N replicas spread over N times backoffPerReplica: 50 a second.
	backoffPerReplica = 20 * time.Millisecond
	minBackoffLimit   = 2 * time.Second
	maxBackoffLimit   = 5 * time.Minute
	unknownLimit      = 4 * time.Second // where the number of replicas is not known
	minBackoff        = 250 * time.Millisecond
	backoffGrowth     = 3 // bound of the next backoff over the last backoff (decorrelated jitter)
	firstBoundPart    = 8 // the first backoff's bound is at least this part of the limit
	calmFactor        = 2 // a replica whose list still serves backs off up to this many times as long

	maxTimeout    = 30 * time.Second
	timeoutGrowth = 2 // after a call that timed out
	// holdJitter is the part of a watch's hold by which it may be shorter or longer, lest replicas
	// that are notified together call together.
	holdJitter = 0.2

	// watchBurst is how many calls in a row may be answered at once before they are spaced by
	// watchInterval. A watch continues if the next call comes within 200 ms.
	watchBurst    = 20
	watchInterval = 150 * time.Millisecond

	// After a failure, a replica that resumed its watch does a full read fullReadDelay later, and
	// up to fullReadSpread more.
	fullReadDelay  = 30 * time.Second
	fullReadSpread = 60 * time.Second

	// At the n-th recent start, a replica waits up to restartDelay times 2^n more.
	restartDelay    = time.Second
	maxRestartDelay = 30 * time.Second
)

// PollScheduler decides when a replica calls discovery, and for what. It is not safe for concurrent
// use.
type PollScheduler struct {
	cfg          PollConfig
	random       *rand.Rand
	hasList      bool          // whose version the next call can watch from
	backoff      time.Duration // after the last failure; 0: the last call was answered
	fullTimeout  time.Duration // of a full read, at present
	watchTimeout time.Duration // of a watch in addition to its hold, at present

	tokens     float64 // of the bucket that spaces calls that are answered at once
	refilledAt time.Time
	fullDue    time.Time // when the next full read is due; zero: none is
}

// NewPollScheduler returns the scheduler of a replica without a list.
func NewPollScheduler(cfg PollConfig, random *rand.Rand) *PollScheduler {
	if cfg.Hold <= 0 {
		cfg.Hold = defaultHold
	}
	if cfg.FullTimeout <= 0 {
		cfg.FullTimeout = defaultFullTimeout
	}
	if cfg.WatchTimeout <= 0 {
		cfg.WatchTimeout = defaultWatchTimeout
	}
	return &PollScheduler{
		cfg: cfg, random: random,
		fullTimeout: cfg.FullTimeout, watchTimeout: cfg.WatchTimeout, tokens: watchBurst,
	}
}

// First returns the first call. A replica that has a cached list of some age serves by it and
// watches from its version, which costs discovery little where the list is fresh and a full read
// where it is old. The calls of all replicas that start at once are spread by their number and,
// with a list, by its age; those of one that dies again and again, by its recent starts.
func (s *PollScheduler) First(now time.Time, hasList bool, age time.Duration) Call {
	s.hasList, s.refilledAt = hasList, now
	spread := min(max(time.Duration(s.cfg.Replicas)*spreadPerReplica, minSpread), maxSpread)
	if hasList {
		part := min(1, float64(max(age, 0))/float64(oldListAge))
		spread = minSpread + time.Duration(part*float64(spread-minSpread))
	}
	call := Call{Delay: s.draw(0, spread), Reason: "spread over the replicas that may start together"}
	if n := s.cfg.RecentStarts; n > 0 {
		call.Delay += s.draw(0, min(restartDelay<<min(n, 10), maxRestartDelay))
		call.Reason = "repeated recent starts"
	}
	if hasList { // its version may be another service's by now
		s.scheduleVerification(now.Add(call.Delay))
	}
	return s.complete(call, now.Add(call.Delay))
}

// Next returns the call after one that has ended. With urgent, the replica can't serve, or its
// backends fail, until it has a newer list. retryAfter is what discovery asked for; 0: it did not.
func (s *PollScheduler) Next(now time.Time, outcome Outcome, urgent bool, retryAfter time.Duration) Call {
	switch {
	case outcome == Answered:
		return s.afterAnswer(now)
	case outcome == TimedOut:
		s.fullTimeout = min(s.fullTimeout*timeoutGrowth, maxTimeout)
		if s.hasList {
			s.watchTimeout = min(s.watchTimeout*timeoutGrowth, maxTimeout)
		}
	case outcome == Failed && s.hasList && s.fullDue.IsZero():
		// Discovery may have come back with an older state whose versions then pass ours; no watch
		// shows that.
		s.scheduleVerification(now)
	}
	call := Call{Delay: s.nextBackoff(urgent), Reason: outcome.String()}
	if retryAfter > 0 {
		retryAfter = min(retryAfter, maxBackoffLimit)
		call.Delay = retryAfter + s.draw(0, max(retryAfter/2, minBackoff))
		call.Reason += ", Retry-After"
	}
	return s.complete(call, now.Add(call.Delay))
}

// scheduleVerification has a full read follow a call that watches at a time, whatever that yields.
func (s *PollScheduler) scheduleVerification(at time.Time) {
	s.fullDue = at.Add(s.draw(fullReadDelay, fullReadDelay+fullReadSpread))
}

// nextBackoff draws the backoff after one more failure.
func (s *PollScheduler) nextBackoff(urgent bool) time.Duration {
	limit := s.backoffLimit()
	if !urgent {
		limit *= calmFactor
	}
	// The bound of the draw is cut, not the drawn backoff: backoffs cut at a limit would all come
	// out alike, and the replicas together. A large fleet's first backoffs are long too: those who
	// are rejected at the start are nearly all of it.
	bound := min(max(backoffGrowth*max(s.backoff, minBackoff), limit/firstBoundPart), limit)
	s.backoff = s.draw(minBackoff, bound)
	return s.backoff
}

// backoffLimit returns the limit of the backoff of a replica that can't serve, by which all
// replicas come back at a rate that discovery can take.
func (s *PollScheduler) backoffLimit() time.Duration {
	if s.cfg.Replicas == 0 {
		return unknownLimit
	}
	return min(max(time.Duration(s.cfg.Replicas)*backoffPerReplica, minBackoffLimit), maxBackoffLimit)
}

// ScheduleFull has a full read follow before long, while the replica goes on watching. It is called
// before Next where the list is empty: discovery may have lost its members and find them again
// under the same version, which no watch shows.
func (s *PollScheduler) ScheduleFull(now time.Time) {
	s.fullDue = now.Add(s.draw(minBackoff, s.backoffLimit()))
}

// RequireFull has the next call ask for the full list: the replica's list and the last answer
// contradict each other.
func (s *PollScheduler) RequireFull() { s.hasList = false }

// afterAnswer returns the call after an answer: at once, unless many were answered at once.
func (s *PollScheduler) afterAnswer(now time.Time) Call {
	// Discovery can take what the answer took: timeouts shrink again step by step.
	s.fullTimeout = max(s.cfg.FullTimeout, s.fullTimeout/timeoutGrowth)
	s.watchTimeout = max(s.cfg.WatchTimeout, s.watchTimeout/timeoutGrowth)
	s.hasList, s.backoff = true, 0
	s.tokens = min(watchBurst, s.tokens+float64(now.Sub(s.refilledAt))/float64(watchInterval))
	s.refilledAt = now
	s.tokens--
	call := Call{}
	if s.tokens < 0 {
		call = Call{Delay: time.Duration(-s.tokens * float64(watchInterval)), Reason: "many answers in a row"}
	}
	return s.complete(call, now.Add(call.Delay))
}

// complete fills in what a call that is made at a time asks for, and for how long.
func (s *PollScheduler) complete(call Call, at time.Time) Call {
	call.Full = !s.hasList || !s.fullDue.IsZero() && !at.Before(s.fullDue)
	if call.Full {
		call.Timeout, s.fullDue = s.fullTimeout, time.Time{}
		return call
	}
	call.Timeout = s.watchTimeout
	call.Hold = s.cfg.Hold + time.Duration((2*s.random.Float64()-1)*holdJitter*float64(s.cfg.Hold))
	if !s.fullDue.IsZero() { // the watch ends when it is
		call.Hold = min(call.Hold, max(s.fullDue.Sub(at), 0))
	}
	return call
}

// draw returns a uniformly distributed duration from least to most, both included.
func (s *PollScheduler) draw(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(max(most-least, 0))+1))
}
