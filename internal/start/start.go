// Package start limits the load that a replica causes when it starts or when its discovery returns
// after an outage. [PollScheduler] decides when the replica calls discovery for the endpoint list
// and how long it waits for the answer. [DialLimiter] decides how many connections it dials to a
// backend that is not established. The package has no I/O and no clock: times and the source of
// randomness are passed as arguments. Each replica decides alone, but the load of the whole fleet
// matters, so all limits are chosen for the sum over the replicas, according to their number if it
// is known.
package start

import "time"

// Outcome is the outcome of a call for the endpoint list.
type Outcome int

// The outcomes of a call.
const (
	Answered Outcome = iota // with an update, or without one after a watch's hold
	TimedOut                // no complete answer in time; discovery may still process the call
	Rejected                // with status 503 or 429
	Failed                  // connection refused or reset, or an invalid answer
)

// String returns the outcome as it appears in log lines.
func (o Outcome) String() string {
	return [...]string{"answered", "timed out", "rejected", "failed"}[o]
}

// Call is the next call that a replica makes to discovery.
type Call struct {
	Delay   time.Duration // from now
	Full    bool          // read the full list; otherwise watch from the replica's version
	Timeout time.Duration // for the answer, in addition to Hold
	Hold    time.Duration // how long a watch without a change is held; 0 with Full
	Reason  string        // reason for the delay; empty if there is none
}
