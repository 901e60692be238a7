// Package check checks and measures the history of a run. The package is pure: every verdict
// follows from the events alone and names the objects concerned. A fault excuses a failure only
// while events show that the fault affected the process concerned, so that no fault excuses more
// than it causes.
package check

import (
	"fmt"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// Verdict is one violation of a check.
type Verdict struct {
	Check   string `json:"check"`
	At      int64  `json:"at"` // microseconds since the run's start
	Message string `json:"what"`
}

// String returns the verdict as one line of text.
func (v Verdict) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Check, float64(v.At)/second, v.Message)
}

// Names of the checks. They are stored with verdicts.
const (
	OneResponse = "one-answer" // an accepted request gets one complete response of its own before its deadline
	Effects     = "effects"    // no request takes effect twice
	Drains      = "drains"     // no request is sent to a backend over 250 ms after its drain or deletion could be read
	Warmup      = "cold"       // no cold backend is overloaded
	Misrouted   = "strays"     // no non-idempotent request is sent to an address that another service has taken
	Processes   = "processes"  // no process exits by itself, and no process is left
	Bounds      = "bounds"     // the bounds of the scenario are kept
)

// Names returns the names of all checks.
func Names() []string {
	return []string{OneResponse, Effects, Drains, Warmup, Misrouted, Processes, Bounds}
}

// Times are in microseconds.
const (
	second = 1_000_000

	lateLeeway     = 500_000 // time after the deadline in which a response is late but not missing
	drainGrace     = 250_000 // time in which requests may still be sent to a draining backend
	drainSlack     = 100_000 // largest delay with which a relay reads a byte on a busy machine
	faultAftermath = 500_000 // time after a fault in which bytes that were held back arrive
	maxVerdicts    = 20      // number of verdicts that are listed per check

	unsafeMethod = "POST" // Class of backend events for requests that have an effect
)

// Result is the verdicts and figures of a run.
type Result struct {
	Figures
	Verdicts []Verdict `json:"verdicts"`
}

// Judge checks and measures a history that is sorted by time.
func Judge(spec *scenario.Scenario, events []history.Event) Result {
	h := indexEvents(events)
	f := measure(spec, h)
	return Result{Figures: f, Verdicts: runChecks(spec, h, f)}
}

// Run checks a history that is sorted by time.
func Run(spec *scenario.Scenario, events []history.Event) []Verdict {
	return Judge(spec, events).Verdicts
}

// Measure measures a history that is sorted by time.
func Measure(spec *scenario.Scenario, events []history.Event) Figures {
	return measure(spec, indexEvents(events))
}

// runChecks runs all checks.
func runChecks(spec *scenario.Scenario, h *indexedHistory, f Figures) []Verdict {
	var verdicts []Verdict
	for _, found := range [][]Verdict{
		checkResponses(h),
		checkEffects(h),
		checkDrains(spec, h),
		checkWarmup(h),
		checkMisrouted(h),
		ProcessVerdicts(h.events),
		checkBounds(spec, f),
	} {
		verdicts = append(verdicts, truncate(found)...)
	}
	return verdicts
}

// truncate returns at most maxVerdicts verdicts of one check. If there are more, it appends a
// verdict with the number of the remaining ones.
func truncate(found []Verdict) []Verdict {
	more := len(found) - maxVerdicts
	if more <= 0 {
		return found
	}
	rest := Verdict{Check: found[0].Check, At: found[maxVerdicts].At, Message: fmt.Sprintf("and %d more", more)}
	return append(found[:maxVerdicts:maxVerdicts], rest)
}

// verdictf returns a verdict with a formatted message.
func verdictf(check string, at int64, format string, args ...any) Verdict {
	return Verdict{Check: check, At: at, Message: fmt.Sprintf(format, args...)}
}
