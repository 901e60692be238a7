package membership

import (
	"context"
	"time"
)

// Source follows a registry of endpoints. It keeps to a contract, which package contract tests:
//
//   - The first list is full. Lists and deltas come in the order in which the registry made them,
//     one call at a time.
//   - A delta that was lost is always followed by a full list.
//   - An answer that is no valid update (cut short, of an older state, from a registry that does
//     not answer) changes nothing: the last list stands, and the source counts as silent since it
//     last heard something valid.
//   - The sink is not called after Run has returned.
type Source interface {
	// Run follows the registry until the context ends. It is called once.
	Run(ctx context.Context, sink Sink)
	// Health reports the state of the source. It is safe for concurrent use.
	Health() Health
}

// Health is the state of a source.
type Health struct {
	Version     int64     // of the list that stands; 0 before the first
	SilentSince time.Time // since when nothing valid was heard; zero while the source is not silent
	Invalid     int       // entries of the list that are invalid now
	Rejected    int64     // answers so far that were no valid update
}

// Age returns for how long a source has been silent at a time; 0 while it is not silent.
func (h Health) Age(now time.Time) time.Duration {
	if h.SilentSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(h.SilentSince))
}
