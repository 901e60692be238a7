package check

import (
	"strings"

	"fernlanding/internal/harness/history"
)

// ProcessVerdicts checks that no process exited by itself, that no process is left, and that the
// history is complete. Package rollout/check uses it as well.
func ProcessVerdicts(events []history.Event) []Verdict {
	var verdicts []Verdict
	isComplete := false
	for _, e := range events {
		switch {
		case e.Kind == history.Exited && isFailure(e.Reason):
			verdicts = append(verdicts, verdictf(Processes, e.At, "%s has ended: %s", e.Who, e.Reason))
		case e.Kind == history.RunEnded:
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
