package membership

import (
	"context"
	"time"
)

// Source follows a registry of backends. What it yields keeps to a contract, which package contract tests:
//
//   - The first list is whole. Lists and changes come in the order in which the registry made them, one call at a time.
//   - A change is never lost without a whole list after it.
//   - What is no news (an answer cut short, an older state, a registry that does not answer) changes nothing: the last
//     list stands, and the source counts as silent from when it last heard something that made sense.
//   - Nothing comes after Run has returned.
type Source interface {
	// Run follows the registry until the context ends. It is called once.
	Run(ctx context.Context, sink Sink)
	// Health may be asked at any time.
	Health() Health
}

// Health is what a source says of itself.
type Health struct {
	Version     int64     // of the list that stands; 0 before the first
	SilentSince time.Time // since when nothing that makes sense was heard; zero while it speaks
	Invalid     int       // entries that make no sense now
	Rejected    int64     // answers so far that were no news
}

// Age is how long a source has been silent at a time; 0 while it speaks.
func (h Health) Age(now time.Time) time.Duration {
	if h.SilentSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(h.SilentSince))
}
