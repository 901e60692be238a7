package logic

import (
	"fmt"
	"testing"
)

// Without failures, the counts of the retry budget were never trimmed, and the memory of a replica
// without load grew without limit.
func TestRetryBudgetForgetsOldEvents(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), 4)
	for i := range int64(1000) {
		now, id := start+i*second, fmt.Sprint(i)
		submit(b, h, now, id, 0)
		b.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 1000, RequestDone: true})
	}
	if most := int(defaultRetryBudgetWindow/second) + 1; len(b.retryBudget.requests) > most {
		t.Errorf("%d requests in the retry budget, want at most %d", len(b.retryBudget.requests), most)
	}
}

// An allowance saved up without failures let a burst of retries exceed the budget.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
	s := testSettings()
	s.RetryBudgetWindow, s.RetryBudgetMin, s.RetryBudgetRatio = 5*second, 3, 0.05
	b, h := newTestBalancer(t, s, 8)
	var arrivals, retries timeline
	for i := range int64(2000) {
		now, id := start+i*20_000, fmt.Sprint(i)
		before := len(h.sends)
		submit(b, h, now, id, 0)
		arrivals = append(arrivals, now)
		status := OK // no failures for a long time, then all attempts fail
		if i > 1000 {
			status = Error
		}
		for k := 0; len(h.sends) > before+k; k++ {
			if k > 0 {
				retries = append(retries, now)
			}
			b.Outcome(now, h, Outcome{ID: id, Attempt: k, Status: status, Latency: 1000, RequestDone: status == OK})
		}
		if n, m := retries.since(now-5*second), arrivals.since(now-5*second+1); n > 3+0.05*m {
			t.Fatalf("at %d us: %v retries for %v requests in the window, want at most 3 + 0.05 per request",
				now-start, n, m)
		}
	}
	if len(retries) == 0 {
		t.Error("no retries, want some")
	}
}

func TestDefaultRetryBudget(t *testing.T) {
	b, h := newTestBalancer(t, testSettings(), 4)
	b.tier.floor, b.tier.limit = 1e9, 1e9
	const n = 400
	for i := range n {
		id := fmt.Sprint(i)
		now := start + int64(i)*1000
		before := len(h.sends)
		submit(b, h, now, id, 0)
		for k := 0; len(h.sends) > before+k; k++ {
			b.Outcome(now, h, Outcome{ID: id, Attempt: k, Status: Error, Latency: 1000})
		}
	}
	firsts := 0
	seen := map[string]bool{}
	for _, s := range h.sends {
		if !seen[s.id] {
			firsts++
			seen[s.id] = true
		}
	}
	most := defaultRetryBudgetMin + defaultRetryBudgetRatio*float64(n)
	if retries := len(h.sends) - firsts; retries == 0 || float64(retries) > most {
		t.Errorf("%d retries for %d first attempts, want 1 to %v", retries, firsts, most)
	}
}
