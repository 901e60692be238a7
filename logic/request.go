package logic

import "slices"

// minLatenciesLeft: a request with less time left than this many mean latencies cannot be answered
// in time.
const minLatenciesLeft = 0.5

// request is a request from its arrival until the last of its attempts has ended.
type request struct {
	Request
	arrivedAt int64
	queue     *keyQueue // nil if it need not wait for its turn
	attempts  []*attempt
	inFlight  int  // attempts without outcome
	done      bool // it has its final answer, or needs none
}

// triedOn reports whether an attempt of the request went to the endpoint.
func (q *request) triedOn(e *endpoint) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.endpoint == e })
}

// mayHaveRun reports whether any attempt of the request may have run.
func (q *request) mayHaveRun() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// start admits a request and sends its first attempt, or sheds it.
func (b *Balancer) start(now int64, h Host, q *request) {
	cause := b.admit(now, q)
	if cause == NoShedCause && !b.inTime(now, q) {
		cause = ByDeadline
	}
	if cause == NoShedCause {
		cause = b.send(now, h, q)
	}
	if cause != NoShedCause {
		b.shed(now, h, q, cause)
		return
	}
	if t := b.tenantOf(q); t != nil {
		t.admitted.add(now, 1/b.quotas.multiple)
	}
}

// deadline returns the time from which on an answer has no value.
func (b *Balancer) deadline(q *request) int64 {
	class := &b.settings.Classes[q.Class]
	if b.settings.Tier == 0 && class.LatePriorityFactor == 0 {
		return min(q.ClientDeadline, q.arrivedAt+class.LatencyObjective)
	}
	return q.ClientDeadline
}

// inTime reports whether a request can still be answered while that has a value.
func (b *Balancer) inTime(now int64, q *request) bool {
	return float64(b.deadline(q)-now) > minLatenciesLeft*b.classes[q.Class].latency.mean
}

// finish marks a request as done and forgets it once all its attempts have ended. Only then is it
// the turn of the next one with its key.
func (b *Balancer) finish(now int64, h Host, q *request) {
	q.done = true
	if q.inFlight > 0 {
		return
	}
	delete(b.requests, q.ID)
	if q.queue != nil {
		q.queue.remove(q)
		b.startNext(now, h, q.queue)
	}
}
