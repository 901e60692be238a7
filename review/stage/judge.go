package main

import (
	"fmt"
	"time"
)

// judge returns the broken rules, one line for each case. Drain rules are judged where told names
// the time from which a drain counts as told.
func (w *World) judge(requests []*Request, told map[string]time.Time, drainSlack time.Duration) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for _, q := range requests {
		attempts := w.attempts[q.ID]
		if q.Wrong {
			add("foreign answer: %s %s", q.Kind.Name, q.ID)
		}
		if q.Left.IsZero() && q.Status == 0 && (q.Lost == "late" || len(attempts) > 0) {
			add("lost: %s %s: %s, %d attempts", q.Kind.Name, q.ID, q.Lost, len(attempts))
		}
		var mayRun []*Attempt
		for i, a := range attempts {
			if !q.Left.IsZero() && a.Begun.After(q.Left.Add(150*time.Millisecond)) {
				add("lost: attempt of %s %s begins %.3f s after its client left", q.Kind.Name, q.ID, a.Begun.Sub(q.Left).Seconds())
			}
			left := q.Sent.Add(q.Timeout).Sub(a.Begun).Milliseconds()
			if a.TimeoutMs > left+150+50 {
				add("timeout: attempt of %s %s tells %d ms, %d are left", q.Kind.Name, q.ID, a.TimeoutMs, left)
			}
			for _, earlier := range mayRun {
				switch {
				case q.Kind.Effect == "unsafe":
					add("duplicate: attempt %d of %s %s after one that may have run", i, q.Kind.Name, q.ID)
				case q.Kind.Effect == "keyed" && (earlier.Cell != a.Cell || a.Begun.Sub(earlier.Begun) > q.Kind.Window+50*time.Millisecond):
					add("duplicate: attempt %d of %s %s in cell %d after %.3f s, earlier in cell %d", i, q.Kind.Name, q.ID, a.Cell, a.Begun.Sub(earlier.Begun).Seconds(), earlier.Cell)
				}
			}
			if a.MayHaveRun {
				mayRun = append(mayRun, a)
			}
		}
		refused := q.Status == 503 || q.Status == 429
		if refused && len(mayRun) > 0 && q.Kind.Effect != "safe" {
			add("duplicate: %s %s refused after an attempt that may have run", q.Kind.Name, q.ID)
		}
	}
	for _, a := range w.order {
		if at, ok := told[a.Backend]; ok && a.First.After(at.Add(drainSlack)) {
			add("drain: %s %s sent to %s %.3f s after the proxy was told", a.Class, a.ID, a.Backend, a.First.Sub(at).Seconds())
		}
	}
	return broken
}
