package logic

import "slices"

// minLatenciesLeft is the number of mean latencies that must remain for an answer in time.
const minLatenciesLeft = 0.5

// request is a request between its arrival and the end of the last of its attempts.
type request struct {
	Request
	arrivedAt int64
	queue     *keyQueue // nil if the class is not ordered or the request has no key
	attempts  []*attempt
	inFlight  int  // attempts without an outcome
	done      bool // whether the request has its final answer or needs none
}

// triedOn reports whether an attempt of the request was sent to the endpoint.
func (q *request) triedOn(e *endpoint) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.endpoint == e })
}

// mayHaveRun reports whether any attempt of the request may have run.
func (q *request) mayHaveRun() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// start admits a request and sends its first attempt, or sheds the request.
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

// deadline returns the time after which an answer to the request has no value. At the front tier,
// that is the end of the latency objective if late answers of the class earn nothing.
func (b *Balancer) deadline(q *request) int64 {
	class := &b.settings.Classes[q.Class]
	if b.settings.Tier == 0 && class.LatePriorityFactor == 0 {
		return min(q.ClientDeadline, q.arrivedAt+class.LatencyObjective)
	}
	return q.ClientDeadline
}

// inTime reports whether an answer before the deadline of the request is still likely.
func (b *Balancer) inTime(now int64, q *request) bool {
	return float64(b.deadline(q)-now) > minLatenciesLeft*b.classes[q.Class].latency.mean
}

// finish marks a request as done and forgets it once all its attempts have ended. The next request
// with the same key starts only then.
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
