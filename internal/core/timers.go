package core

import (
	"container/heap"
	"time"
)

// timer is an entry of a pool's timers: a timer set by the balancer or the expiry of a request.
type timer struct {
	dueAt   int64    // in microseconds of the pool's clock
	token   string   // token of the balancer's timer
	request *Request // the request that expires; nil for a timer of the balancer
	index   int      // index in the heap; -1 after removal
}

// timerHeap is a heap of timers ordered by due time. It implements heap.Interface.
type timerHeap []*timer

// add adds a timer.
func (h *timerHeap) add(t *timer) { heap.Push(h, t) }

// popEarliest removes and returns the timer that is due first. The heap must not be empty.
func (h *timerHeap) popEarliest() *timer {
	earliest := (*h)[0]
	heap.Pop(h)
	return earliest
}

// reschedule changes the due time of a timer.
func (h *timerHeap) reschedule(t *timer, dueAt int64) {
	t.dueAt = dueAt
	heap.Fix(h, t.index)
}

// remove removes a timer unless it has been removed already.
func (h *timerHeap) remove(t *timer) {
	if t.index >= 0 {
		heap.Remove(h, t.index)
	}
}

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer) //nolint:forcetypeassert // add pushes only timers
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1], last.index = nil, -1
	*h = old[:len(old)-1]
	return last
}

// runTimersLocked runs the timers that are due and handles the consequences of each.
func (p *Pool) runTimersLocked() {
	if len(p.timers) == 0 {
		return // avoids reading the clock
	}
	now := p.clock.Now()
	for len(p.timers) > 0 && p.timers[0].dueAt <= now {
		due := p.timers.popEarliest()
		if due.request == nil {
			p.balancer.Timer(now, (*host)(p), due.token)
		} else {
			p.cancelLocked(due.request, Answer{Verdict: Expired}) // the balancer did not answer in time
		}
		p.reportUnsentLocked()
	}
}

// scheduleWakeupLocked sets the wakeup timer of Run to the earliest timer.
func (p *Pool) scheduleWakeupLocked() {
	if len(p.timers) == 0 {
		return
	}
	earliest := p.timers[0].dueAt
	if p.wakeupAt != 0 && p.wakeupAt <= earliest {
		return
	}
	p.wakeupAt = earliest
	p.wakeup.Reset(time.Until(p.clock.Time(earliest)))
}
