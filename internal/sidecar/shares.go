package sidecar

import (
	"context"
	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/quota"
	"fmt"
	"slices"
	"sync"
)

// shares is a ledger of descriptors or memory that many goroutines use.
type shares struct {
	clock core.Clock

	mu     sync.Mutex
	ledger *quota.Allocator
	shed   map[string]func() bool // has a party give back one of what it keeps idle; called with no lock held
	given  chan struct{}          // closed, and made anew, when something is given back that somebody waits for
}

func newShares(clock core.Clock, total int64) (*shares, error) {
	ledger, err := quota.New(total)
	if err != nil {
		return nil, err
	}
	return &shares{clock: clock, ledger: ledger, shed: map[string]func() bool{}}, nil
}

// divide sets the floors anew.
func (s *shares) divide(parts config.Parts) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if parts.Total != s.ledger.Total() {
		return fmt.Errorf("%d in all, %d since the start", parts.Total, s.ledger.Total())
	}
	return s.ledger.SetFloors(parts.Names, parts.Floors)
}

// held is what all parties hold, and what one does.
func (s *shares) held(party string) (all, one int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.InUse(), s.ledger.InUseBy(party)
}

// shedBy names what has a party give back; nil: nothing.
func (s *shares) shedBy(party string, f func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shed[party] = f; f == nil {
		delete(s.shed, party)
	}
}

const recallTries = 32 // at having others give back one

// take takes n for a party. Where there is no room, what others keep idle makes some.
func (s *shares) take(party string, n int64) bool {
	for range recallTries {
		ok, idle := s.tryTake(party, n)
		if ok {
			return true
		}
		if !slices.ContainsFunc(idle, func(shed func() bool) bool { return shed() }) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.MarkStarved(s.clock.Now(), party)
	return false
}

// tryTake takes n, or returns what may make room.
func (s *shares) tryTake(party string, n int64) (ok bool, idle []func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.ledger.Acquire(now, party, n) {
		return true, nil
	}
	for _, d := range s.ledger.Excesses(now, party) {
		// A client's idle connection is no mere cache: its close may cross a request.
		if shed := s.shed[d.Name]; shed != nil && (d.Overdrawn || d.Name != config.Clients) {
			idle = append(idle, shed)
		}
	}
	return false, idle
}

func (s *shares) give(party string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Release(party, n)
	if s.given != nil {
		close(s.given)
		s.given = nil
	}
}

// wait is a channel that is closed when something has been given back.
func (s *shares) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.given == nil {
		s.given = make(chan struct{})
	}
	return s.given
}

// descriptors is a party's part of the descriptors. It is the Quota of fronts and upstreams.
type descriptors struct {
	of    *shares
	party string
}

// Acquire counts a connection in.
func (d descriptors) Acquire() bool { return d.of.take(d.party, 1) }

// Release counts a connection out.
func (d descriptors) Release() { d.of.give(d.party, 1) }

// Overdrawn tells that kept connections are to be given back.
func (d descriptors) Overdrawn() bool {
	d.of.mu.Lock()
	defer d.of.mu.Unlock()
	return d.of.ledger.Overdrawn(d.of.clock.Now(), d.party)
}

// memory is a service's part of the process's memory for bodies.
type memory struct {
	of    *shares
	party string
}

// Acquire implements front.Memory.
func (m memory) Acquire(n int64) bool { return m.of.take(m.party, n) }

// Release implements front.Memory and the upstream's.
func (m memory) Release(n int64) { m.of.give(m.party, n) }

// Reserve waits for n bytes until the context ends.
func (m memory) Reserve(ctx context.Context, n int64) error {
	for {
		given := m.of.wait()
		if m.of.take(m.party, n) {
			return nil
		}
		select {
		case <-given:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// slots is memory for so many bodies of whatever size.
type slots chan struct{}

// Reserve waits for a slot until the context ends.
func (s slots) Reserve(ctx context.Context, _ int64) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release gives a slot back.
func (s slots) Release(int64) { <-s }
