package core

import (
	"errors"

	"fernlanding/logic"
)

// host is a Pool as the module sees it. The module calls its methods during an event, with the
// pool's lock held.
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
	isRetry := r.attempts > 0
	if isRetry && h.maxSendDelay > 0 && h.classes[r.Class].Idempotency == logic.IdempotentByKey {
		// The retry may rely on its backend's dedup window, which ends.
		attempt.SendBy = h.clock.Time(now + h.maxSendDelay)
	}
	r.attempts++
	if !r.answered && r.inFlight == nil { // never two attempts of a request at once
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

// WatchEndpoints implements logic.Host. Where the list is pushed the watch is open anyway.
func (h *host) WatchEndpoints() {
	select {
	case h.watchRequested <- struct{}{}:
	default: // a request is pending already
	}
}

// Log implements logic.Host.
func (h *host) Log(line string) { h.log.Info(line) }
