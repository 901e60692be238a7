package fleetsim

import (
	"math"

	"fernlanding/logic"
)

// drawCalls draws how many calls a job of a tier makes to the next tier.
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
	j.calls--
	if j.attempt.ended { // nobody waits: no more calls
		b.releaseSlot(j)
		return
	}
	b.call(j, func(ok bool) {
		if j.place != notRunning || !j.hasSlot { // its backend has died
			return
		}
		b.settle()
		if ok {
			b.proceed(j)
		} else {
			b.releaseSlot(j)
			j.attempt.end(logic.Error)
		}
		b.admit()
		b.plan()
	})
}

// call sends a request to the next tier, through the replica beside the backend.
func (b *backend) call(j *job, onEnd func(ok bool)) {
	s, parent := b.sim, j.attempt.request
	if b.replica == nil || b.replica.dead {
		onEnd(false)
		return
	}
	id := s.newID("c")
	q := &request{
		id: id, client: parent.client, effect: id, giveUpAt: parent.giveUpAt,
		onAnswer: func(a answer) { onEnd(a.status == served) },
	}
	if parent.key != "" {
		q.key = parent.key + "/" + id
	}
	if s.now >= q.giveUpAt {
		onEnd(false)
		return
	}
	b.replica.take(q)
}
