package fleetsim

import "container/heap"

// job is one attempt at a backend.
type job struct {
	attempt    *attempt
	work       float64 // left of the present part, in microseconds of a core of speed 1
	secondPart float64 // of the part after the calls
	calls      int     // left to make
	finishAt   float64 // on the backend's work clock
	place      int     // in the run queue, or notRunning
	hasSlot    bool
	abandoned  bool // nobody waits for it, and it need not start
}

// notRunning is the place of a job that is not in the run queue.
const notRunning = -1

// runQueue is a heap of the jobs that share the cores, by when they finish.
type runQueue []*job

// add adds a job.
func (q *runQueue) add(j *job) { heap.Push(q, j) }

// removeFirst removes and returns the job that finishes first.
func (q *runQueue) removeFirst() *job {
	first := (*q)[0]
	heap.Pop(q)
	return first
}

// Len implements heap.Interface.
func (q runQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q runQueue) Less(i, j int) bool { return q[i].finishAt < q[j].finishAt }

// Swap implements heap.Interface.
func (q runQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

// Push implements heap.Interface.
func (q *runQueue) Push(x any) {
	j := x.(*job) //nolint:forcetypeassert // add pushes jobs only
	j.place = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *runQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	last.place = notRunning
	*q = old[:len(old)-1]
	return last
}
