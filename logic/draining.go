package logic

const (
	// While an update is overdue, an endpoint that has rejected an attempt may be draining if no
	// attempt sent later has ended otherwise for drainSuspicionDelay. It becomes eligible again
	// drainSuspicionExpiry after its latest rejection.
	drainSuspicionDelay  = second
	drainSuspicionExpiry = 5 * second

	// Where endpoint lists are polled, a replica counts as notified of a change 6 s after the
	// service had it, whether received or not. Once the last update is listValidity old and the
	// next one is overdue, endpoints that have served an attempt sent within recentlyServedWindow
	// are preferred.
	listValidity         = 5 * second
	recentlyServedWindow = 7 * second / 2
	// After this time the balancer does not wait for an overdue update any longer.
	maxOverdue = 30 * second
)

// maybeDraining reports whether an endpoint that is listed as ready may be draining or about to end
// (rule 3) while the update that would say so is overdue. There are two signs. The endpoint rejects
// all attempts for some time, whereas an endpoint that is only full serves some of them. Or the
// list is so old that this replica would count as notified of a change, and the endpoint has served
// no recent attempt.
func (b *Balancer) maybeDraining(now int64, e *endpoint) bool {
	overdueSince := b.watch.overdueSince
	if overdueSince == 0 || now-overdueSince >= maxOverdue {
		return false
	}
	rejects := e.rejecting && now-e.rejectingSince >= drainSuspicionDelay && now-e.lastRejectedAt < drainSuspicionExpiry
	return rejects || b.listIsStale(now) && now-e.lastServedSentAt >= recentlyServedWindow
}

// listIsStale reports whether this replica may count as notified of a change that the list does not
// have yet.
func (b *Balancer) listIsStale(now int64) bool {
	return b.settings.WatchEndpoints && now-b.watch.updatedAt >= listValidity
}
