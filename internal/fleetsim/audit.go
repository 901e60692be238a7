package fleetsim

const maxViolations = 20 // maximum number of violations recorded per day

// audit checks the four rules that the decisions of the replicas must keep.
type audit struct {
	violations []string            // descriptions
	firstRuns  map[string]firstRun // by request.executionID
}

// firstRun records the cell and time of the first execution of a request that is not idempotent.
type firstRun struct {
	cell int
	at   int64 // microseconds
}

// violation records the violation of a rule.
func (a *audit) violation(description string) {
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, description)
	}
}

// recordRun checks a job that begins. A non-idempotent request must begin only once. A request that
// is idempotent by key may begin again only in the same cell and within the dedup window, where the
// duplicate is dropped.
func (a *audit) recordRun(b *backend, j *job) {
	q := j.attempt.request
	class := &b.sim.day.Classes[q.client.class]
	if class.Idempotency == idempotent {
		return
	}
	first, ranBefore := a.firstRuns[q.executionID]
	switch {
	case !ranBefore:
		a.firstRuns[q.executionID] = firstRun{cell: b.cell, at: b.sim.now}
	case class.Idempotency == nonIdempotent:
		a.violation("an unsafe request ran twice: " + q.executionID)
	case first.cell != b.cell:
		a.violation("a keyed request ran in two cells: " + q.executionID)
	case b.sim.now-first.at > class.DedupWindow.micros():
		a.violation("a keyed request ran again after its window: " + q.executionID)
	}
}

// recordShed checks a request that is shed. Shedding tells the client that a retry is safe, so the
// request must not have run.
func (a *audit) recordShed(q *request) {
	if _, ran := a.firstRuns[q.executionID]; ran {
		a.violation("a refusal of what has run: " + q.executionID)
	}
}
