package logic

// mayHaveRun reports whether an attempt that ended with the status may have run.
func (b *Balancer) mayHaveRun(status Status) bool {
	switch status {
	case ConnectFailed, NotSent:
		return false
	case Overloaded:
		return b.settings.RejectionMayHaveRun
	default:
		return true
	}
}

// mayStillRun reports whether an attempt that ended with the status may go on at its endpoint.
func mayStillRun(status Status) bool {
	return status == TimedOut || status == Reset || status == Canceled
}

// retryAllowed keeps rule 2 for an attempt at an endpoint. Once an attempt may have run, a
// non-idempotent request is not retried, and one that is idempotent by key only within the dedup
// scope, while the key is remembered there: also if the retry leaves as late as
// Settings.MaxSendDelay allows. A non-idempotent request goes to no endpoint that may be another
// service's by now.
func (b *Balancer) retryAllowed(now int64, q *request, e *endpoint) bool {
	class := &b.settings.Classes[q.Class]
	if e.unverified && class.Idempotency == NonIdempotent {
		return false
	}
	if class.Idempotency == Idempotent {
		return true
	}
	for _, a := range q.attempts {
		if a.mayHaveRun && (class.Idempotency == NonIdempotent ||
			now+b.settings.MaxSendDelay-a.sentAt >= class.DedupWindow || !class.DedupScope.covers(a, e)) {
			return false
		}
	}
	return true
}

// covers reports whether the endpoint drops duplicates of the attempt.
func (s DedupScope) covers(a *attempt, e *endpoint) bool {
	switch s {
	case DedupZone:
		return a.zone == e.Zone
	case DedupCell:
		return a.cell == e.Cell
	default:
		return true
	}
}

// mayShed keeps rule 2 for shedding, which tells the client that a retry is harmless.
func (b *Balancer) mayShed(q *request) bool {
	return b.settings.Classes[q.Class].retriesAnywhere() || !q.mayHaveRun()
}

// retriesAnywhere reports whether a request of the class may be retried at any endpoint of the
// tier.
func (c *Class) retriesAnywhere() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupTier
}
