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

// maxReclaims limits how many idle resources of other consumers one acquisition reclaims.
const maxReclaims = 32

// allocator is a quota.Allocator of descriptors or of memory. It is safe for concurrent use.
type allocator struct {
	clock core.Clock

	mu         sync.Mutex // guards the fields below
	quotas     *quota.Allocator
	reclaimers map[string]func() bool // release one idle resource of a consumer; called without mu held
	released   chan struct{}          // closed at the next release; nil if nothing waits for it
}

// newAllocator returns an allocator of total without floors.
func newAllocator(clock core.Clock, total int64) (*allocator, error) {
	quotas, err := quota.New(total)
	if err != nil {
		return nil, err
	}
	return &allocator{clock: clock, quotas: quotas, reclaimers: map[string]func() bool{}}, nil
}

// setFloors sets the guaranteed quota of each consumer. The total can't change.
func (a *allocator) setFloors(parts config.Allocation) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if parts.Total != a.quotas.Total() {
		return fmt.Errorf("total of %d differs from the total of %d at startup", parts.Total, a.quotas.Total())
	}
	return a.quotas.SetFloors(parts.Names, parts.Floors)
}

// setReclaimer sets the function that releases one idle resource of a consumer and reports whether
// there was one. A nil function removes the reclaimer.
func (a *allocator) setReclaimer(consumer string, reclaim func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reclaim == nil {
		delete(a.reclaimers, consumer)
		return
	}
	a.reclaimers[consumer] = reclaim
}

// acquire acquires n for a consumer, or nothing, and reports whether it did. If there is no
// capacity, acquire reclaims idle resources of other consumers.
func (a *allocator) acquire(consumer string, n int64) bool {
	for range maxReclaims {
		ok, reclaimers := a.tryAcquire(consumer, n)
		if ok {
			return true
		}
		if !slices.ContainsFunc(reclaimers, func(reclaim func() bool) bool { return reclaim() }) {
			break
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quotas.MarkStarved(a.clock.Now(), consumer)
	return false
}

// tryAcquire acquires n, or returns the reclaimers that may free capacity.
func (a *allocator) tryAcquire(consumer string, n int64) (ok bool, reclaimers []func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if a.quotas.Acquire(now, consumer, n) {
		return true, nil
	}
	for _, b := range a.quotas.Borrowers(now, consumer) {
		// The close of a client's idle connection may race with the client's next request, so
		// clients release connections only beyond their fair share, or if the acquiring consumer is
		// below its floor.
		if reclaim := a.reclaimers[b.Name]; reclaim != nil && (b.OverFairShare || b.Name != config.ClientsConsumer) {
			reclaimers = append(reclaimers, reclaim)
		}
	}
	return false, reclaimers
}

// release returns n of a consumer to the allocator.
func (a *allocator) release(consumer string, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quotas.Release(consumer, n)
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

// isOverFairShare reports whether a consumer has to release its idle resources, since another
// consumer is starved; see quota.Allocator.OverFairShare.
func (a *allocator) isOverFairShare(consumer string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quotas.OverFairShare(a.clock.Now(), consumer)
}

// descriptorQuota is a consumer's quota of file descriptors. It implements the
// DescriptorQuota interfaces of fronts and upstreams.
type descriptorQuota struct {
	allocator *allocator
	consumer  string
}

// Acquire acquires the descriptor of a connection, and reports whether the connection may be
// opened.
func (q descriptorQuota) Acquire() bool { return q.allocator.acquire(q.consumer, 1) }

// Release releases the descriptor of a connection.
func (q descriptorQuota) Release() { q.allocator.release(q.consumer, 1) }

// OverFairShare reports whether idle connections must be closed.
func (q descriptorQuota) OverFairShare() bool { return q.allocator.isOverFairShare(q.consumer) }

// memoryQuota is a service's quota of the process's memory for bodies, in bytes. It implements
// front.Memory and the Memory interface of upstreams.
type memoryQuota struct {
	allocator *allocator
	consumer  string
}

// Acquire implements front.Memory.
func (q memoryQuota) Acquire(n int64) bool { return q.allocator.acquire(q.consumer, n) }

// Release implements front.Memory and the Memory interface of upstreams.
func (q memoryQuota) Release(n int64) { q.allocator.release(q.consumer, n) }

// Reserve implements the Memory interface of upstreams. It waits until it has acquired n bytes, or
// returns the error of a context that has ended.
func (q memoryQuota) Reserve(ctx context.Context, n int64) error {
	for {
		released := q.allocator.nextRelease() // taken before the acquisition, so that no release is missed
		if q.allocator.acquire(q.consumer, n) {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// responseMemory is the platform's memory for response bodies. It implements the Memory interface of
// upstreams.
type responseMemory struct {
	usual, large memoryQuota
}

// quotaFor returns the quota that counts a body of n bytes.
func (m responseMemory) quotaFor(n int64) memoryQuota {
	if n > config.LargeResponse {
		return m.large
	}
	return m.usual
}

// Reserve implements the Memory interface of upstreams.
func (m responseMemory) Reserve(ctx context.Context, n int64) error {
	return m.quotaFor(n).Reserve(ctx, n)
}

// Release implements the Memory interface of upstreams.
func (m responseMemory) Release(n int64) { m.quotaFor(n).Release(n) }
