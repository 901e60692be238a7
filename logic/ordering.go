package logic

import "slices"

// keyQueue holds the requests of ordered classes that have the same key, in the order of their
// arrival (rule 5).
type keyQueue struct {
	key         string
	requests    []*request // the first one runs, or starts next
	pausedUntil int64      // until then an earlier attempt may still run
}

// remove removes a request from the queue.
func (k *keyQueue) remove(q *request) {
	k.requests = slices.DeleteFunc(k.requests, func(x *request) bool { return x == q })
}

// startInOrder appends a request to the queue of its key. It starts the request at once if the
// request is first and the key is not paused, and sheds the request if it would start too late.
func (b *Balancer) startInOrder(now int64, h Host, q *request) {
	k := b.enqueue(q)
	b.startNext(now, h, k)
	if len(q.attempts) > 0 || q.done {
		return
	}
	mean := b.classes[q.Class].latency.mean
	left := float64(b.deadline(q)-now) - minLatenciesLeft*mean
	if float64(len(k.requests)-1)*mean > left { // this also bounds the length of the queue
		b.shed(now, h, q, ByOrdering)
		return
	}
	h.SetTimer(max(int64(left), 0), expiryTimer+q.ID)
}

// enqueue appends a request to the queue of its key and returns the queue.
func (b *Balancer) enqueue(q *request) *keyQueue {
	k := b.keys[q.Key]
	if k == nil {
		k = &keyQueue{key: q.Key}
		b.keys[q.Key] = k
	}
	k.requests = append(k.requests, q)
	q.queue = k
	return k
}

// startNext starts the first request of the queue unless the key is paused. It deletes a queue that
// is empty and not paused.
func (b *Balancer) startNext(now int64, h Host, k *keyQueue) {
	for len(k.requests) > 0 && len(k.requests[0].attempts) == 0 && now >= k.pausedUntil {
		b.start(now, h, k.requests[0])
	}
	if len(k.requests) == 0 && now >= k.pausedUntil {
		delete(b.keys, k.key)
	}
}
