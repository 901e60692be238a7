// Package quota divides a bounded resource of the process, file descriptors or memory, among
// consumers: the clients and the pools. It is pure: no I/O, no clock.
//
// Each consumer has a floor that it can have at any time. What the floors leave is borrowed by
// whoever asks. A consumer that was denied counts as starved for a while, until it has been given
// something; meanwhile those that have borrowed more than their fair share get no more, and
// Excesses names those that are to give back. The sum of what is in use never exceeds the total.
// Times are in microseconds of one clock.
package quota

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// StarvationPeriod is how long a consumer that was denied counts as starved, in microseconds. It asks
// again with its next request; one that does not has no use for what others have.
const StarvationPeriod = 1_000_000

// Allocator counts what each consumer has in use. It is not safe for concurrent use.
type Allocator struct {
	total     int64
	inUse     int64
	consumers map[string]*consumer
	order     []*consumer // in which they were added: every walk has this order
}

// consumer is one consumer's part.
type consumer struct {
	name         string
	floor        int64
	inUse        int64
	starvedUntil int64
}

// borrowed returns what a consumer has in use beyond its floor.
func (c *consumer) borrowed() int64 { return max(0, c.inUse-c.floor) }

// New returns an Allocator of a total in whatever unit, with no consumers.
func New(total int64) (*Allocator, error) {
	if total <= 0 {
		return nil, fmt.Errorf("total: %d, more than 0 expected", total)
	}
	return &Allocator{total: total, consumers: map[string]*consumer{}}, nil
}

// ErrFloors says that the floors together exceed the total.
var ErrFloors = errors.New("the floors pass the total")

// SetFloors replaces all floors, in order. What consumers have in use they keep until they release
// it, those too that have no floor any more. Floors that together exceed the total are an error
// (ErrFloors) and change nothing.
func (a *Allocator) SetFloors(names []string, floors []int64) error {
	if err := a.checkFloors(names, floors); err != nil {
		return err
	}
	for _, c := range a.order {
		c.floor = 0
	}
	for i, name := range names {
		c := a.consumers[name]
		if c == nil {
			c = &consumer{name: name}
			a.consumers[name] = c
			a.order = append(a.order, c)
		}
		c.floor = floors[i]
	}
	a.removeUnused(names)
	return nil
}

// checkFloors reports a negative floor, or a sum beyond the total.
func (a *Allocator) checkFloors(names []string, floors []int64) error {
	sum := int64(0)
	for i, floor := range floors {
		if floor < 0 {
			return fmt.Errorf("floor of %s: %d, 0 or more expected", names[i], floor)
		}
		sum += floor
	}
	if sum > a.total {
		return fmt.Errorf("%w: %d, %d expected at most", ErrFloors, sum, a.total)
	}
	return nil
}

// removeUnused removes consumers that are not named and have nothing in use.
func (a *Allocator) removeUnused(names []string) {
	named := map[string]bool{}
	for _, name := range names {
		named[name] = true
	}
	kept := a.order[:0]
	for _, c := range a.order {
		if named[c.name] || c.inUse > 0 {
			kept = append(kept, c)
		} else {
			delete(a.consumers, c.name)
		}
	}
	clear(a.order[len(kept):])
	a.order = kept
}

// Total returns the total.
func (a *Allocator) Total() int64 { return a.total }

// InUse returns what all consumers have in use together.
func (a *Allocator) InUse() int64 { return a.inUse }

// InUseBy returns what one consumer has in use.
func (a *Allocator) InUseBy(name string) int64 {
	if c := a.consumers[name]; c != nil {
		return c.inUse
	}
	return 0
}

// Acquire gives a consumer n more, or nothing, and reports which.
func (a *Allocator) Acquire(now int64, name string, n int64) bool {
	c := a.consumers[name]
	if c == nil || n <= 0 || n > a.total {
		return false
	}
	if !a.allows(now, c, n) {
		return false
	}
	c.inUse += n
	a.inUse += n
	c.starvedUntil = 0
	return true
}

// Release takes n back from a consumer; more than it has in use counts as all.
func (a *Allocator) Release(name string, n int64) {
	c := a.consumers[name]
	if c == nil || n <= 0 {
		return
	}
	n = min(n, c.inUse)
	c.inUse -= n
	a.inUse -= n
}

// MarkStarved says that a consumer goes without what Acquire denied it, whatever others could give
// back.
func (a *Allocator) MarkStarved(now int64, name string) {
	if c := a.consumers[name]; c != nil {
		c.starvedUntil = now + StarvationPeriod
	}
}

// Borrower is what a consumer has in use beyond its floor.
type Borrower struct {
	Name          string
	OverFairShare bool // beyond its fair share too, or while the starved one lacks its floor
}

// Borrowers returns the others that have borrowed something, where name could have more of it, those
// first that have borrowed most. What they keep idle is to be given back; what is in use only where
// they are Overdrawn, and by keeping nothing new.
func (a *Allocator) Borrowers(now int64, name string) []Borrower {
	c := a.consumers[name]
	if c == nil || c.inUse >= c.floor && a.othersStarve(now, c) && c.borrowed() >= a.fairShare(now, c) {
		return nil // it would get nothing of what others give back
	}
	var borrowers []*consumer
	for _, other := range a.order {
		if other != c && other.borrowed() > 0 {
			borrowers = append(borrowers, other)
		}
	}
	slices.SortStableFunc(borrowers, func(x, y *consumer) int { return cmp.Compare(y.borrowed(), x.borrowed()) })
	var excesses []Borrower
	for _, b := range borrowers {
		overdrawn := b.borrowed() > a.fairShare(now, b) || c.inUse < c.floor
		excesses = append(excesses, Borrower{Name: b.name, OverFairShare: overdrawn})
	}
	return excesses
}

// OverFairShare reports whether a consumer has borrowed more than its fair share while another is
// starved: what it keeps idle is to be given back.
func (a *Allocator) OverFairShare(now int64, name string) bool {
	c := a.consumers[name]
	return c != nil && c.borrowed() > 0 && a.othersStarve(now, c) &&
		(c.borrowed() > a.fairShare(now, c) || a.othersLackFloor(now, c))
}
