// Package start decides how a replica that has just started, or whose discovery was away, comes
// back without overloading what it depends on: [PollScheduler] decides when it calls discovery for
// the endpoint list and how long it waits for the answer, [DialLimiter] how many connections it
// dials to a backend that is not established. The package is pure: no I/O, no clock; times and the
// source of randomness come in as arguments. Each replica decides alone, and the sum over the fleet
// is what counts: all bounds are chosen for the sum, by the number of replicas where that is known.
package start

import "time"

// Outcome is how a call for the endpoint list ended.
type Outcome int

// The outcomes of a call.
const (
	Answered Outcome = iota // with an update, or with none in a watch's time
	TimedOut                // no complete answer in time; discovery may still be at work on it
	Rejected                // with status 503 or 429
	Failed                  // connection refused or reset, or an invalid answer
)

// String returns the outcome as log lines have it.
func (o Outcome) String() string {
	return [...]string{"answered", "timed out", "rejected", "failed"}[o]
}

// Call is the next call that a replica makes to discovery.
type Call struct {
	Delay   time.Duration // from now
	Full    bool          // for the full list; otherwise a watch from the version that the replica has
	Timeout time.Duration // of the answer, in addition to Hold
	Hold    time.Duration // how long a watch is held where nothing changes; 0 with Full
	Reason  string        // for the delay; empty without one
}
