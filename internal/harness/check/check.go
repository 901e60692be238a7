// Package check judges the history of a run, and measures it. It is pure: every verdict follows
// from the events alone, and names those that it rests on. A fault excuses a failure only while
// events say that it disturbed the process concerned, so that no fault excuses more than it causes.
package check

import (
	"fmt"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// Verdict is one violation of a check.
type Verdict struct {
	Check   string `json:"check"`
	At      int64  `json:"at"` // microseconds from the run's start
	Message string `json:"what"`
}

// String returns the verdict in one line.
func (v Verdict) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Check, float64(v.At)/second, v.Message)
}

// The names of the checks. They are stored with verdicts.
const (
	OneResponse = "one-answer" // an accepted request gets one complete response of its own before its deadline
	Effects     = "effects"    // no request has its effect twice
	Drains      = "drains"     // no request is sent to a backend more than 250 ms after its draining could be read
	Warmup      = "cold"       // no cold backend is overloaded
	Misrouted   = "strays"     // no non-idempotent request goes to an address that another service has taken
	Processes   = "processes"  // no process exits by itself, and none is left
	Bounds      = "bounds"     // the bounds of the scenario are kept
)

// Names returns the names of all checks.
func Names() []string {
	return []string{OneResponse, Effects, Drains, Warmup, Misrouted, Processes, Bounds}
}

// Times are in microseconds.
const (
	second = 1_000_000

	lateLeeway     = 500_000 // beyond the deadline, in which a response is late and not missing yet
	drainGrace     = 250_000
	drainSlack     = 100_000 // that a relay may read a byte late on a busy machine
	faultAftermath = 500_000 // beyond a fault, in which bytes that were held back arrive
	maxVerdicts    = 20      // of one check that are listed

	unsafeMethod = "POST" // Class of a backend's events that have an effect
)

// Result is the verdicts and the figures of a run.
type Result struct {
	Figures
	Verdicts []Verdict `json:"verdicts"`
}

// Judge judges and measures a history that is sorted by time.
func Judge(spec *scenario.Scenario, events []history.Event) Result {
	h := indexEvents(events)
	f := measure(spec, h)
	return Result{Figures: f, Verdicts: runChecks(spec, h, f)}
}

// Run judges a history that is sorted by time.
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

// truncate returns the first verdicts of a check, and one that says how many more there are.
func truncate(found []Verdict) []Verdict {
	more := len(found) - maxVerdicts
	if more <= 0 {
		return found
	}
	rest := Verdict{Check: found[0].Check, At: found[maxVerdicts].At, Message: fmt.Sprintf("and %d more", more)}
	return append(found[:maxVerdicts:maxVerdicts], rest)
}

// verdictf returns a verdict with a formatted text.
func verdictf(check string, at int64, format string, args ...any) Verdict {
	return Verdict{Check: check, At: at, Message: fmt.Sprintf(format, args...)}
}
