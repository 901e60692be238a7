package start

import (
	"math/rand/v2"
	"time"
)

// PollConfig is the configuration of a PollScheduler. The zero value of a field selects its
// default.
type PollConfig struct {
	Replicas     int           // replicas that share discovery; 0 means unknown
	Hold         time.Duration // mean hold of a watch; default 2 s
	FullTimeout  time.Duration // initial timeout of a full read; default 3 s
	WatchTimeout time.Duration // initial timeout of a watch in addition to its hold; default 1 s
	RecentStarts int           // known recent starts of this replica, not counting the present one
}

const (
	defaultHold         = 2 * time.Second
	defaultFullTimeout  = 3 * time.Second
	defaultWatchTimeout = time.Second
)

// Parameters that spread the calls of a fleet.
const (
	// The first full reads of N replicas spread over N times spreadPerReplica, which is 200 a
	// second.
	spreadPerReplica = 5 * time.Millisecond
	minSpread        = 250 * time.Millisecond
	maxSpread        = 60 * time.Second
	// oldListAge is the age at which a watch from a cached list costs discovery as much as a full
	// read.
	oldListAge = time.Minute

	// After a failure, the calls of N replicas spread over N times backoffPerReplica, which is 50 a
	// second.
	backoffPerReplica = 20 * time.Millisecond
	minBackoffLimit   = 2 * time.Second
	maxBackoffLimit   = 5 * time.Minute
	unknownLimit      = 4 * time.Second // if the number of replicas is unknown
	minBackoff        = 250 * time.Millisecond
	backoffGrowth     = 3 // ratio of the next backoff's bound to the last backoff (decorrelated jitter)
	firstBoundDivisor = 8 // the first backoff's bound is at least the limit divided by this
	nonUrgentFactor   = 2 // factor on the backoff limit of a replica whose list still serves

	maxTimeout    = 30 * time.Second
	timeoutGrowth = 2 // after a call that timed out
	// holdJitter is the fraction by which the hold of a watch varies in both directions. It keeps
	// replicas that are notified together from calling together.
	holdJitter = 0.2

	// watchBurst is the number of calls in a row that may be answered at once before calls are
	// spaced by watchInterval. A watch counts as continued if the next call is made within 200 ms.
	watchBurst    = 20
	watchInterval = 150 * time.Millisecond

	// A replica that resumes its watch after a failure, or that starts with a cached list, does a
	// full read after fullReadDelay to fullReadDelay+fullReadSpread.
	fullReadDelay  = 30 * time.Second
	fullReadSpread = 60 * time.Second

	// At the n-th recent start, a replica waits up to restartDelay times 2^n longer, at most
	// maxRestartDelay.
	restartDelay    = time.Second
	maxRestartDelay = 30 * time.Second
)

// PollScheduler decides when a replica calls discovery, and which call it makes. It is not safe for
// concurrent use.
type PollScheduler struct {
	cfg          PollConfig
	random       *rand.Rand
	hasList      bool          // the next call can watch from the version of a list
	backoff      time.Duration // last backoff; 0 if the last call succeeded
	fullTimeout  time.Duration // present timeout of a full read
	watchTimeout time.Duration // present timeout of a watch in addition to its hold

	tokens     float64 // tokens of the bucket that spaces calls that are answered at once
	refilledAt time.Time
	fullDue    time.Time // when the next full read is due; zero if none is
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

// First returns the first call. A replica with a cached list serves with it and watches from its
// version. Such a watch costs discovery little if the list is fresh, and as much as a full read if
// it is old. The first calls of replicas that start together are spread according to the number of
// replicas and, with a list, to its age. The first call of a replica that restarts repeatedly is
// delayed further according to its recent starts.
func (s *PollScheduler) First(now time.Time, hasList bool, age time.Duration) Call {
	s.hasList, s.refilledAt = hasList, now
	spread := min(max(time.Duration(s.cfg.Replicas)*spreadPerReplica, minSpread), maxSpread)
	if hasList {
		part := min(1, float64(max(age, 0))/float64(oldListAge))
		spread = minSpread + time.Duration(part*float64(spread-minSpread))
	}
	call := Call{Delay: s.drawBetween(0, spread), Reason: "spread over the replicas that may start together"}
	if n := s.cfg.RecentStarts; n > 0 {
		call.Delay += s.drawBetween(0, min(restartDelay<<min(n, 10), maxRestartDelay))
		call.Reason = "repeated recent starts"
	}
	if hasList { // the list's version may by now be that of another service
		s.scheduleVerification(now.Add(call.Delay))
	}
	return s.complete(call, now.Add(call.Delay))
}

// Next returns the call after one that has ended. The argument urgent reports that the replica
// can't serve, or its backends fail, until it has a newer list. The argument retryAfter is the
// Retry-After of discovery, 0 if there was none.
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
		// Discovery may have returned with an older state whose versions later exceed the replica's
		// version. A watch does not detect that.
		s.scheduleVerification(now)
	}
	call := Call{Delay: s.nextBackoff(urgent), Reason: outcome.String()}
	if retryAfter > 0 {
		retryAfter = min(retryAfter, maxBackoffLimit)
		call.Delay = retryAfter + s.drawBetween(0, max(retryAfter/2, minBackoff))
		call.Reason += ", Retry-After"
	}
	return s.complete(call, now.Add(call.Delay))
}

