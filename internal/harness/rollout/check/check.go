// Package check evaluates the history of a run of distribution on the rig. It is pure: every
// verdict follows from the events alone. Each check is a function from the record of a history to
// its verdicts; docs/design/distribution-proof.md explains what each one allows, and why.
package check

import (
	"fmt"
	"time"

	rigcheck "fernlanding/internal/harness/check"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// Verdict is one thing that is wrong.
type Verdict = rigcheck.Verdict

// The checks.
const (
	Backwards = "backwards" // no follower puts an older version in force after a newer one
	Late      = "late"      // no version comes into force too late at a follower that can reach the source
	Urgent    = "urgent"    // no urgent version comes into force late where no fault affects a path of the follower
	Bounds    = "bounds"    // traffic and memory stay within the scenario's bounds
	Snapshots = "whole"     // a follower that resumes at a version that its relay knows is sent no snapshot
	Converged = "converged" // a version has the same items everywhere, and at the end all have the source's
	Durable   = "durable"   // the source never loses what it has answered
	Status    = "status"    // the source's in-force reports agree with what was in force

	// Processes is the name of the same check of package check: no process ends by itself, and none
	// is left.
	Processes = rigcheck.Processes
)

// Names returns the names of all checks.
func Names() []string {
	return []string{Backwards, Late, Urgent, Bounds, Snapshots, Converged, Durable, Status, Processes}
}

const (
	// faultAftermath is how long after its end a fault excuses lateness of urgent versions.
	faultAftermath = 10 * time.Second
	// sessionHolds is after how many holds a relay's session of a follower that has switched
	// expires.
	sessionHolds = 3
	// failbackTime is how long followers take to return to their preferred relay.
	failbackTime = 10 * time.Second
	// maxCPUWait bounds what an urgent version may come later by because processes waited for a
	// core.
	maxCPUWait = time.Second
	// readBreakingLag is how long the machine keeps a process waiting before relays may take its
	// reads for failed.
	readBreakingLag = 500 * time.Millisecond
	// countingDelay is the time from a follower's start until in-force reports count it.
	countingDelay = 5 * time.Second
	// maxVerdicts is how many verdicts of one check are listed.
	maxVerdicts = 20
)

// Run returns the verdicts on a history, which is sorted by time.
func Run(sc *plan.Scenario, all []history.Event) (verdicts []Verdict) {
	r := newRecord(sc, all)
	for _, check := range []func(*plan.Scenario, *record) []Verdict{
		checkOrder, checkLateness, checkUrgent, checkBounds, checkSnapshots, checkConverged, checkDurable, checkStatus,
		checkProcesses,
	} {
		verdicts = append(verdicts, bounded(check(sc, r))...)
	}
	return verdicts
}

// bounded returns the first maxVerdicts verdicts of a check, and one that says how many more there
// are.
func bounded(verdicts []Verdict) []Verdict {
	more := len(verdicts) - maxVerdicts
	if more <= 0 {
		return verdicts
	}
	rest := Verdict{
		Check:   verdicts[0].Check,
		At:      verdicts[maxVerdicts].At,
		Message: fmt.Sprintf("and %d more", more),
	}
	return append(verdicts[:maxVerdicts:maxVerdicts], rest)
}

// verdict returns a verdict of a check at a time, in microseconds.
func verdict(check string, at int64, format string, args ...any) Verdict {
	return Verdict{Check: check, At: at, Message: fmt.Sprintf(format, args...)}
}

// seconds returns microseconds as seconds.
func seconds(us int64) float64 { return float64(us) / float64(second) }
