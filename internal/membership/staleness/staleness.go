// Package staleness has what sources of all kinds share: the tracker of a source's health, and the
// notifier of sources that read full lists.
package staleness

import (
	"sync"
	"time"

	"fernlanding/internal/membership"
)

// Tracker keeps the health of a source. It is safe for concurrent use.
type Tracker struct {
	mu            sync.Mutex
	lastConfirmed time.Time
	health        membership.Health
}

// NewTracker returns the tracker of a source that begins now: it counts as silent until something
// is confirmed.
func NewTracker() *Tracker {
	now := time.Now()
	return &Tracker{lastConfirmed: now, health: membership.Health{SilentSince: now}}
}

// Confirmed notes that the source has answered with a valid update, or with none where nothing has
// changed: the version of the list that stands, and how many of its entries are invalid.
func (t *Tracker) Confirmed(version int64, invalid int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastConfirmed = time.Now()
	t.health.Version, t.health.Invalid, t.health.SilentSince = version, invalid, time.Time{}
}

// Failed notes that the source has not answered, or with what is no valid update.
func (t *Tracker) Failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health.Rejected++
	if t.health.SilentSince.IsZero() {
		t.health.SilentSince = t.lastConfirmed
	}
}

// Health returns the health as it stands.
func (t *Tracker) Health() membership.Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health
}
