package route

import "slices"

// Assignments remember which arm of a split a request with an idempotency key went to, for as long
// as that arm's dedup window lasts: the client's retry under the same key must go there, whatever
// the weights are by then. Their number is bounded; Complete says whether one was evicted too
// early, so that a retry that might go astray can be rejected instead.
//
// Times are in microseconds of one clock. Assignments are not safe for concurrent use.
type Assignments struct {
	capacity        int
	byKey           map[uint64]assignment
	queue           []queueEntry // in the order in which they were made; the oldest at head
	head            int
	incompleteUntil int64 // the latest end of an assignment that was evicted early
}

// assignment is the arm of one key.
type assignment struct {
	arm   string
	until int64
}

// queueEntry is one assignment or renewal. It is stale if until is no longer that of its key.
type queueEntry struct {
	key   uint64
	until int64
}

const (
	// maxQueueFactor bounds the queue to so many times the capacity: renewals leave stale entries
	// behind.
	maxQueueFactor = 4
	// minCompaction is how many entries have to be taken from the queue before its rest is copied.
	minCompaction = 64
)

// NewAssignments returns an empty memory of at most capacity keys.
func NewAssignments(capacity int) *Assignments {
	return &Assignments{capacity: capacity, byKey: map[uint64]assignment{}}
}

// Len returns the number of keys held.
func (a *Assignments) Len() int { return len(a.byKey) }

// Lookup returns the arm that a key (see Hash) is assigned to.
func (a *Assignments) Lookup(now int64, key uint64) (arm string, ok bool) {
	found, ok := a.byKey[key]
	if !ok || found.until <= now {
		return "", false
	}
	return found.arm, true
}

// Complete reports whether a key that Lookup does not know is surely within no arm's dedup window.
func (a *Assignments) Complete(now int64) bool { return now >= a.incompleteUntil }

// Assign assigns a key to an arm until then. A key that is assigned already keeps its arm; its end
// is moved if this one is later.
func (a *Assignments) Assign(now int64, key uint64, arm string, until int64) {
	a.expire(now)
	old, ok := a.byKey[key]
	if ok && old.until > now {
		if until <= old.until {
			return
		}
		arm = old.arm
	}
	for len(a.byKey) >= a.capacity && !ok {
		a.evictOldest()
	}
	a.byKey[key] = assignment{arm: arm, until: until}
	a.queue = append(a.queue, queueEntry{key: key, until: until})
	if len(a.queue)-a.head > maxQueueFactor*a.capacity {
		a.evictOldest()
	}
}

// expire removes the oldest assignments that have ended.
func (a *Assignments) expire(now int64) {
	for a.head < len(a.queue) && a.queue[a.head].until <= now {
		a.popOldest()
	}
}

// evictOldest removes the oldest assignment, which has not ended.
func (a *Assignments) evictOldest() {
	for a.head < len(a.queue) {
		oldest := a.queue[a.head]
		if a.popOldest() {
			a.incompleteUntil = max(a.incompleteUntil, oldest.until)
			return
		}
	}
}

// popOldest takes the oldest entry from the queue and removes its assignment; it returns false if
// the entry is stale.
func (a *Assignments) popOldest() bool {
	oldest := a.queue[a.head]
	a.head++
	if a.head > len(a.queue)/2 && a.head > minCompaction {
		a.queue = slices.Clone(a.queue[a.head:])
		a.head = 0
	}
	if a.byKey[oldest.key].until != oldest.until {
		return false
	}
	delete(a.byKey, oldest.key)
	return true
}
