package logic

// The default retry budget, which applies if the settings have none.
const (
	defaultRetryBudgetWindow = 10 * second
	defaultRetryBudgetMin    = 5.0 // retries per window, regardless of the requests in it
	defaultRetryBudgetRatio  = 0.1 // additional retries per request in the window
)

// retryBudget keeps rule 6: in any window, the number of retries is at most a minimum plus a ratio
// of the number of requests.
type retryBudget struct {
	window     int64
	minRetries float64
	ratio      float64
	requests   timeline
	retries    timeline
}

// newRetryBudget returns the budget in the settings, or the default budget if they have none.
func newRetryBudget(s *Settings) retryBudget {
	if s.RetryBudgetWindow == 0 {
		return retryBudget{
			window: defaultRetryBudgetWindow, minRetries: defaultRetryBudgetMin, ratio: defaultRetryBudgetRatio,
		}
	}
	return retryBudget{window: s.RetryBudgetWindow, minRetries: s.RetryBudgetMin, ratio: s.RetryBudgetRatio}
}

// requestArrived records a request.
func (r *retryBudget) requestArrived(now int64) { r.requests.add(now, r.window) }

// retried records a retry.
func (r *retryBudget) retried(now int64) { r.retries.add(now, r.window) }

// allows reports whether one more retry is within the budget for the window that ends now. The
// check is exact: at the start of the window, a retry counts and a request does not.
func (r *retryBudget) allows(now int64) bool {
	from := now - r.window
	return r.retries.since(from)+1 <= r.minRetries+r.ratio*r.requests.since(from+1)
}

// retry sends another attempt if the remaining time, the rules of FlowSlot, rule 2 and the retry
// budget allow one. It returns the cause that prevents the retry, or NoShedCause.
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
