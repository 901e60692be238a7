package logic

import "slices"

// keyQueue holds the requests of one key of ordered classes in the order of their arrival (rule 5).
type keyQueue struct {
	key         string
	requests    []*request // the first is the one whose turn it is
	pausedUntil int64      // until then an earlier attempt may still run
}

// remove takes a request out of the queue.
func (k *keyQueue) remove(q *request) {
	k.requests = slices.DeleteFunc(k.requests, func(x *request) bool { return x == q })
}

// startInOrder puts a request last in its key's queue. It starts at once if it is its turn, and is
// shed if its turn would come too late.
func (b *Balancer) startInOrder(now int64, h Host, q *request) {
	k := b.enqueue(q)
	b.startNext(now, h, k)
	if len(q.attempts) > 0 || q.done {
		return
	}
	mean := b.classes[q.Class].latency.mean
	left := float64(b.deadline(q)-now) - minLatenciesLeft*mean
	if float64(len(k.requests)-1)*mean > left { // this also bounds the queue
		b.shed(now, h, q, ByOrdering)
		return
	}
	h.SetTimer(max(int64(left), 0), expiryTimer+q.ID)
}

// enqueue puts a request last in its key's queue, which it returns.
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

// startNext starts the request whose turn it is, unless its key is paused. It forgets a key that
// nobody waits for and that is paused no more.
func (b *Balancer) startNext(now int64, h Host, k *keyQueue) {
	for len(k.requests) > 0 && len(k.requests[0].attempts) == 0 && now >= k.pausedUntil {
		b.start(now, h, k.requests[0])
	}
	if len(k.requests) == 0 && now >= k.pausedUntil {
		delete(b.keys, k.key)
	}
}
