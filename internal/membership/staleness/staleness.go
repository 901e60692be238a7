// Package staleness has what all kinds of sources share: a tracker of the health of a source, and a
// notifier for sources that read full lists.
package staleness

import (
	"sync"
	"time"

	"fernlanding/internal/membership"
)

// Tracker records the health of a source. It is safe for concurrent use.
type Tracker struct {
	mu            sync.Mutex
	lastConfirmed time.Time
	health        membership.Health
}

// NewTracker returns a tracker for a source that starts now. The source counts as silent until its
// first valid answer.
func NewTracker() *Tracker {
	now := time.Now()
	return &Tracker{lastConfirmed: now, health: membership.Health{SilentSince: now}}
}

// Confirmed records a valid answer of the source, which may report no change. The arguments are the
// version of the list in use and the number of its invalid entries.
func (t *Tracker) Confirmed(version int64, invalid int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastConfirmed = time.Now()
	t.health.Version, t.health.Invalid, t.health.SilentSince = version, invalid, time.Time{}
}

// Failed records that the source did not answer, or that its answer was not a valid update.
func (t *Tracker) Failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.health.Rejected++
	if t.health.SilentSince.IsZero() {
		t.health.SilentSince = t.lastConfirmed
	}
}

// Health returns the present health of the source.
func (t *Tracker) Health() membership.Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health
}
