package logic

import (
	"fmt"
	"slices"
	"testing"
)

// playProbes plays n requests of these classes in turn, of which those to s0 time out and all
// others are served at once. It returns the classes of those that went to s0, and for how many of
// these a retry followed.
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
			t.Errorf("a probe is given up after %d us, half of a second at most expected", first.timeout)
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

// Where attempts take nearly all of their time, a probe of an endpoint that hangs took it all, and
// each sixteenth request was lost by it.
func TestProbeLeavesTimeForRetry(t *testing.T) {
	if probed, retried := playProbes(t, 2_000, 0); len(probed) < 20 || retried < len(probed) {
		t.Errorf("a retry followed %d of %d probes", retried, len(probed))
	}
}

// A probe by a request whose retry may go to few others risks that request.
func TestProbesAreRequestsThatMayBeReprobedAnywhere(t *testing.T) {
	probed, _ := playProbes(t, 6_000, 0, 1, 2)
	byFirst := len(slices.DeleteFunc(slices.Clone(probed), func(class int) bool { return class != 0 }))
	if len(probed) < 20 || 3*byFirst < 2*len(probed) {
		t.Errorf("probes with requests of the classes %v, two in three of the first at least expected", probed)
	}
	if probed, _ := playProbes(t, 2_000, 1, 2); len(probed) < 5 {
		t.Errorf("%d probes where no request may be retried anywhere", len(probed))
	}
}
