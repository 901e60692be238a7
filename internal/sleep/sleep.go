// Package sleep provides sleeps that end early when a context ends.
package sleep

import (
	"context"
	"time"
)

// For sleeps for the duration d. It returns at once if d is not positive. It reports whether d
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

// Until sleeps until the time t and returns at once if t is past. It reports whether t was reached
// before the context ended.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }
