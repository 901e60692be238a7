package fleetsim

// event is an action scheduled at a time. Events at the same time run in the order in which they
// were scheduled.
type event struct {
	at  int64 // microseconds
	seq uint64
	run func()
}

// eventQueue is a binary heap of events together with the virtual clock. It does not use
// container/heap, which boxes each event; the boxing took a third of the time of a simulation.
type eventQueue struct {
	heap []event
	seq  uint64
	now  int64 // microseconds
}

// less reports whether the event at index i comes before the event at index j.
func (q *eventQueue) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// after schedules run after a delay in microseconds. A negative delay counts as 0.
func (q *eventQueue) after(delay int64, run func()) { q.at(q.now+max(delay, 0), run) }

// at schedules run at a time, or at the current time if the given time has passed.
func (q *eventQueue) at(at int64, run func()) {
	q.seq++
	q.heap = append(q.heap, event{at: max(at, q.now), seq: q.seq, run: run})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// runNext advances the clock to the next event and runs the event. It returns false if the queue is
// empty.
func (q *eventQueue) runNext() bool {
	if len(q.heap) == 0 {
		return false
	}
	next, last := q.heap[0], len(q.heap)-1
	q.heap[0], q.heap[last] = q.heap[last], event{}
	q.heap = q.heap[:last]
	q.siftDown()
	q.now = next.at
	next.run()
	return true
}

// siftDown restores the heap order after the first element was replaced.
func (q *eventQueue) siftDown() {
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
