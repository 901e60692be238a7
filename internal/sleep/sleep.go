// Package sleep has sleeps that a context can end early.
package sleep

import (
	"context"
	"time"
)

// For sleeps for a duration, not at all where it is not positive. It reports whether the duration
// passed before the context ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until sleeps until a time, which may be past. It reports whether that time came before the
// context ended.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }
