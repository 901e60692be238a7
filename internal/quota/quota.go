// Package quota divides a bounded good of the process, descriptors or memory, among parties: clients and pools. It is
// pure: no I/O, no clock.
//
// Each party has a floor that it can have at any time. What the floors leave is lent to whoever asks. A party that is
// turned away counts as in want for a while, until it has been given something; as long, those that hold more than
// their fair part of what is lent get no more, and Debtor names one that is to give back. The sum of what is held never passes the total.
// Times are in microseconds of one clock.
package quota

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// StarvedFor is how long a party that was turned away counts as in want, in microseconds. It asks again with its next
// request; one that does not has no use for what others hold.
const StarvedFor = 1_000_000

// Allocator keeps the books. It is not safe for concurrent use.
type Allocator struct {
	total   int64
	parties map[string]*party
	order   []*party // as they were entered: every walk has this order
	held    int64
}

type party struct {
	name  string
	floor int64
	held  int64
	until int64 // counts as in want until then
}

// lent is what a party holds beyond its floor.
func (p *party) lent() int64 { return max(0, p.held-p.floor) }

// New returns a ledger over a total in whatever unit, with no parties.
func New(total int64) (*Allocator, error) {
	if total <= 0 {
		return nil, fmt.Errorf("total: %d, more than 0 expected", total)
	}
	return &Allocator{total: total, parties: map[string]*party{}}, nil
}

// ErrFloors says that the floors together pass the total.
var ErrFloors = errors.New("the floors pass the total")

// SetFloors gives all floors anew, in order. What parties hold they keep, those too that have no floor any more, until they
// give it back. Floors that together pass the total are an error (ErrFloors) and change nothing.
func (l *Allocator) SetFloors(names []string, floors []int64) error {
	sum := int64(0)
	for i, f := range floors {
		if f < 0 {
			return fmt.Errorf("floor of %s: %d, 0 or more expected", names[i], f)
		}
		sum += f
	}
	if sum > l.total {
		return fmt.Errorf("%w: %d, %d expected at most", ErrFloors, sum, l.total)
	}
	for _, p := range l.order {
		p.floor = 0
	}
	for i, n := range names {
		p := l.parties[n]
		if p == nil {
			p = &party{name: n}
			l.parties[n] = p
			l.order = append(l.order, p)
		}
		p.floor = floors[i]
	}
	l.tidy(names)
	return nil
}

// tidy forgets parties that are not named and hold nothing.
func (l *Allocator) tidy(names []string) {
	named := map[string]bool{}
	for _, n := range names {
		named[n] = true
	}
	kept := l.order[:0]
	for _, p := range l.order {
		if named[p.name] || p.held > 0 {
			kept = append(kept, p)
		} else {
			delete(l.parties, p.name)
		}
	}
	clear(l.order[len(kept):])
	l.order = kept
}

// Total is what there is.
func (l *Allocator) Total() int64 { return l.total }

// InUse is what all parties hold together.
func (l *Allocator) InUse() int64 { return l.held }

// InUseBy is what a party holds.
func (l *Allocator) InUseBy(name string) int64 {
	if p := l.parties[name]; p != nil {
		return p.held
	}
	return 0
}

// reserved is what no one can be lent: the floors, and what is held above them.
func (l *Allocator) reserved() (n int64) {
	for _, p := range l.order {
		n += max(p.floor, p.held)
	}
	return n
}

// Acquire gives a party n more, or nothing and false.
func (l *Allocator) Acquire(now int64, name string, n int64) bool {
	p := l.parties[name]
	if p == nil || n <= 0 || n > l.total {
		return false
	}
	if !l.may(now, p, n) {
		return false
	}
	p.held += n
	l.held += n
	p.until = 0
	return true
}

// MarkStarved says that a party goes without what Take did not give it, whatever others could give back: it is in want.
func (l *Allocator) MarkStarved(now int64, name string) {
	if p := l.parties[name]; p != nil {
		p.until = now + StarvedFor
	}
}

// may tells whether a party can have n more.
func (l *Allocator) may(now int64, p *party, n int64) bool {
	if l.held+n > l.total {
		return false
	}
	if p.held+n <= p.floor { // held back for it, unless the floors have just been raised over what others hold
		return true
	}
	more := p.held + n - max(p.held, p.floor) // of what is lent
	if l.reserved()+more > l.total {
		return false
	}
	return !l.others(now, p) || p.lent()+more <= l.fair(now, p)
}

// wants tells whether a party is in want.
func (l *Allocator) wants(now int64, p *party) bool {
	return now < p.until && (p.held < p.floor || p.lent() < l.fair(now, p))
}

// others tells whether any other party is in want.
func (l *Allocator) others(now int64, p *party) bool {
	for _, q := range l.order {
		if q != p && l.wants(now, q) {
			return true
		}
	}
	return false
}

// fair is a party's part of all that can be lent, shared evenly among those that have some or want some.
func (l *Allocator) fair(now int64, p *party) int64 {
	left, n := l.total, int64(0)
	for _, q := range l.order {
		left -= q.floor
		if q.lent() > 0 || now < q.until || q == p {
			n++
		}
	}
	return max(0, left) / max(1, n)
}

// Excess is what a party holds beyond its floor.
type Excess struct {
	Name      string
	Overdrawn bool // beyond its fair part too, or while the one in want has not its floor
}

// Excesses are the others that hold something beyond their floors where name could have more of it, those first that
// hold most.
// What they keep idle is to be given back; what is in use only where they are Over, and by keeping nothing new.
func (l *Allocator) Excesses(now int64, name string) (debts []Excess) {
	p := l.parties[name]
	if p == nil || p.held >= p.floor && l.others(now, p) && p.lent() >= l.fair(now, p) {
		return nil // it would get nothing of what others give back
	}
	var who []*party
	for _, q := range l.order {
		if q != p && q.lent() > 0 {
			who = append(who, q)
		}
	}
	slices.SortStableFunc(who, func(a, b *party) int { return cmp.Compare(b.lent(), a.lent()) })
	for _, q := range who {
		debts = append(debts, Excess{q.name, q.lent() > l.fair(now, q) || p.held < p.floor})
	}
	return debts
}

// Overdrawn tells whether a party holds more than its fair part while another is in want: what it holds idle is to be
// given back.
func (l *Allocator) Overdrawn(now int64, name string) bool {
	p := l.parties[name]
	return p != nil && p.lent() > 0 && l.others(now, p) && (p.lent() > l.fair(now, p) || l.underFloor(now, p))
}

// underFloor tells whether another party is in want of its floor.
func (l *Allocator) underFloor(now int64, p *party) bool {
	for _, q := range l.order {
		if q != p && now < q.until && q.held < q.floor {
			return true
		}
	}
	return false
}

// Release takes n back from a party; more than it holds counts as all.
func (l *Allocator) Release(name string, n int64) {
	p := l.parties[name]
	if p == nil || n <= 0 {
		return
	}
	n = min(n, p.held)
	p.held -= n
	l.held -= n
}
