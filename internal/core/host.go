package core

import (
	"errors"

	"fernlanding/logic"
)

// host implements logic.Host for a Pool. The balancer calls the methods of host while it handles
// an event, with the pool's lock held.
type host Pool

var errUnknownRequest = errors.New("unknown request")

// Forward implements logic.Host.
func (h *host) Forward(id, server string, timeout int64) {
	r := h.requests[id]
	if r == nil {
		h.log.Error("forward", "id", id, "error", errUnknownRequest)
		return
	}
	now := h.clock.Now()
	deadline := r.ClientDeadline
	if timeout != 0 {
		deadline = min(deadline, now+timeout)
	}
	attempt := &Attempt{
		Request: r, server: server, number: r.attempts, sentAt: now, Deadline: h.clock.Time(deadline),
	}
	if r.attempts == 0 {
		r.firstSentAt = now
	}
	isRetry := r.attempts > 0
	if isRetry && h.maxSendDelay > 0 && h.classes[r.Class].Idempotency == logic.IdempotentByKey {
		// The retry may rely on the backend's dedup window, so it must be sent, and delivered, before
		// the window ends.
		sendBy := now + h.maxSendDelay
		attempt.SendBy = h.clock.Time(sendBy)
		attempt.DeliverBy = h.clock.Time(max(sendBy, r.firstSentAt+h.classes[r.Class].DedupWindow))
	}
	r.attempts++
	if !r.answered && r.inFlight == nil { // a request has at most one attempt in flight
		attempt.roundTripper = h.upstream.RoundTripper(server)
	}
	if attempt.roundTripper == nil {
		h.unsent = append(h.unsent, attempt)
		return
	}
	r.inFlight, r.pending = attempt, attempt
	r.wake()
}

// Shed implements logic.Host.
func (h *host) Shed(id string, retryAfter int64) {
	r := h.requests[id]
	if r == nil {
		return
	}
	h.tracer.shedCauses[h.balancer.ShedCause()]++
	(*Pool)(h).answerLocked(r, Answer{Verdict: Shed, RetryAfter: retryAfter})
}

// Fail implements logic.Host.
func (h *host) Fail(id string) {
	if r := h.requests[id]; r != nil {
		(*Pool)(h).answerLocked(r, Answer{Verdict: Failed})
	}
}

// SetTimer implements logic.Host.
func (h *host) SetTimer(delay int64, token string) {
	h.timers.add(&timer{dueAt: h.clock.Now() + delay, token: token})
}

// WatchEndpoints implements logic.Host. The request has no effect where the endpoint list is
// pushed, since the pool then receives every update anyway.
func (h *host) WatchEndpoints() {
	select {
	case h.watchRequested <- struct{}{}:
	default: // an earlier request is still pending
	}
}

// Log implements logic.Host.
func (h *host) Log(line string) { h.log.Info(line) }
