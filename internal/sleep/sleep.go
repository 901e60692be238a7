// Package sleep waits for a time that a context can end before.
package sleep

import (
	"context"
	"time"
)

// For waits for a duration, none if it is not positive; it is false when the context has ended before.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits for a moment, which may be past; it is false when the context has ended before.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }
