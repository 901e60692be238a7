package coldstart

import (
	"container/heap"
	"time"
)

// noReplica is the replica index of an event that does not depend on a replica's call.
const noReplica = -1

// event is an action scheduled at a time.
type event struct {
	at          time.Duration
	replica     int // index of the replica, or noReplica
	incarnation int // incarnation of the replica
	callNumber  int // number of the replica's call in that incarnation
	run         func(now time.Duration)
}

// eventQueue is a heap of events ordered by time.
type eventQueue []event

// add adds an event to the heap.
func (q *eventQueue) add(e event) { heap.Push(q, e) }

// removeFirst removes and returns the earliest event of the heap.
func (q *eventQueue) removeFirst() event {
	first := (*q)[0]
	heap.Pop(q)
	return first
}

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	*q = append(*q, x.(event)) //nolint:forcetypeassert // add pushes events only
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
