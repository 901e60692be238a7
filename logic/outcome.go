package logic

// Outcome reports the end of an attempt. If the request still needs an answer, the Balancer retries
// it or ends it at once. The outcome of an attempt that is not in flight is ignored.
func (b *Balancer) Outcome(now int64, h Host, o Outcome) {
	q := b.requests[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].inFlight {
		return
	}
	b.markSlowAttempts(now)
	a := q.attempts[o.Attempt]
	b.endAttempt(q, a, o.Status)
	b.learnFromOutcome(now, q, a, o)
	b.reportPressure(now, h)
	if q.queue != nil && mayStillRun(o.Status) {
		q.queue.pausedUntil = now + b.settings.OrderingDelay
		h.SetTimer(b.settings.OrderingDelay, keyTimer+q.Key)
	}
	if o.RequestDone || q.done {
		b.finish(now, h, q)
	} else if q.inFlight == 0 {
		b.retryOrEnd(now, h, q)
	}
}

// retryOrEnd retries a request that has no attempt in flight. If no retry is allowed, it sheds the
// request, or fails the request if rule 2 forbids shedding.
func (b *Balancer) retryOrEnd(now int64, h Host, q *request) {
	cause := b.retry(now, h, q)
	switch {
	case cause == NoShedCause:
	case b.mayShed(q):
		b.shed(now, h, q, cause)
	default:
		h.Fail(q.ID)
		b.finish(now, h, q)
	}
}

// endAttempt records that an attempt is no longer in flight.
func (b *Balancer) endAttempt(q *request, a *attempt, status Status) {
	a.inFlight = false
	a.mayHaveRun = b.mayHaveRun(status)
	q.inFlight--
	a.endpoint.inFlight--
	if status == OK {
		a.endpoint.unverified = false
		a.endpoint.lastServedSentAt = max(a.endpoint.lastServedSentAt, a.sentAt)
	}
	b.tier.inFlight--
	b.classes[q.Class].limit.inFlight--
}

// learnFromOutcome updates the endpoint, the limits, the quotas and the spillover by the outcome of
// an attempt.
func (b *Balancer) learnFromOutcome(now int64, q *request, a *attempt, o Outcome) {
	if o.Status == Canceled || o.Status == NotSent {
		return
	}
	a.endpoint.recordRejection(now, a.sentAt, o.Status == Overloaded)
	class, failed := &b.classes[q.Class], o.Status != OK
	isOutlier := b.updateOutlierState(a.endpoint, q.Class, o.Status)
	if !failed {
		class.latency.observe(a.endpoint, float64(o.Latency))
		class.latency.updateBase(now, a.lightLoad)
	}
	elapsed := float64(now - a.sentAt)
	// A quick failure is no evidence of load. It counts as a failure against the limits, but not as
	// slow against the quotas and the local zone.
	late := o.Status == Overloaded || o.Status == TimedOut || !failed && elapsed > b.lateThreshold(q.Class)
	slow := late || elapsed > b.slowThreshold(q.Class)
	// The failure of an outlier is evidence about one endpoint only, and would count as an attempt
	// without congestion.
	if isOutlier {
		return
	}
	for _, l := range []*concurrencyLimit{&b.tier, &class.limit} {
		if late || !failed {
			l.learn(&l.late, now, a.sentAt, late, b.relativeLatency(q.Class))
		}
		l.learnFailure(now, a.sentAt, failed)
	}
	if !a.countedSlow {
		b.updatePressure(now, q.Class, a, slow, slow || o.Status == ConnectFailed)
	}
}
