package core

import "fernlanding/logic"

// Do handles a request and returns its only answer, at the latest shortly after the request's
// ClientDeadline. Do executes the request's attempts on the caller's goroutine, one at a time.
func (p *Pool) Do(r *Request) Answer {
	p.mu.Lock()
	if answer, ok := p.admitLocked(r); !ok {
		p.releaseIDLocked(r)
		p.mu.Unlock()
		return answer
	}
	p.activeCalls.Add(1)
	defer p.activeCalls.Done()
	p.startLocked(r)
	for {
		p.finishEventLocked()
		attempt := p.waitForAttemptLocked(r)
		if attempt == nil {
			break
		}
		p.mu.Unlock()
		result := p.execute(attempt)
		p.mu.Lock()
		p.recordOutcomeLocked(attempt, result)
	}
	p.mu.Unlock()
	return r.answer
}

// execute executes an attempt, unless the client has left meanwhile: this process may have read that
// late, as after a stall.
func (p *Pool) execute(attempt *Attempt) AttemptResult {
	r := attempt.Request
	if r.HasClientLeft != nil && r.HasClientLeft() {
		p.Cancel(r)
		return AttemptResult{Status: logic.NotSent}
	}
	return attempt.roundTripper.RoundTrip(attempt)
}

// admitLocked reserves the ID of a request. It returns false, with the answer, if the pool does not
// accept the request.
func (p *Pool) admitLocked(r *Request) (Answer, bool) {
	reserved := p.reserveIDLocked(r)
	switch {
	case r.answered: // canceled before the pool accepted it
		return r.answer, false
	case p.closed:
		return Answer{Verdict: NotAdmitted}, false
	case !reserved: // requests with the same ID cannot be distinguished
		return Answer{Verdict: Rejected}, false
	}
	return Answer{}, true
}

// startLocked adds a request to the pool, sets its expiry timer and passes it to the balancer.
func (p *Pool) startLocked(r *Request) {
	if p.deadlineLimit > 0 {
		r.ClientDeadline = min(r.ClientDeadline, p.deadlineLimit)
	}
	p.requests[r.ID] = r
	r.expiry = timer{dueAt: r.ClientDeadline + deadlineGrace.Microseconds(), request: r}
	p.timers.add(&r.expiry)
	p.balancer.Request(p.clock.Now(), (*host)(p), r.Request)
}

// waitForAttemptLocked waits until the balancer has decided on a request and returns the attempt to
// execute, or nil if the request is answered. The lock is released during the wait.
func (p *Pool) waitForAttemptLocked(r *Request) *Attempt {
	if r.pending == nil && !r.answered {
		r.wakeup = make(chan struct{})
		p.mu.Unlock()
		<-r.wakeup
		p.mu.Lock()
		r.wakeup = nil
	}
	attempt := r.pending
	r.pending = nil
	return attempt
}

// Cancel ends a request whose client has gone, and cancels the request's attempt. Cancel may be
// called before Do.
func (p *Pool) Cancel(r *Request) {
	p.runEvent(func() {
		if p.requests[r.ID] == r {
			p.cancelLocked(r, Answer{Verdict: Canceled})
		} else if !r.answered {
			r.answered, r.answer = true, Answer{Verdict: Canceled} // not in the pool; Do returns this answer
		}
	})
}

// cancelAll cancels every request.
func (p *Pool) cancelAll() {
	p.runEvent(func() {
		for _, r := range p.requests {
			p.cancelLocked(r, Answer{Verdict: Canceled})
		}
	})
}

// cancelLocked answers a request without a decision of the balancer and cancels the request's
// attempt. It does nothing if the request has been answered.
func (p *Pool) cancelLocked(r *Request, answer Answer) {
	if r.answered {
		return
	}
	p.answerLocked(r, answer)
	p.balancer.Cancel(p.clock.Now(), (*host)(p), r.ID)
	if r.inFlight != nil {
		r.inFlight.Cancel()
	}
}

// answerLocked sets the answer of a request that has none yet. Every answer to a request in the
// pool is set here, so each request gets exactly one.
func (p *Pool) answerLocked(r *Request, answer Answer) {
	if r.answered {
		return
	}
	r.answered, r.answer = true, answer
	if answer.Verdict == Failed {
		r.answer.Response, r.lastResponse = r.lastResponse, nil
	}
	r.lastResponse.Close()
	r.lastResponse = nil
	r.wake()
	p.releaseLocked(r)
}

// releaseLocked removes a request from the pool once it is answered and has no attempt in flight.
func (p *Pool) releaseLocked(r *Request) {
	if !r.answered || r.inFlight != nil {
		return
	}
	delete(p.requests, r.ID)
	p.rememberIDLocked(r)
	p.releaseIDLocked(r)
	p.timers.remove(&r.expiry)
}

// recordOutcomeLocked reports the end of an attempt to the balancer. If the attempt's response
// answers the request, the answer is set first.
func (p *Pool) recordOutcomeLocked(attempt *Attempt, result AttemptResult) {
	r := attempt.Request
	if r.inFlight == attempt {
		r.inFlight = nil
	}
	if result.InvalidRequest && p.balancer.Unverified(attempt.server) {
		// The address may belong to another service by now. In that case, the rejection does not
		// show that the request is invalid.
		result.InvalidRequest = false
	}
	switch {
	case r.answered:
		result.Response.Close() // no client waits for the response
	case result.InvalidRequest:
		p.answerLocked(r, Answer{Verdict: Rejected, Response: result.Response})
	case result.Status == logic.OK:
		p.answerLocked(r, Answer{Verdict: Served, Response: result.Response})
	case result.Response != nil:
		r.lastResponse.Close()
		r.lastResponse = result.Response
	}
	if result.InvalidRequest {
		// An error of the client is no evidence against the backend, and a retry at another backend
		// would be rejected as well.
		result.Status = logic.NotSent
	}
	now := p.clock.Now()
	p.balancer.Outcome(now, (*host)(p), logic.Outcome{
		ID: r.ID, Attempt: attempt.number, Status: result.Status, Latency: now - attempt.sentAt,
		RequestDone: r.answered,
	})
	p.releaseLocked(r)
}

// reportUnsentLocked reports to the balancer that attempts cannot be sent. The balancer may then
// forward further attempts that cannot be sent, so reportUnsentLocked repeats until none is left.
func (p *Pool) reportUnsentLocked() {
	for len(p.unsent) > 0 {
		attempt := p.unsent[0]
		p.unsent = p.unsent[1:]
		p.recordOutcomeLocked(attempt, AttemptResult{Status: logic.NotSent})
	}
}
