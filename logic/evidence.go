package logic

import "cmp"

const (
	roundSize       = 12  // outcomes in a round of evidence: fewer prove little, more delay the verdict
	roundObjectives = 2   // latency objectives after which a round with fewer outcomes may complete
	cutStrength     = 0.6 // a bad round cuts a limit or the quota multiple by this times its bad fraction

	maxBadFraction      = 0.4 // largest fraction of late or failed outcomes in a good round of a limit
	maxBadFractionInner = 0.7 // the same in an inner tier
	maxSlowFraction     = 0.3 // largest fraction of slow outcomes in a good round of quotas, local zone or priority
)

// Evidence is the kind of evidence that led to a cut of a concurrency limit.
type Evidence int

// The kinds of evidence.
const (
	NoEvidence       Evidence = iota
	LateEvidence              // late answers, timeouts and rejections by overloaded endpoints
	FailureEvidence           // failed attempts that no outlier explains
	PriorityEvidence          // slow attempts of a class with a higher priority
)

// String returns the name of the evidence as the operator documentation has it.
func (e Evidence) String() string {
	return [...]string{"no evidence", "late calls", "failed calls", "slow calls of a worthier class"}[e]
}

// verdict is the result of a round of evidence: undecided, good, or the factor by which a bad round
// cuts a limit or multiple.
type verdict float64

const (
	undecided verdict = 0
	good      verdict = 1
)

// isBad reports whether the verdict is a factor to cut by.
func (v verdict) isBad() bool { return v > undecided && v < good }

// evidenceRound collects the outcomes of attempts that were sent since its start, and evaluates
// them once there are enough. Replicas with sparse traffic therefore decide on sufficient evidence,
// and one fault causes one cut.
type evidenceRound struct {
	kind       Evidence
	maxBad     float64 // largest fraction of bad outcomes in a good round
	window     int64   // time in microseconds after which a round with few outcomes may complete
	cleanTotal float64 // number of outcomes, none of them bad, that completes a good round; 0 disables this

	startedAt          int64
	total, bad         int
	lastTotal, lastBad int // of the previous round
}

// add records one outcome. It returns undecided until the round can be evaluated. The more of a
// round was bad, the lower is its factor: a false alarm costs little, and congestion gets a strong
// response at once.
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

// isComplete reports whether the verdict of the round is certain. A round with fewer than roundSize
// outcomes can complete early as bad, but only a good one completes by time or by cleanTotal.
func (r *evidenceRound) isComplete(now int64) bool {
	bad, total := float64(r.bad), float64(r.total)
	if bad > r.maxBad*roundSize || r.total >= roundSize {
		return true
	}
	lastedLong := now-r.startedAt >= r.window && bad <= r.maxBad*total
	isClean := r.cleanTotal > 0 && r.bad == 0 && total >= r.cleanTotal
	return lastedLong || isClean
}
