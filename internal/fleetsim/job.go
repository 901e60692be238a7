package fleetsim

import "container/heap"

// job is an attempt as a backend holds it.
type job struct {
	attempt        *attempt
	work           float64 // work of the current part, in microseconds of a core of speed 1
	workAfterCalls float64 // work of the part after the calls
	callsLeft      int     // calls to the next tier still to make
	finishAt       float64 // time on the backend's work clock at which the current part is done
	heapIndex      int     // index in the run queue, or notRunning
	hasSlot        bool
	abandoned      bool // whether the caller has stopped waiting before the job began
}

// notRunning is the heapIndex of a job that is not in the run queue.
const notRunning = -1

// runQueue is a heap of the jobs that share the cores, ordered by finishAt.
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
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *runQueue) Push(x any) {
	j := x.(*job) //nolint:forcetypeassert // add pushes jobs only
	j.heapIndex = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *runQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	last.heapIndex = notRunning
	*q = old[:len(old)-1]
	return last
}
