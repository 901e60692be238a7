// Package staleness keeps the health of a source: what sources of all kinds share.
package staleness

import (
	"fernlanding/internal/membership"
	"sync"
	"time"
)

// Tracker is a source's health. It may be used by many goroutines.
type Tracker struct {
	mu   sync.Mutex
	last time.Time
	h    membership.Health
}

// New returns the health of a source that begins now, and has heard nothing.
func New() *Tracker {
	now := time.Now()
	return &Tracker{last: now, h: membership.Health{SilentSince: now}}
}

// Confirmed notes that something that made sense was heard, with the version that stands.
func (s *Tracker) Confirmed(index int64, skipped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = time.Now()
	s.h.Version, s.h.Invalid, s.h.SilentSince = index, skipped, time.Time{}
}

// Failed notes that what was heard, or its absence, is no news.
func (s *Tracker) Failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.h.Rejected++; s.h.SilentSince.IsZero() {
		s.h.SilentSince = s.last
	}
}

// Health is the health as it stands.
func (s *Tracker) Health() membership.Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h
}