// scheduleVerification schedules a full read after a watch that is made at the time at, regardless
// of the response to the watch.
func (s *PollScheduler) scheduleVerification(at time.Time) {
	s.fullDue = at.Add(s.drawBetween(fullReadDelay, fullReadDelay+fullReadSpread))
}

// nextBackoff draws the backoff after one more failure.
func (s *PollScheduler) nextBackoff(urgent bool) time.Duration {
	limit := s.backoffLimit()
	if !urgent {
		limit *= nonUrgentFactor
	}
	// The limit applies to the bound of the draw and not to the drawn backoff. Backoffs cut off at
	// the limit would be equal, and the replicas would call together. The first backoffs of a large
	// fleet are long too, because nearly all of its replicas are rejected at the start.
	bound := min(max(backoffGrowth*max(s.backoff, minBackoff), limit/firstBoundDivisor), limit)
	s.backoff = s.drawBetween(minBackoff, bound)
	return s.backoff
}

// backoffLimit returns the backoff limit of a replica that can't serve. It bounds the rate of the
// calls of all replicas to what discovery can process.
func (s *PollScheduler) backoffLimit() time.Duration {
	if s.cfg.Replicas == 0 {
		return unknownLimit
	}
	return min(max(time.Duration(s.cfg.Replicas)*backoffPerReplica, minBackoffLimit), maxBackoffLimit)
}

// ScheduleFull schedules a full read within the backoff limit, while the replica continues to
// watch. It is called before Next if the list is empty. Discovery may have lost its members and may
// find them again under the same version, which a watch does not detect.
func (s *PollScheduler) ScheduleFull(now time.Time) {
	s.fullDue = now.Add(s.drawBetween(minBackoff, s.backoffLimit()))
}

// RequireFull makes the next call read the full list, because the replica's list and the last
// answer contradict each other.
func (s *PollScheduler) RequireFull() { s.hasList = false }

// afterAnswer returns the call after an answer. It follows at once, unless many calls in a row were
// answered at once.
func (s *PollScheduler) afterAnswer(now time.Time) Call {
	// Discovery answered within the present timeout, so timeouts shrink again step by step.
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

// complete sets the kind, the timeout and the hold of a call that is made at the time at.
func (s *PollScheduler) complete(call Call, at time.Time) Call {
	call.Full = !s.hasList || !s.fullDue.IsZero() && !at.Before(s.fullDue)
	if call.Full {
		call.Timeout, s.fullDue = s.fullTimeout, time.Time{}
		return call
	}
	call.Timeout = s.watchTimeout
	call.Hold = s.cfg.Hold + time.Duration((2*s.random.Float64()-1)*holdJitter*float64(s.cfg.Hold))
	if !s.fullDue.IsZero() { // the watch ends when the full read is due
		call.Hold = min(call.Hold, max(s.fullDue.Sub(at), 0))
	}
	return call
}

// drawBetween draws a uniformly distributed duration from least to most, inclusive.
func (s *PollScheduler) drawBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(max(most-least, 0))+1))
}
