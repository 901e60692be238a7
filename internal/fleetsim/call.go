package fleetsim

import (
	"math"

	"fernlanding/logic"
)

// drawCalls draws the number of calls that a job of a tier makes to the next tier.
func (s *simulation) drawCalls(tier int) int {
	next := tier + 1
	if next >= len(s.day.Tiers) {
		return 0
	}
	whole, fraction := math.Modf(s.day.Tiers[next].Calls)
	if s.backendRand.Float64() < fraction {
		whole++
	}
	return int(whole)
}

// callNext makes a job's next call to the next tier.
func (b *backend) callNext(j *job) {
	j.callsLeft--
	if j.attempt.ended { // no caller waits for the result
		b.releaseSlot(j)
		return
	}
	b.sendCall(j, func(ok bool) {
		if j.heapIndex != notRunning || !j.hasSlot { // the job's backend has terminated
			return
		}
		b.advanceWorkClock()
		if ok {
			b.proceed(j)
		} else {
			b.releaseSlot(j)
			j.attempt.end(logic.Error)
		}
		b.admit()
		b.scheduleCompletion()
	})
}

// sendCall sends a request of a job to the next tier through the backend's local replica.
func (b *backend) sendCall(j *job, onEnd func(ok bool)) {
	s, parent := b.sim, j.attempt.request
	if b.replica == nil || b.replica.dead {
		onEnd(false)
		return
	}
	id := s.newID("c")
	q := &request{
		id: id, client: parent.client, executionID: id, giveUpAt: parent.giveUpAt,
		onAnswer: func(a answer) { onEnd(a.status == served) },
	}
	if parent.key != "" {
		q.key = parent.key + "/" + id
	}
	if s.now >= q.giveUpAt {
		onEnd(false)
		return
	}
	b.replica.receive(q)
}
