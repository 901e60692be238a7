// Package quota divides a bounded resource of the process, such as file descriptors or memory,
// among consumers: the clients and the pools. The package is pure: it does no I/O and reads no
// clock.
//
// Each consumer has a floor, which is guaranteed to the consumer at any time. The capacity beyond
// all floors can be borrowed by any consumer. A consumer that was denied capacity counts as starved
// for [StarvationPeriod] or until it acquires something. While a consumer is starved, consumers
// that have borrowed more than their fair share get no more, and [Allocator.Borrowers] returns the
// consumers that have to release capacity. The total in use never exceeds the total capacity. All
// times are in microseconds of one clock.
package quota

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// StarvationPeriod is the time for which a consumer that was denied capacity counts as starved, in
// microseconds. A consumer that still needs capacity tries to acquire it again with its next
// request. A consumer that does not try again has no use for the capacity of others.
const StarvationPeriod = 1_000_000

// Allocator tracks the capacity that each consumer has in use. It is not safe for concurrent use.
type Allocator struct {
	total     int64
	inUse     int64
	consumers map[string]*consumer
	order     []*consumer // consumers in order of addition, for deterministic iteration
}

// consumer is the state of one consumer.
type consumer struct {
	name         string
	floor        int64
	inUse        int64
	starvedUntil int64 // end of starvation, in microseconds; 0 means not starved
}

// borrowed returns the capacity that a consumer has in use beyond its floor.
func (c *consumer) borrowed() int64 { return max(0, c.inUse-c.floor) }

// New returns an Allocator without consumers for a total capacity in an arbitrary unit.
func New(total int64) (*Allocator, error) {
	if total <= 0 {
		return nil, fmt.Errorf("invalid total %d: not positive", total)
	}
	return &Allocator{total: total, consumers: map[string]*consumer{}}, nil
}

// ErrFloors is returned if the sum of the floors exceeds the total.
var ErrFloors = errors.New("sum of the floors exceeds the total")

// SetFloors replaces the floors of all consumers; floors[i] is the floor of names[i]. Consumers
// keep the capacity that they have in use until they release it, including consumers that no longer
// have a floor. If the sum of the floors exceeds the total, SetFloors returns ErrFloors and changes
// nothing.
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

// checkFloors returns an error if a floor is negative or the sum of the floors exceeds the total.
func (a *Allocator) checkFloors(names []string, floors []int64) error {
	sum := int64(0)
	for i, floor := range floors {
		if floor < 0 {
			return fmt.Errorf("invalid floor %d of consumer %q: negative", floor, names[i])
		}
		sum += floor
	}
	if sum > a.total {
		return fmt.Errorf("%w: %d exceeds %d", ErrFloors, sum, a.total)
	}
	return nil
}

// removeUnused removes the consumers that are not in names and have nothing in use.
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

// Total returns the total capacity.
func (a *Allocator) Total() int64 { return a.total }

// InUse returns the capacity that all consumers have in use together.
func (a *Allocator) InUse() int64 { return a.inUse }

// InUseBy returns the capacity that one consumer has in use.
func (a *Allocator) InUseBy(name string) int64 {
	if c := a.consumers[name]; c != nil {
		return c.inUse
	}
	return 0
}

// Acquire acquires n units for a consumer, or nothing. It reports whether it acquired them.
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

// Release releases n units of a consumer, or all that the consumer has in use if that is less.
func (a *Allocator) Release(name string, n int64) {
	c := a.consumers[name]
	if c == nil || n <= 0 {
		return
	}
	n = min(n, c.inUse)
	c.inUse -= n
	a.inUse -= n
}

// MarkStarved marks a consumer as starved. The caller calls it after Acquire has denied capacity
// that other consumers could not free.
func (a *Allocator) MarkStarved(now int64, name string) {
	if c := a.consumers[name]; c != nil {
		c.starvedUntil = now + StarvationPeriod
	}
}

// Borrower is a consumer that has more than its floor in use.
type Borrower struct {
	Name          string
	OverFairShare bool // the borrower exceeds its fair share, or the consumer in need is below its floor
}

// Borrowers returns the other consumers that have borrowed capacity, largest amount first, or nil
// if the named consumer would get nothing of what they release. Borrowers are expected to release
// resources that they keep idle. A borrower with OverFairShare set is also expected to release
// resources in use, by not keeping them once they become idle.
func (a *Allocator) Borrowers(now int64, name string) []Borrower {
	c := a.consumers[name]
	if c == nil || c.inUse >= c.floor && a.othersStarved(now, c) && c.borrowed() >= a.fairShare(now, c) {
		return nil // c would get nothing of what others release
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

// OverFairShare reports whether a consumer has borrowed capacity while another consumer is starved,
// and either has more than its fair share or another consumer is below its floor. Such a consumer
// has to release the resources that it keeps idle.
func (a *Allocator) OverFairShare(now int64, name string) bool {
	c := a.consumers[name]
	return c != nil && c.borrowed() > 0 && a.othersStarved(now, c) &&
		(c.borrowed() > a.fairShare(now, c) || a.othersLackFloor(now, c))
}
