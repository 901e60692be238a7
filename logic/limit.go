package logic

const (
	initialLimit  = 1e6 // before the first round: a fresh replica sheds nothing while endpoints answer
	minLimit      = 0.3 // a limit never falls below this: some attempts must go on to bring evidence
	minLimitInner = 8.0 // the same in an inner tier, where shedding wastes the work done so far

	limitStep            = 1.0 // added to a limit after a good round
	maxLimitStepFraction = 0.2 // but no more than this fraction of a small limit

	// A good round leaves a limit no higher than headroomFactor times the peak of its attempts in
	// flight, since an unused limit guards from no burst; and headroomAttempts more, for chance at
	// replicas with sparse traffic.
	headroomFactor   = 1.5
	headroomAttempts = 2.0
	// But attempts that take no more than this fraction of their objective, were their latency to
	// grow with their number, are no burst: a round of microseconds is over before its peak says
	// much.
	shortLatencyFraction = 0.05

	// Outcomes without a bad one that double a cut limit, or twice the limit if that is more.
	minCleanTotal = 3.0
	// A cut for a class with a higher priority is restored by doubling up to this fraction of what
	// was in flight.
	priorityRestoreFraction = 0.8
)

// concurrencyLimit is a rule of FlowSlot with thread grade: it limits the attempts in flight. The
// limit is learned from evidence of lateness and, apart from that, of failures: the two are not
// added up.
type concurrencyLimit struct {
	inFlight   int
	peak       int // of inFlight since the last verdict
	limit      float64
	floor      float64
	late       evidenceRound
	failures   evidenceRound
	lastCut    LimitCut
	belowUsage bool    // cut by a bad round, and not yet back at what is used
	restoreTo  float64 // a cut limit is doubled by good rounds up to this
}

// newConcurrencyLimit returns a limit that nothing has been learned of yet. The rounds of its
// evidence are bad above a fraction of maxBad, and window microseconds make a short one complete.
func newConcurrencyLimit(maxBad, floor float64, window int64) concurrencyLimit {
	return concurrencyLimit{
		limit:    initialLimit,
		floor:    floor,
		late:     evidenceRound{kind: LateEvidence, maxBad: maxBad, window: window},
		failures: evidenceRound{kind: FailureEvidence, maxBad: maxBad, window: window},
	}
}

// canPass reports whether one more attempt may start. It lets a fractional limit work: its fraction
// is the chance that a random u of [0, 1) admits one attempt more. A replica with sparse traffic
// and two attempts in flight could otherwise shed nothing or half.
func (l *concurrencyLimit) canPass(u float64) bool { return float64(l.inFlight)+1 <= l.limit+u }

// enter counts an attempt in.
func (l *concurrencyLimit) enter() {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
}

// learn takes one outcome to a round and follows its verdict; relativeLatency is the mean latency
// as a fraction of the objective.
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

// learnFailure takes one outcome to the round of failures. A good one restores the limit but does
// not raise it.
func (l *concurrencyLimit) learnFailure(now, sentAt int64, failed bool) {
	l.cut(l.evaluate(&l.failures, now, sentAt, failed), &l.failures)
}

// evaluate takes one outcome to a round of evidence. A limit that such evidence has cut is doubled
// by each good round until it is restored, and while that lasts few outcomes make a round if none
// is bad: with an attempt or two in flight, a full round would take longer than most faults do.
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

// raise raises the limit by a step, within the headroom over what was used.
func (l *concurrencyLimit) raise(relativeLatency float64) {
	used := max(l.floor, headroomFactor*float64(l.peak)+headroomAttempts)
	usedIfShort := shortLatencyFraction / relativeLatency * float64(l.peak)
	if usedIfShort > used && !l.belowUsage { // no bad round has made it what it is
		l.limit = usedIfShort
	}
	l.limit = min(l.limit+min(limitStep, maxLimitStepFraction*l.limit), max(used, usedIfShort))
	l.belowUsage = l.belowUsage && l.limit < used
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
	case LateEvidence: // what was in flight was too much: the limit rises by steps alone
		l.restoreTo = 0
	case PriorityEvidence:
		l.restoreTo = priorityRestoreFraction * from
	default:
	}
	l.lastCut = LimitCut{
		At: r.startedAt, Evidence: r.kind, Total: r.lastTotal, Bad: r.lastBad, From: from, To: l.limit,
	}
}
