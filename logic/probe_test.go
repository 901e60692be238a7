package logic

import (
	"fmt"
	"slices"
	"testing"
)

// playProbes submits n requests of the given classes in turn. Attempts at s0 time out, and all
// others are served at once. playProbes returns the classes of the requests that went to s0, and
// how many of these were retried.
func playProbes(t *testing.T, n int, classes ...int) (probed []int, retried int) {
	t.Helper()
	b, h := newTestBalancer(t, testSettings(), 4)
	b.endpoints.byID["s0"].outlier = outlierState{health: minHealth, errorRate: 1, attempts: 10}
	now := start
	for i := range n {
		now += 10_000
		id, class := fmt.Sprint("r", i), classes[i%len(classes)]
		submit(b, h, now, id, class)
		first := h.sends[len(h.sends)-1]
		if first.endpoint != "s0" {
			b.Outcome(now, h, Outcome{ID: id, Status: OK, Latency: 300_000, RequestDone: true})
			continue
		}
		probed = append(probed, class)
		now += first.timeout
		if first.timeout > 500_000 {
			t.Errorf("timeout of a probe is %d us, want at most 500,000", first.timeout)
		}
		before := len(h.sends)
		b.Outcome(now, h, Outcome{ID: id, Status: TimedOut, Latency: first.timeout})
		if len(h.sends) > before {
			retried++
			b.Outcome(now, h, Outcome{ID: id, Attempt: 1, Status: OK, Latency: 300_000, RequestDone: true})
		}
	}
	return probed, retried
}

// If attempts need nearly all of the time that a request has, a probe of a hung endpoint used all
// of it, and one in sixteen requests was lost.
func TestProbeLeavesTimeForRetry(t *testing.T) {
	if probed, retried := playProbes(t, 2_000, 0); len(probed) < 20 || retried < len(probed) {
		t.Errorf("%d of %d probes retried, want all of at least 20", retried, len(probed))
	}
}

// A probe puts a request at risk if its retry may go to few other endpoints.
func TestProbesPreferRequestsThatMayBeRetriedAnywhere(t *testing.T) {
	probed, _ := playProbes(t, 6_000, 0, 1, 2)
	byFirst := len(slices.DeleteFunc(slices.Clone(probed), func(class int) bool { return class != 0 }))
	if len(probed) < 20 || 3*byFirst < 2*len(probed) {
		t.Errorf("probes with requests of the classes %v, want at least two thirds of class 0", probed)
	}
	if probed, _ := playProbes(t, 2_000, 1, 2); len(probed) < 5 {
		t.Errorf("%d probes when no request may be retried anywhere, want at least 5", len(probed))
	}
}
