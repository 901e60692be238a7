package logic

const (
	// An endpoint that has served no attempt for so long since it rejected one may be draining,
	// where the update that would say so is overdue. So long after the last that it rejected it may
	// have an attempt again.
	drainSuspicion       = second
	drainSuspicionExpiry = 5 * second

	// Where lists are polled, a change counts as notified 6 s after the service had it, received or
	// not. From so long after the last update on, while the next is overdue, endpoints that have
	// served lately come first.
	listValidity   = 5 * second
	servedRecently = 7 * second / 2
	// What an update would say that is overdue for longer than this is not waited for.
	maxOverdue = 30 * second
)

// maybeDraining reports whether an endpoint that is listed as ready may be draining or about to end
// (rule 3), while the update that would say so is overdue: it rejects what it is sent, where one
// that is merely full serves some attempts meanwhile; or the list is so old that a change would
// count as notified, and nothing shows that the endpoint still serves.
func (b *Balancer) maybeDraining(now int64, e *endpoint) bool {
	overdueSince := b.watch.overdueSince
	if overdueSince == 0 || now-overdueSince >= maxOverdue {
		return false
	}
	rejects := e.rejecting && now-e.rejectingSince >= drainSuspicion && now-e.lastRejectedAt < drainSuspicionExpiry
	return rejects || b.listIsStale(now) && now-e.lastServedSentAt >= servedRecently
}

// listIsStale reports whether what has changed since the last update may count as notified.
func (b *Balancer) listIsStale(now int64) bool {
	return b.settings.WatchEndpoints && now-b.watch.updatedAt >= listValidity
}
