package check

import (
	rigcheck "fernlanding/internal/harness/check"
	"fernlanding/internal/harness/rollout/plan"
)

// checkProcesses checks that no process ended by itself, that none is left, and that the history is
// complete.
func checkProcesses(_ *plan.Scenario, r *record) []Verdict { return rigcheck.ProcessVerdicts(r.all) }
