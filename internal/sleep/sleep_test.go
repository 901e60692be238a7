package sleep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"fernlanding/internal/sleep"
)

// A sleep ends after its duration or with its context, whichever comes first. A sleep with an ended
// context returns at once.
func TestSleepEndsWithItsContext(t *testing.T) {
	for name, test := range map[string]struct {
		sleep, timeout, want time.Duration
		completed            bool
	}{
		"completed":            {sleep: time.Second, timeout: time.Minute, want: time.Second, completed: true},
		"cut short":            {sleep: time.Minute, timeout: time.Second, want: time.Second},
		"no duration":          {timeout: time.Second, completed: true},
		"a past time":          {sleep: -time.Second, timeout: time.Second, completed: true},
		"context ended before": {sleep: -time.Second, timeout: -time.Second},
	} {
		for function, sleepFor := range map[string]func(context.Context, time.Duration) bool{
			"For": sleep.For,
			"Until": func(ctx context.Context, d time.Duration) bool {
				return sleep.Until(ctx, time.Now().Add(d))
			},
		} {
			t.Run(name+"/"+function, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
					defer cancel()
					start := time.Now()
					completed := sleepFor(ctx, test.sleep)
					if took := time.Since(start); completed != test.completed || took != test.want {
						t.Errorf("returned %v after %v, want %v after %v", completed, took, test.completed, test.want)
					}
				})
			})
		}
	}
}
