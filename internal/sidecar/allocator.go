package sidecar

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/quota"
)

// maxShedRounds is how often an acquisition has others give back one of what they keep idle, at
// most.
const maxShedRounds = 32

// allocator is a quota.Allocator of descriptors or of memory that many goroutines use.
type allocator struct {
	clock core.Clock

	mu       sync.Mutex // guards what follows
	quotas   *quota.Allocator
	shedders map[string]func() bool // has a party give back one of what it keeps idle; called without the lock
	released chan struct{}          // closed at the next release; nil: nobody waits for one
}

// newAllocator returns an allocator without floors.
func newAllocator(clock core.Clock, total int64) (*allocator, error) {
	quotas, err := quota.New(total)
	if err != nil {
		return nil, err
	}
	return &allocator{clock: clock, quotas: quotas, shedders: map[string]func() bool{}}, nil
}

// setFloors sets what each party can have at any time. The total can't change.
func (a *allocator) setFloors(parts config.Parts) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if parts.Total != a.quotas.Total() {
		return fmt.Errorf("%d in all, %d since the start", parts.Total, a.quotas.Total())
	}
	return a.quotas.SetFloors(parts.Names, parts.Floors)
}

// setShedder sets what has a party give back one of what it keeps idle; shed reports whether it
// did. nil: nothing.
func (a *allocator) setShedder(party string, shed func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if shed == nil {
		delete(a.shedders, party)
		return
	}
	a.shedders[party] = shed
}

// acquire acquires n for a party, or nothing, and reports whether it did. Where there is no
// capacity, others give back what they keep idle.
func (a *allocator) acquire(party string, n int64) bool {
	for range maxShedRounds {
		ok, shedders := a.tryAcquire(party, n)
		if ok {
			return true
		}
		if !slices.ContainsFunc(shedders, func(shed func() bool) bool { return shed() }) {
			break
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quotas.MarkStarved(a.clock.Now(), party)
	return false
}

// tryAcquire acquires n, or returns what may free capacity.
func (a *allocator) tryAcquire(party string, n int64) (ok bool, shedders []func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.quotas.Acquire(now, party, n) {
		return true, nil
	}
	for _, excess := range a.quotas.Borrowers(now, party) {
		// A client's idle connection is no mere cache: its close may cross a request.
		if shed := a.shedders[excess.Name]; shed != nil && (excess.OverFairShare || excess.Name != config.Clients) {
			shedders = append(shedders, shed)
		}
	}
	return false, shedders
}

// release gives n back.
func (a *allocator) release(party string, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quotas.Release(party, n)
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// nextRelease returns a channel that is closed at the next release.
func (a *allocator) nextRelease() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released
}

// isOverdrawn reports whether a party has more than it may keep.
func (a *allocator) isOverdrawn(party string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quotas.OverFairShare(a.clock.Now(), party)
}

// descriptorQuota is a party's quota of descriptors. It implements the Quota of fronts and
// upstreams.
type descriptorQuota struct {
	allocator *allocator
	party     string
}

// Acquire counts a connection in, and reports whether it may be opened.
func (q descriptorQuota) Acquire() bool { return q.allocator.acquire(q.party, 1) }

// Release counts a connection out.
func (q descriptorQuota) Release() { q.allocator.release(q.party, 1) }

// OverFairShare reports whether idle connections have to be closed.
func (q descriptorQuota) OverFairShare() bool { return q.allocator.isOverdrawn(q.party) }

// memoryQuota is a service's quota of the process's memory for bodies, in bytes.
type memoryQuota struct {
	allocator *allocator
	party     string
}

// Acquire implements front.Memory.
func (q memoryQuota) Acquire(n int64) bool { return q.allocator.acquire(q.party, n) }

// Release implements front.Memory and the upstream's Memory.
func (q memoryQuota) Release(n int64) { q.allocator.release(q.party, n) }

// Reserve implements the upstream's Memory: it waits until it has n bytes, or returns the context's
// error.
func (q memoryQuota) Reserve(ctx context.Context, n int64) error {
	for {
		released := q.allocator.nextRelease() // before the attempt, so that no release is missed
		if q.allocator.acquire(q.party, n) {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// bodySlots is memory for a number of bodies, of any size. It implements the upstream's Memory.
type bodySlots chan struct{}

// Reserve waits until it has a slot, or returns the context's error.
func (s bodySlots) Reserve(ctx context.Context, _ int64) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release gives a slot back.
func (s bodySlots) Release(int64) { <-s }
