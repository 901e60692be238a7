package fleetsim

// event is something that happens at a time; events of one time happen in the order in which they were asked for.
type event struct {
	at  int64 // microseconds
	seq uint64
	do  func()
}

// queue is a binary heap of events. container/heap boxes each event it is handed, which was a third of a day's time.
type queue struct {
	heap []event
	seq  uint64
	now  int64
}

func (q *queue) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// after has do happen after a delay.
func (q *queue) after(delay int64, do func()) { q.at(q.now+max(delay, 0), do) }

// at has do happen at a time that is not over.
func (q *queue) at(at int64, do func()) {
	q.seq++
	q.heap = append(q.heap, event{max(at, q.now), q.seq, do})
	for i := len(q.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.less(i, up) {
			break
		}
		q.heap[i], q.heap[up] = q.heap[up], q.heap[i]
		i = up
	}
}

// next lets the next event happen; it is false if there is none.
func (q *queue) next() bool {
	if len(q.heap) == 0 {
		return false
	}
	e, last := q.heap[0], len(q.heap)-1
	q.heap[0], q.heap[last] = q.heap[last], event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if q.less(c, least) {
				least = c
			}
		}
		if least == i {
			break
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
	q.now = e.at
	e.do()
	return true
}
