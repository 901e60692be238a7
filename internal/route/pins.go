package route

// Pins remembers which side of a split a keyed request went to, for as long as that side recalls its duplicates: a
// retry of the client's under the same key must go there, whatever the weights say by then. It is bounded; what had
// to be forgotten too early is owned up to, so that a retry that might go astray can be refused instead.
//
// Times are in microseconds of one clock. A Pins is not safe for concurrent use.
type Pins struct {
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

// NewPins returns a memory of at most most keys.
func NewPins(most int) *Pins { return &Pins{most: most, sides: map[uint64]pin{}} }

// Len is the number of keys held.
func (p *Pins) Len() int { return len(p.sides) }

// Get returns the side that key (see Hash) is pinned to.
func (p *Pins) Get(now int64, key uint64) (side string, ok bool) {
	found, ok := p.sides[key]
	if !ok || found.until <= now {
		return "", false
	}
	return found.side, true
}

// Sure tells whether a key that Get does not know has surely gone nowhere that still recalls it.
func (p *Pins) Sure(now int64) bool { return now >= p.lost }

// Put pins a key to a side until then. A pin that stands keeps its side; its time becomes longer if need be.
func (p *Pins) Put(now int64, key uint64, side string, until int64) {
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
func (p *Pins) expire(now int64) {
	for p.head < len(p.queue) && p.queue[p.head].until <= now {
		p.pop()
	}
}

// drop forgets the oldest pin, whose time is not over.
func (p *Pins) drop() {
	for p.head < len(p.queue) {
		if q := p.queue[p.head]; p.pop() {
			p.lost = max(p.lost, q.until)
			return
		}
	}
}

// pop takes the first entry of the queue; it is false if a later one has taken its place.
func (p *Pins) pop() bool {
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
