package check_test

import (
	"slices"
	"strings"
	"testing"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/check"
)

// An incomplete history fails the checks that need its end.
func TestIncompleteHistoryFails(t *testing.T) {
	verdicts := check.Run(scenario(t), []history.Event{subscribed(0, 0), inForce(second, 0, 1)})
	for _, name := range []string{check.Processes, check.Converged, check.Status} {
		if !slices.ContainsFunc(verdicts, func(v check.Verdict) bool { return v.Check == name }) {
			t.Errorf("no verdict of check %s in %v", name, verdicts)
		}
	}
}

// The number of verdicts of one check is limited.
func TestVerdictsAreBounded(t *testing.T) {
	var events []history.Event
	for n := range uint64(100) {
		events = append(events, inForce(int64(n+1)*ms, 300, 200-n))
	}
	verdicts := run(t, 101, events...)
	if len(verdicts) > 30 || !strings.Contains(verdicts[20].Message, "more") {
		t.Errorf("got %d verdicts, want at most 30 with the number of the remaining ones: %v", len(verdicts), verdicts)
	}
}

// Measure computes the metrics from the events of a history.
func TestMeasure(t *testing.T) {
	all := slices.Concat([]history.Event{subscribed(0, 0)}, []history.Event{
		put(1*second, 1, false), inForce(1*second+100*ms, 0, 1),
		put(2*second, 2, true), inForce(2*second+7*ms, 1, 2),
		put(2*second+500, 3, false), inForce(2*second+50*ms, 2, 3),
	}, ending(3))
	history.Sort(all)
	m := check.Measure(scenario(t), all)
	if m.Puts != 3 || m.ConcurrentPuts != 1 || m.InForce != 3 || m.Snapshots != 1 {
		t.Errorf("wrong counts: %+v", m)
	}
	if m.UrgentEvaluated != 1 || m.UrgentMaxMs != 7 || m.FaultFreeMaxMs != 100 {
		t.Errorf("wrong latencies: %+v", m)
	}
}
