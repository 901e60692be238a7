package sleep_test

import (
	"context"
	"fernlanding/internal/sleep"
	"testing"
	"testing/synctest"
	"time"
)

// A sleep lasts its time, or until its context ends, whichever is first; none begins where the context has ended.
func TestASleepEndsWithItsContext(t *testing.T) {
	for name, c := range map[string]struct {
		sleep, limit, want time.Duration
		whole              bool
	}{
		"whole":         {sleep: time.Second, limit: time.Minute, want: time.Second, whole: true},
		"broken off":    {sleep: time.Minute, limit: time.Second, want: time.Second},
		"none":          {limit: time.Second, whole: true},
		"a past moment": {sleep: -time.Second, limit: time.Second, whole: true},
		"ended before":  {sleep: -time.Second, limit: -time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithTimeout(t.Context(), c.limit)
				defer stop()
				start := time.Now()
				if whole := sleep.For(ctx, c.sleep); whole != c.whole || time.Since(start) != c.want {
					t.Errorf("For: %v after %v, expected %v after %v", whole, time.Since(start), c.whole, c.want)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithTimeout(t.Context(), c.limit)
				defer stop()
				start := time.Now()
				if whole := sleep.Until(ctx, start.Add(c.sleep)); whole != c.whole || time.Since(start) != c.want {
					t.Errorf("Until: %v after %v, expected %v after %v", whole, time.Since(start), c.whole, c.want)
				}
			})
		})
	}
}
