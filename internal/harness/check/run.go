package check

import "fernlanding/internal/harness/scenario"

// checkBounds checks the figures against the scenario's bounds.
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
