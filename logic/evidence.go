package logic

import "cmp"

const (
	roundSize       = 12  // outcomes in a round of evidence: fewer are chance, more are late
	roundObjectives = 2   // latency objectives: a round with fewer outcomes has lasted long enough
	cutStrength     = 0.6 // a bad round cuts a limit or the quota multiple by this times its bad fraction

	maxBadFraction      = 0.4 // a larger fraction of late or failed outcomes makes a round bad for the limits
	maxBadFractionInner = 0.7 // the same in an inner tier
	maxSlowFraction     = 0.3 // a larger fraction of slow outcomes makes a round bad for the quotas and the local zone
)

// Evidence is the kind of evidence that cut a concurrency limit.
type Evidence int

// The kinds of evidence.
const (
	NoEvidence       Evidence = iota
	LateEvidence              // late answers, timeouts and rejections of overloaded endpoints
	FailureEvidence           // failed attempts that no outlier explains
	PriorityEvidence          // slow attempts of a class with a higher priority
)

// String returns the evidence in the words of the operators' pages.
func (e Evidence) String() string {
	return [...]string{"no evidence", "late calls", "failed calls", "slow calls of a worthier class"}[e]
}

// verdict is what a round of evidence comes to: undecided, good, or else bad, when it is the factor
// to cut by.
type verdict float64

const (
	undecided verdict = 0
	good      verdict = 1
)

// isBad reports whether the verdict is a factor to cut by.
func (v verdict) isBad() bool { return v > undecided && v < good }

// evidenceRound gathers outcomes of attempts that were sent since its start and evaluates them once
// they are enough, so that replicas with sparse traffic learn by evidence and one fault is answered
// by one cut.
type evidenceRound struct {
	kind       Evidence
	maxBad     float64 // a larger fraction of bad outcomes makes it bad
	window     int64   // after this time a few outcomes make a round; microseconds
	cleanTotal float64 // so many outcomes without a bad one make a round good; 0: they do not

	startedAt          int64
	total, bad         int
	lastTotal, lastBad int // of the previous round
}

// add takes one outcome. It returns undecided until the round can be evaluated. The factor of a bad
// round is lower the more of it was bad: a false alarm costs little and congestion is answered at
// once.
func (r *evidenceRound) add(now, sentAt int64, bad bool) verdict {
	r.startedAt = cmp.Or(r.startedAt, sentAt)
	if sentAt < r.startedAt {
		return undecided
	}
	r.total++
	if bad {
		r.bad++
	}
	if !r.isComplete(now) {
		return undecided
	}
	badFraction := float64(r.bad) / float64(max(r.total, roundSize/2))
	r.lastTotal, r.lastBad = r.total, r.bad
	r.startedAt, r.total, r.bad = now, 0, 0
	if badFraction <= r.maxBad {
		return good
	}
	return verdict(1 - cutStrength*badFraction)
}

// isComplete reports whether the round's verdict is sure. A short round is complete only if it is
// good.
func (r *evidenceRound) isComplete(now int64) bool {
	bad, total := float64(r.bad), float64(r.total)
	if bad > r.maxBad*roundSize || r.total >= roundSize {
		return true
	}
	lastedLong := now-r.startedAt >= r.window && bad <= r.maxBad*total
	isClean := r.cleanTotal > 0 && r.bad == 0 && total >= r.cleanTotal
	return lastedLong || isClean
}
