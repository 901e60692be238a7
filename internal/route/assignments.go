package route

import "slices"

// Assignments records to which arm of a split a request with an idempotency key was sent. A record
// lasts as long as the dedup window of that arm, because a client's retry with the same key must go
// to the same arm even if the weights have changed. The number of records is bounded. Complete
// reports whether a record may have been evicted too early, so that the caller can reject a retry
// that might go to the wrong arm.
//
// Times are in microseconds of one clock. Assignments is not safe for concurrent use.
type Assignments struct {
	capacity        int
	byKey           map[uint64]assignment
	queue           []queueEntry // in order of assignment; the oldest is at index head
	head            int
	incompleteUntil int64 // latest expiry of the assignments that were evicted early
}

// assignment is the arm of one key and the time at which the assignment expires.
type assignment struct {
	arm       string
	expiresAt int64
}

// queueEntry is one assignment or renewal. It is stale if its key has another expiry by now.
type queueEntry struct {
	key       uint64
	expiresAt int64
}

const (
	// maxQueueFactor bounds the queue length to a multiple of the capacity. The bound is needed
	// because renewals leave stale entries in the queue.
	maxQueueFactor = 4
	// compactionThreshold is the number of removed entries above which the queue may be copied to
	// free them.
	compactionThreshold = 64
)

// NewAssignments returns empty Assignments for at most capacity keys.
func NewAssignments(capacity int) *Assignments {
	return &Assignments{capacity: capacity, byKey: map[uint64]assignment{}}
}

// Len returns the number of recorded keys.
func (a *Assignments) Len() int { return len(a.byKey) }

// Lookup returns the arm to which a key is assigned. The key is computed by [Hash].
func (a *Assignments) Lookup(now int64, key uint64) (arm string, ok bool) {
	found, ok := a.byKey[key]
	if !ok || found.expiresAt <= now {
		return "", false
	}
	return found.arm, true
}

// Complete reports whether a key unknown to Lookup is certainly not within the dedup window of any
// arm.
func (a *Assignments) Complete(now int64) bool { return now >= a.incompleteUntil }

// Assign assigns a key to an arm until expiresAt. A key that is already assigned keeps its arm, and
// its expiry changes only to a later time.
func (a *Assignments) Assign(now int64, key uint64, arm string, expiresAt int64) {
	a.expire(now)
	old, ok := a.byKey[key]
	if ok && old.expiresAt > now {
		if expiresAt <= old.expiresAt {
			return
		}
		arm = old.arm
	}
	for len(a.byKey) >= a.capacity && !ok {
		a.evictOldest()
	}
	a.byKey[key] = assignment{arm: arm, expiresAt: expiresAt}
	a.queue = append(a.queue, queueEntry{key: key, expiresAt: expiresAt})
	if len(a.queue)-a.head > maxQueueFactor*a.capacity {
		a.evictOldest()
	}
}

// expire removes expired entries from the head of the queue, together with their assignments.
func (a *Assignments) expire(now int64) {
	for a.head < len(a.queue) && a.queue[a.head].expiresAt <= now {
		a.popOldest()
	}
}

// evictOldest removes the oldest assignment, which has not expired.
func (a *Assignments) evictOldest() {
	for a.head < len(a.queue) {
		oldest := a.queue[a.head]
		if a.popOldest() {
			a.incompleteUntil = max(a.incompleteUntil, oldest.expiresAt)
			return
		}
	}
}

// popOldest removes the oldest entry from the queue together with its assignment. It returns false
// if the entry is stale, in which case it removes only the entry.
func (a *Assignments) popOldest() bool {
	oldest := a.queue[a.head]
	a.head++
	if a.head > len(a.queue)/2 && a.head > compactionThreshold {
		a.queue = slices.Clone(a.queue[a.head:])
		a.head = 0
	}
	if a.byKey[oldest.key].expiresAt != oldest.expiresAt {
		return false
	}
	delete(a.byKey, oldest.key)
	return true
}
