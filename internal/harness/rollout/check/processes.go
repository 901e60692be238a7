package check

import (
	"strings"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// checkProcesses checks that no process ended by itself, that none is left, and that the history is
// complete.
func checkProcesses(_ *plan.Scenario, r *record) (verdicts []Verdict) {
	ended := false
	for _, e := range r.all {
		switch {
		case e.Kind == history.Exited && endedByItself(e.Why):
			verdicts = append(verdicts, verdict(Processes, e.At, "%s has ended: %s", e.Who, e.Why))
		case e.Kind == history.Ended:
			ended = true
			if e.N > 0 {
				verdicts = append(verdicts, verdict(Processes, e.At, "%d processes are left", e.N))
			}
		}
	}
	if !ended {
		verdicts = append(verdicts, verdict(Processes, 0, "the history breaks off before the run's end"))
	}
	return verdicts
}

// endedByItself reports whether a process that is gone was neither killed nor told to end.
func endedByItself(why string) bool {
	return strings.HasPrefix(why, "by itself") || strings.Contains(why, "exit status")
}
