package fleetsim

const maxViolations = 20 // that are kept

// audit checks the four rules.
type audit struct {
	violations []string            // in words
	firstRuns  map[string]firstRun // by request.effect
}

// firstRun is where and when something first began that may happen only once.
type firstRun struct {
	cell int
	at   int64
}

// violation records that a rule is broken.
func (a *audit) violation(what string) {
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, what)
	}
}

// ran takes the begin of a job: a non-idempotent one must begin once, one that is idempotent by key
// again only where its duplicate is dropped.
func (a *audit) ran(b *backend, j *job) {
	q := j.attempt.request
	class := &b.sim.day.Classes[q.client.class]
	if class.Idempotency == idempotent {
		return
	}
	first, ranBefore := a.firstRuns[q.effect]
	switch {
	case !ranBefore:
		a.firstRuns[q.effect] = firstRun{cell: b.cell, at: b.sim.now}
	case class.Idempotency == nonIdempotent:
		a.violation("an unsafe request ran twice: " + q.effect)
	case first.cell != b.cell:
		a.violation("a keyed request ran in two cells: " + q.effect)
	case b.sim.now-first.at > class.DedupWindow.micros():
		a.violation("a keyed request ran again after its window: " + q.effect)
	}
}

// wasShed takes the shedding of a request, which says that a retry is harmless.
func (a *audit) wasShed(q *request) {
	if _, ran := a.firstRuns[q.effect]; ran {
		a.violation("a refusal of what has run: " + q.effect)
	}
}
