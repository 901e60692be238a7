package logic

// Without a stated budget this one holds.
const (
	defaultRetryBudgetWindow = 10 * second
	defaultRetryBudgetMin    = 5.0 // retries in it, however many requests arrived
	defaultRetryBudgetRatio  = 0.1 // and for each request that arrived
)

// retryBudget keeps rule 6: in any window the retries number at most a minimum plus a ratio of the
// requests.
type retryBudget struct {
	window     int64
	minRetries float64
	ratio      float64
	requests   timeline
	retries    timeline
}

// newRetryBudget returns the budget that the settings state, or else the default.
func newRetryBudget(s *Settings) retryBudget {
	if s.RetryBudgetWindow == 0 {
		return retryBudget{
			window: defaultRetryBudgetWindow, minRetries: defaultRetryBudgetMin, ratio: defaultRetryBudgetRatio,
		}
	}
	return retryBudget{window: s.RetryBudgetWindow, minRetries: s.RetryBudgetMin, ratio: s.RetryBudgetRatio}
}

// requestArrived counts a request.
func (r *retryBudget) requestArrived(now int64) { r.requests.add(now, r.window) }

// retried counts a retry.
func (r *retryBudget) retried(now int64) { r.retries.add(now, r.window) }

// allows reports whether one more retry is within the budget. That is exact in the window that ends
// now: a retry at its far edge counts, a request that arrived there does not.
func (r *retryBudget) allows(now int64) bool {
	from := now - r.window
	return r.retries.since(from)+1 <= r.minRetries+r.ratio*r.requests.since(from+1)
}

// retry sends a further attempt, where time, rules, rule 2 and the budget allow one. It returns
// what forbids it, and NoShedCause otherwise.
func (b *Balancer) retry(now int64, h Host, q *request) ShedCause {
	u := b.rnd.Float64()
	switch {
	case len(q.attempts) >= b.settings.MaxAttempts:
		return ByAttemptLimit
	case !b.inTime(now, q):
		return ByDeadline
	case !b.tier.canPass(u):
		return ByTierLimit
	case !b.classes[q.Class].limit.canPass(u):
		return ByClassLimit
	case !b.retryBudget.allows(now):
		return ByRetryBudget
	}
	cause := b.send(now, h, q)
	if cause == NoShedCause {
		b.retryBudget.retried(now)
	}
	return cause
}
