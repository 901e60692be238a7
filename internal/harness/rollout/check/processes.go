package check

import (
	harnesscheck "fernlanding/internal/harness/check"
	"fernlanding/internal/harness/rollout/plan"
)

// checkProcesses checks that no process exited by itself, that no process is left, and that the
// history is complete.
func checkProcesses(_ *plan.Scenario, r *record) []Verdict {
	return harnesscheck.ProcessVerdicts(r.all)
}
