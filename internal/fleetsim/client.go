package fleetsim

const minRetryWait = 1_000 // microseconds between two attempts of a client

// sendAttempt sends an attempt of a client to a replica.
func (s *simulation) sendAttempt(r *clientRequest) {
	r.attempts++
	d, class := s.day, &s.day.Classes[r.class]
	if r.attempts == 1 {
		s.metrics.requestArrived(r, s.warmup)
	}
	deadline := class.Deadline.micros()
	giveUpAt := min(r.arrivedAt+deadline, s.now+int64(d.Clients.AttemptTimeoutFraction*float64(deadline)))
	q := &request{
		id: s.newID("r"), client: r, executionID: r.name, key: r.key, giveUpAt: giveUpAt,
		onAnswer: func(a answer) { s.answerAttempt(r, a) },
	}
	to := s.pickReplica()
	s.after(s.networkDelay(), func() {
		if to.dead || s.now >= giveUpAt { // no replica receives the attempt
			q.onAnswer(answer{status: failed})
			return
		}
		to.receive(q)
	})
}

// pickReplica draws the replica before the first tier that receives an attempt.
func (s *simulation) pickReplica() *replica {
	if s.hotShare > 0 && s.clientRand.Float64() < s.hotShare || len(s.front) == 1 {
		return s.front[0]
	}
	if s.hotShare > 0 {
		return s.front[1+s.clientRand.IntN(len(s.front)-1)]
	}
	return s.front[s.clientRand.IntN(len(s.front))]
}

// answerAttempt delivers the answer to a client's current attempt. The client retries a shed
// attempt, and a failed attempt if the class is idempotent.
func (s *simulation) answerAttempt(r *clientRequest, a answer) {
	class, clients := &s.day.Classes[r.class], &s.day.Clients
	left := r.arrivedAt + class.Deadline.micros() - s.now
	mayRetry := r.attempts <= clients.Retries &&
		(a.status == shed || a.status == failed && class.Idempotency == idempotent)
	wait := max(minRetryWait, clients.Backoff.micros())
	if a.status == shed && s.clientRand.Float64() < clients.HonorRetryAfter {
		wait = max(wait, a.retryAfter)
	}
	if a.status != served && mayRetry && wait < left {
		s.after(wait, func() { s.sendAttempt(r) })
		return
	}
	s.recordFinalAnswer(r, a.status)
}
