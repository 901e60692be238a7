package check

import (
	"strings"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// checkProcesses checks how processes exited, and that none is left.
func checkProcesses(h *indexedHistory) []Verdict {
	var verdicts []Verdict
	isComplete := false
	for _, e := range h.events {
		switch {
		case e.Kind == history.Exited && isFailure(e.Why):
			verdicts = append(verdicts, verdictf(Processes, e.At, "%s has ended: %s", e.Who, e.Why))
		case e.Kind == history.Ended:
			isComplete = true
			if e.N > 0 {
				verdicts = append(verdicts, verdictf(Processes, e.At, "%d processes are left", e.N))
			}
		}
	}
	if !isComplete {
		verdicts = append(verdicts, verdictf(Processes, 0, "the history breaks off before the run's end"))
	}
	return verdicts
}

// isFailure reports whether a process exited by itself or with an exit code that is not 0.
func isFailure(reason string) bool {
	return strings.HasPrefix(reason, "by itself") || strings.Contains(reason, "exit status")
}

// checkBounds checks the figures against the bounds of the scenario.
func checkBounds(spec *scenario.Scenario, f Figures) []Verdict {
	var verdicts []Verdict
	expect := func(isKept bool, format string, args ...any) {
		if !isKept {
			verdicts = append(verdicts, verdictf(Bounds, 0, format, args...))
		}
	}
	b := spec.Bounds
	expect(b.MaxSnapshotRate == 0 || f.Snapshots.Peak <= b.MaxSnapshotRate,
		"%.0f whole readings in a second, %.0f at most expected", f.Snapshots.Peak, b.MaxSnapshotRate)
	expect(b.MaxConnectRate == 0 || f.PeakConnects <= b.MaxConnectRate,
		"%.0f connections to a backend in a second, %.0f at most expected", f.PeakConnects, b.MaxConnectRate)
	ready := f.ReadyWithin(b.ReadyWithin)
	expect(b.ReadyWithin == 0 || ready >= b.MinReady,
		"%.3f of the sidecars ready within %v, %.3f expected", ready, b.ReadyWithin, b.MinReady)
	expect(b.MinServed == 0 || f.Served >= b.MinServed*float64(f.Requests),
		"%.0f of %d requests served, a part of %.3f expected", f.Served, f.Requests, b.MinServed)
	for _, loss := range f.Losses {
		hasRecovered := loss.RecoveryTime >= 0 && loss.RecoveryTime <= b.LossRecoveryWithin.Seconds()
		expect(b.LossRecoveryWithin == 0 || hasRecovered,
			"%s: 95%% of what can be served after %.1f s (-1: never), %v at most expected",
			loss.Fault, loss.RecoveryTime, b.LossRecoveryWithin)
		expect(loss.ServedAfter >= b.MinServedAfterLoss,
			"%s: %.3f of the worth served from its end on, %.3f expected",
			loss.Fault, loss.ServedAfter, b.MinServedAfterLoss)
	}
	return verdicts
}
