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

// mayStillRun reports whether an attempt that ended with the status may still be running at its
// endpoint.
func mayStillRun(status Status) bool {
	return status == TimedOut || status == Reset || status == Canceled
}

// retryAllowed reports whether rule 2 allows an attempt at an endpoint. Two kinds of requests are
// restricted once an attempt may have run. A non-idempotent request is not retried. A request that
// is idempotent by key is retried only within the dedup scope, and only if the retry is sent before
// the dedup window ends, even if sending takes Settings.MaxSendDelay. A non-idempotent request goes
// to no endpoint whose address may belong to another service by now.
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

// covers reports whether the endpoint drops duplicates of the attempt, wherever it may have run.
func (s DedupScope) covers(a *attempt, e *endpoint) bool {
	if !s.joins(place{zone: a.zone, cell: a.cell}, e) {
		return false
	}
	for _, p := range a.takeovers {
		if !s.joins(p, e) {
			return false
		}
	}
	return true
}

// joins reports whether the endpoint drops duplicates of what has run at a place.
func (s DedupScope) joins(p place, e *endpoint) bool {
	switch s {
	case DedupZone:
		return p.zone == e.Zone
	case DedupCell:
		return p.cell == e.Cell
	default:
		return true
	}
}

// recordTakeovers records for the attempts of requests that still need an answer that another
// endpoint has started at the address that they were sent to. The list tells that late: such an
// attempt may have run at either endpoint.
func (b *Balancer) recordTakeovers(entries []Endpoint) {
	sent := map[string][]*attempt{}
	for _, q := range b.requests {
		if b.settings.Classes[q.Class].Idempotency != IdempotentByKey {
			continue
		}
		for _, a := range q.attempts {
			sent[a.address] = append(sent[a.address], a)
		}
	}
	delete(sent, "") // unknown addresses
	if len(sent) == 0 {
		return
	}
	for i := range entries {
		for _, a := range sent[entries[i].Address] {
			if entries[i].StartedAt > a.startedAt {
				a.startedAt = entries[i].StartedAt
				a.takeovers = append(a.takeovers, place{zone: entries[i].Zone, cell: entries[i].Cell})
			}
		}
	}
}

// mayShed reports whether rule 2 allows shedding the request. Shedding tells the client that a
// retry is safe.
func (b *Balancer) mayShed(q *request) bool {
	return b.settings.Classes[q.Class].retriesAnywhere() || !q.mayHaveRun()
}

// retriesAnywhere reports whether a request of the class may be retried at any endpoint of the
// tier.
func (c *Class) retriesAnywhere() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupTier
}
