package membership

import (
	"context"
	"time"
)

// Source follows a registry of endpoints. All sources fulfill this contract, which package contract
// tests:
//
//   - The first list is full. Lists and deltas arrive in the registry's order, one call at a time.
//   - After a lost delta, the next list is full.
//   - An answer that is not a valid update (truncated, of an older state, an error) changes
//     nothing: the last list stays in use, and the source counts as silent since the last valid
//     answer.
//   - The sink is not called after Run has returned.
type Source interface {
	// Run follows the registry until the context ends. Run is called once.
	Run(ctx context.Context, sink Sink)
	// Health returns the state of the source. Health is safe for concurrent use.
	Health() Health
}

// Health is the state of a source.
type Health struct {
	Version     int64     // version of the list in use; 0 before the first list
	SilentSince time.Time // time since which there is no valid answer; zero while the source is not silent
	Invalid     int       // invalid entries of the list at present
	Rejected    int64     // answers so far that were missing or not a valid update
}

// Age returns how long a source has been silent at the given time, 0 while it is not silent.
func (h Health) Age(now time.Time) time.Duration {
	if h.SilentSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(h.SilentSince))
}
