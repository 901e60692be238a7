package route

// Assignments remembers which side of a split a keyed request went to, for as long as that side recalls its duplicates: a
// retry of the client's under the same key must go there, whatever the weights say by then. It is bounded; what had
// to be forgotten too early is owned up to, so that a retry that might go astray can be refused instead.
//
// Times are in microseconds of one clock. A Pins is not safe for concurrent use.
type Assignments struct {
	most  int
	sides map[uint64]pin
	queue []queued // in the order in which pins were made; the first at head
	head  int
	lost  int64 // until then something that was forgotten might still be recalled
}

type pin struct {
	side  string
	until int64
}

type queued struct {
	key   uint64
	until int64
}

// NewAssignments returns a memory of at most most keys.
func NewAssignments(most int) *Assignments { return &Assignments{most: most, sides: map[uint64]pin{}} }

// Len is the number of keys held.
func (p *Assignments) Len() int { return len(p.sides) }

// Lookup returns the side that key (see Hash) is pinned to.
func (p *Assignments) Lookup(now int64, key uint64) (side string, ok bool) {
	found, ok := p.sides[key]
	if !ok || found.until <= now {
		return "", false
	}
	return found.side, true
}

// Complete tells whether a key that Get does not know has surely gone nowhere that still recalls it.
func (p *Assignments) Complete(now int64) bool { return now >= p.lost }

// Assign pins a key to a side until then. A pin that stands keeps its side; its time becomes longer if need be.
func (p *Assignments) Assign(now int64, key uint64, side string, until int64) {
	p.expire(now)
	old, ok := p.sides[key]
	if ok && old.until > now {
		side, until = old.side, max(until, old.until)
		if until == old.until {
			return
		}
	}
	for len(p.sides) >= p.most && !ok {
		p.drop()
	}
	p.sides[key] = pin{side, until}
	p.queue = append(p.queue, queued{key, until})
	if len(p.queue)-p.head > 4*p.most { // renewals have left entries behind: forget the oldest
		p.drop()
	}
}

// expire forgets the oldest pins whose time is over.
func (p *Assignments) expire(now int64) {
	for p.head < len(p.queue) && p.queue[p.head].until <= now {
		p.pop()
	}
}

// drop forgets the oldest pin, whose time is not over.
func (p *Assignments) drop() {
	for p.head < len(p.queue) {
		if q := p.queue[p.head]; p.pop() {
			p.lost = max(p.lost, q.until)
			return
		}
	}
}

// pop takes the first entry of the queue; it is false if a later one has taken its place.
func (p *Assignments) pop() bool {
	q := p.queue[p.head]
	p.head++
	if p.head > len(p.queue)/2 && p.head > 64 {
		p.queue = append([]queued(nil), p.queue[p.head:]...)
		p.head = 0
	}
	if p.sides[q.key].until != q.until {
		return false
	}
	delete(p.sides, q.key)
	return true
}
