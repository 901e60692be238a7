package core

import (
	"time"

	"fernlanding/logic"
)

// Do takes a request and returns its one final answer, at the latest shortly after the request's
// ClientDeadline. It carries the request's attempts out on the caller's goroutine, one at a time.
func (p *Pool) Do(r *Request) Answer {
	p.mu.Lock()
	p.awaitDuplicateLocked(r)
	if r.answered { // canceled before it was handed over
		p.mu.Unlock()
		return r.answer
	}
	if p.closed {
		p.mu.Unlock()
		return Answer{Verdict: NotAdmitted}
	}
	if p.requests[r.ID] != nil { // two with one ID could not be told apart
		p.mu.Unlock()
		return Answer{Verdict: Rejected}
	}
	p.activeCalls.Add(1)
	defer p.activeCalls.Done()
	p.startLocked(r)
	for {
		p.finishEventLocked()
		attempt := p.nextAttemptLocked(r)
		if attempt == nil {
			break
		}
		p.mu.Unlock()
		result := attempt.roundTripper.RoundTrip(attempt)
		p.mu.Lock()
		p.recordOutcomeLocked(attempt, result)
	}
	p.mu.Unlock()
	return r.answer
}

// awaitDuplicateLocked waits for the end of an earlier request with the same ID, for
// Config.DuplicateIDWait at most and no longer than the client of this one waits. It releases the
// lock meanwhile.
func (p *Pool) awaitDuplicateLocked(r *Request) {
	earlier := p.requests[r.ID]
	if earlier == nil || p.duplicateIDWait == 0 {
		return
	}
	if earlier.released == nil {
		earlier.released = make(chan struct{})
	}
	released := earlier.released
	p.mu.Unlock()
	defer p.mu.Lock()
	timeout := time.NewTimer(min(p.duplicateIDWait, time.Until(p.clock.Time(r.ClientDeadline))))
	defer timeout.Stop()
	select {
	case <-released:
	case <-timeout.C:
	}
}

// startLocked adds a request to the pool, sets its expiry and hands it to the module.
func (p *Pool) startLocked(r *Request) {
	if p.deadlineLimit > 0 {
		r.ClientDeadline = min(r.ClientDeadline, p.deadlineLimit)
	}
	p.requests[r.ID] = r
	r.expiry = timer{dueAt: r.ClientDeadline + deadlineGrace.Microseconds(), request: r}
	p.timers.add(&r.expiry)
	p.balancer.Request(p.clock.Now(), (*host)(p), r.Request)
}

// nextAttemptLocked waits until the module has decided on a request, with the lock released, and
// returns the attempt to be carried out; nil: the request is answered.
func (p *Pool) nextAttemptLocked(r *Request) *Attempt {
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

// Cancel ends a request that nobody waits for any more, and its attempt. It may be called before
// Do.
func (p *Pool) Cancel(r *Request) {
	p.runEvent(func() {
		if p.requests[r.ID] == r {
			p.cancelLocked(r, Answer{Verdict: Canceled})
		} else if !r.answered {
			r.answered, r.answer = true, Answer{Verdict: Canceled} // the pool has not taken it, and Do won't
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

// cancelLocked gives a request an answer that is not the module's, unless it has one, and cancels
// its attempt.
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

// answerLocked gives a request its final answer, if it has none yet. All answers to requests that
// the pool has taken are given here, so that there is exactly one.
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

// releaseLocked removes a request from the pool if it is answered and has no attempt in flight.
func (p *Pool) releaseLocked(r *Request) {
	if !r.answered || r.inFlight != nil {
		return
	}
	delete(p.requests, r.ID)
	if r.released != nil {
		close(r.released)
		r.released = nil
	}
	p.timers.remove(&r.expiry)
}

// recordOutcomeLocked tells the module how an attempt ended. If the attempt's response answers the
// request, it does so first.
func (p *Pool) recordOutcomeLocked(attempt *Attempt, result AttemptResult) {
	r := attempt.Request
	if r.inFlight == attempt {
		r.inFlight = nil
	}
	if result.InvalidRequest && p.balancer.Unverified(attempt.server) {
		// The address may be another service's by now, whose verdict is on a request that was not
		// meant for it.
		result.InvalidRequest = false
	}
	switch {
	case r.answered:
		result.Response.Close() // nobody waits for it
	case result.InvalidRequest:
		p.answerLocked(r, Answer{Verdict: Rejected, Response: result.Response})
	case result.Status == logic.OK:
		p.answerLocked(r, Answer{Verdict: Served, Response: result.Response})
	case result.Response != nil:
		r.lastResponse.Close()
		r.lastResponse = result.Response
	}
	if result.InvalidRequest {
		// The client's fault is no evidence against the backend, and another would say the same.
		result.Status = logic.NotSent
	}
	now := p.clock.Now()
	p.balancer.Outcome(now, (*host)(p), logic.Outcome{
		ID: r.ID, Attempt: attempt.number, Status: result.Status, Latency: now - attempt.sentAt,
		RequestDone: r.answered,
	})
	p.releaseLocked(r)
}

// reportUnsentLocked tells the module of the attempts that can't be carried out. It may decide on
// further attempts, so this goes on until none is left.
func (p *Pool) reportUnsentLocked() {
	for len(p.unsent) > 0 {
		attempt := p.unsent[0]
		p.unsent = p.unsent[1:]
		p.recordOutcomeLocked(attempt, AttemptResult{Status: logic.NotSent})
	}
}
