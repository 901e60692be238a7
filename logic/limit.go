package logic

const (
	initialLimit  = 1e6 // before the first round: a fresh replica sheds nothing while endpoints answer
	minLimit      = 0.3 // floor of a limit: without any attempts there would be no evidence
	minLimitInner = 8.0 // the same in an inner tier, where shedding wastes the work done by outer tiers

	limitStep            = 1.0 // added to a limit after a good round
	maxLimitStepFraction = 0.2 // maximum step as a fraction of the limit, for small limits

	// After a good round, the limit is at most headroomFactor times the peak of its attempts in
	// flight, plus headroomAttempts. A limit far above its use does not protect against a burst.
	// The constant part allows for random variation at replicas with sparse traffic.
	headroomFactor   = 1.5
	headroomAttempts = 2.0
	// Short attempts allow a higher limit: the number of attempts in flight at which the latency
	// would reach this fraction of its objective if the latency grew in proportion to that number.
	// Rounds of such attempts are over within microseconds, so that their peak says little about
	// bursts.
	shortLatencyFraction = 0.05

	// A cut limit is doubled after this number of outcomes without a bad one. If twice the limit is
	// a larger number, that many outcomes are needed, but at most roundSize.
	minCleanTotal = 3.0
	// After a cut in favor of a class with a higher priority, doubling restores the limit up to
	// this fraction of the attempts that were in flight.
	priorityRestoreFraction = 0.8
)

// concurrencyLimit is a rule of FlowSlot with thread grade: it limits the attempts in flight. The
// limit is learned from evidence of lateness and, separately, from evidence of failures. The two
// kinds of evidence are not added up.
type concurrencyLimit struct {
	inFlight   int
	peak       int // maximum of inFlight since the last verdict
	limit      float64
	floor      float64
	late       evidenceRound
	failures   evidenceRound
	lastCut    LimitCut
	belowUsage bool    // whether a bad round cut the limit, and the limit is still below the headroom
	restoreTo  float64 // value up to which good rounds double a cut limit
}

// newConcurrencyLimit returns a limit in its initial state. A round of its evidence is bad if the
// fraction of bad outcomes exceeds maxBad, and may complete with fewer outcomes after window
// microseconds.
func newConcurrencyLimit(maxBad, floor float64, window int64) concurrencyLimit {
	return concurrencyLimit{
		limit:    initialLimit,
		floor:    floor,
		late:     evidenceRound{kind: LateEvidence, maxBad: maxBad, window: window},
		failures: evidenceRound{kind: FailureEvidence, maxBad: maxBad, window: window},
	}
}

// canPass reports whether one more attempt may start; u is a random number in [0, 1). The
// fractional part of a limit is the probability that one attempt beyond the integer part is
// admitted. With integer limits, a replica with sparse traffic and two attempts in flight could
// shed either nothing or half of its requests.
func (l *concurrencyLimit) canPass(u float64) bool { return float64(l.inFlight)+1 <= l.limit+u }

// enter counts the start of an attempt.
func (l *concurrencyLimit) enter() {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
}

// learn adds an outcome to a round and raises or cuts the limit by the verdict. relativeLatency is
// the mean latency as a fraction of its objective.
func (l *concurrencyLimit) learn(r *evidenceRound, now, sentAt int64, bad bool, relativeLatency float64) {
	v := l.evaluate(r, now, sentAt, bad)
	if v == undecided {
		return
	}
	if v == good {
		l.raise(relativeLatency)
	} else {
		l.cut(v, r)
	}
	l.peak = l.inFlight
}

// learnFailure adds an outcome to the round of failures. A good round restores the limit after a
// cut but does not raise it further.
func (l *concurrencyLimit) learnFailure(now, sentAt int64, failed bool) {
	l.cut(l.evaluate(&l.failures, now, sentAt, failed), &l.failures)
}

// evaluate adds an outcome to a round of evidence and returns the verdict. If this kind of evidence
// made the last cut, each good round doubles the limit until it is restored. Until then, a few
// outcomes complete a round if none of them is bad: with one or two attempts in flight, a full
// round would take longer than most faults last.
func (l *concurrencyLimit) evaluate(r *evidenceRound, now, sentAt int64, bad bool) verdict {
	restoring := l.lastCut.Evidence == r.kind && l.restoreTo > l.limit
	r.cleanTotal = 0
	if restoring {
		r.cleanTotal = max(minCleanTotal, min(2*l.limit, roundSize))
	}
	v := r.add(now, sentAt, bad)
	if v == good && restoring {
		l.limit = min(l.restoreTo, 2*l.limit)
	}
	return v
}

// raise raises the limit by one step, bounded by the headroom above the attempts in flight.
func (l *concurrencyLimit) raise(relativeLatency float64) {
	headroom := max(l.floor, headroomFactor*float64(l.peak)+headroomAttempts)
	shortHeadroom := shortLatencyFraction / relativeLatency * float64(l.peak)
	if shortHeadroom > headroom && !l.belowUsage { // the limit is not the result of a bad round
		l.limit = shortHeadroom
	}
	l.limit = min(l.limit+min(limitStep, maxLimitStepFraction*l.limit), max(headroom, shortHeadroom))
	l.belowUsage = l.belowUsage && l.limit < headroom
}

// cut cuts the limit if the verdict of the round is bad.
func (l *concurrencyLimit) cut(v verdict, r *evidenceRound) {
	if !v.isBad() {
		return
	}
	from := min(l.limit, float64(l.peak))
	l.limit, l.belowUsage = max(l.floor, from*float64(v)), true
	l.restoreTo = max(l.restoreTo, from)
	switch r.kind {
	case LateEvidence: // too many attempts were in flight: the limit rises again only in steps
		l.restoreTo = 0
	case PriorityEvidence:
		l.restoreTo = priorityRestoreFraction * from
	default:
	}
	l.lastCut = LimitCut{
		At: r.startedAt, Evidence: r.kind, Total: r.lastTotal, Bad: r.lastBad, From: from, To: l.limit,
	}
}
