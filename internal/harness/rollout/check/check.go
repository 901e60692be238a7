// Package check checks and measures the history of a run of package rollout. The package is pure:
// every verdict follows from the events alone. Each check is a function from the record of a
// history to verdicts. docs/design/distribution-proof.md explains what each check allows and why.
package check

import (
	"fmt"
	"time"

	harnesscheck "fernlanding/internal/harness/check"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// Verdict is one violation of a check.
type Verdict = harnesscheck.Verdict

// Names of the checks. They are stored with verdicts.
const (
	Backwards = "backwards" // no follower puts an older version in force after a newer one
	Late      = "late"      // no version is late at a follower that can reach the source
	Urgent    = "urgent"    // no urgent version is late at a follower whose paths no fault affects
	Bounds    = "bounds"    // traffic and memory stay within the scenario's bounds
	Snapshots = "whole"     // no follower that resumes at a version known to its relay is sent a snapshot
	Converged = "converged" // a version has equal items everywhere, and all followers end with the source's version
	Durable   = "durable"   // the source never loses a write that it has answered
	Status    = "status"    // the source's in-force reports agree with the versions in force

	// Processes is the name of a check of package harness/check: no process exits by itself, and no
	// process is left.
	Processes = harnesscheck.Processes
)

// Names returns the names of all checks.
func Names() []string {
	return []string{Backwards, Late, Urgent, Bounds, Snapshots, Converged, Durable, Status, Processes}
}

const (
	// faultAftermath is the time after the end of a fault for which the fault excuses late urgent
	// versions.
	faultAftermath = 10 * time.Second
	// sessionHolds is the number of holds after which a relay's session of a follower that has
	// switched relays expires.
	sessionHolds = 3
	// failbackTime is the time within which followers return to their preferred relay.
	failbackTime = 10 * time.Second
	// maxCPUWait is the largest extension of the bound for urgent versions due to processes that
	// waited for a core.
	maxCPUWait = time.Second
	// readBreakingLag is the least lag of a process after which relays may treat its reads as
	// failed.
	readBreakingLag = 500 * time.Millisecond
	// countingDelay is the time from a follower's start until in-force reports count the follower.
	countingDelay = 5 * time.Second
	// maxVerdicts is the number of verdicts that are listed per check.
	maxVerdicts = 20
)

// Run returns the verdicts on a history, which must be sorted by time.
func Run(sc *plan.Scenario, all []history.Event) (verdicts []Verdict) {
	r := newRecord(sc, all)
	for _, check := range []func(*plan.Scenario, *record) []Verdict{
		checkOrder, checkLateness, checkUrgent, checkBounds, checkSnapshots, checkConverged, checkDurable, checkStatus,
		checkProcesses,
	} {
		verdicts = append(verdicts, truncate(check(sc, r))...)
	}
	return verdicts
}

// truncate returns at most maxVerdicts verdicts of one check. If there are more, it appends a
// verdict with the number of the remaining ones.
func truncate(verdicts []Verdict) []Verdict {
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

// verdict returns a verdict with a formatted message. The time at is in microseconds.
func verdict(check string, at int64, format string, args ...any) Verdict {
	return Verdict{Check: check, At: at, Message: fmt.Sprintf(format, args...)}
}

// seconds converts microseconds to seconds.
func seconds(us int64) float64 { return float64(us) / float64(second) }
