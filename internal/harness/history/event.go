// Package history records what happens in a run of the harness, and reads it back. A history is a
// file of JSON lines, one event a line. All times are from one clock, in microseconds from the
// run's start.
package history

import (
	"fernlanding/internal/distribution"
)

// Kind is a kind of event. Its text is stored in histories.
type Kind string

// The kinds of event. Who is the process, backend or follower that an event is about, To is its
// peer.
const (
	// Of the run and its faults.

	// Began: the run starts: ID is its scenario's name, N its seed.
	RunStarted Kind = "began"
	// Ended: the run ends: N is how many of its processes still exist.
	RunEnded Kind = "ended"
	// Fault: the fault ID begins (N 1) or ends (N 0): Why describes it.
	Fault Kind = "fault"

	// Of processes.

	// Started: a process has started: N is its process id.
	Started Kind = "started"
	// Exited: a process has exited: Why says how.
	Exited Kind = "gone"
	// Stopped: a process was stopped (SIGSTOP).
	Stopped Kind = "stopped"
	// Continued: a stopped process was continued (SIGCONT).
	Continued Kind = "continued"
	// Terminating: a process is about to be sent SIGTERM, or to be killed.
	Terminating Kind = "told"
	// Ready: the sidecar To has passed a health check for the first time since it failed one.
	Ready Kind = "ready"
	// Log: Why is a log line of a process.
	Log Kind = "log"
	// Usage: Figures is what a process has used until now, or holds.
	Usage Kind = "used"
	// CPUWaited: a process's threads have waited for a core for Took in all since they were
	// measured before, at N.
	CPUWaited Kind = "waited"
	// Lag: the machine scheduled a process Took too late.
	Lag Kind = "lag"

	// Of links and endpoint lists.

	// ListPolled: a list service answered a poll of To: N is the version it has, negative for a
	// snapshot.
	ListPolled Kind = "call"
	// Delivered: a relay has delivered the first Bytes of a response on Conn.
	Delivered Kind = "delivered"
	// MemberStatus: the backend Who has a new status in the endpoint list: Why is SERVING,
	// DRAINING or DELETED.
	MemberStatus Kind = "member"
	// Opened: a relay accepted a connection from Who to To.
	Opened Kind = "opened"
	// Sent: a relay received the first byte of the Nth request on Conn, from Who to To.
	Sent Kind = "sent"

	// Of backends.

	// Executed: a backend began to execute the request ID, the Nth on Conn; Pod deduplicates by
	// key.
	Executed Kind = "ran"
	// Overloaded: a backend rejected a request because its queue is full.
	Overloaded Kind = "full"
	// Misrouted: another service at the backend's address received the request ID, the Nth on
	// Conn.
	Misrouted Kind = "strayed"
	// WarmupOverload: a cold backend holds more requests than its warm-up allows (N 1), or no
	// longer (N 0).
	WarmupOverload Kind = "pushed"

	// Of clients.

	// LoadEnded: a client process's load has ended, and all its requests with it.
	LoadEnded Kind = "quiet"
	// Requested: a client sent the request ID to To and had Status after Took; 0 is no response,
	// for the reason Why.
	Requested Kind = "asked"

	// Of the distribution of resources.

	// Put: a publisher wrote ID to Resource and had Status and Version after Took; Urgent: it
	// withdraws something.
	Put Kind = "put"
	// Subscribed: a follower subscribes to Resource and holds Version; zero is none.
	Subscribed Kind = "subscribed"
	// InForce: a follower applied Version of Resource, from the relay To, as a delta from From
	// (zero: a snapshot); Digest is of all items.
	InForce Kind = "in-force"
	// UpdateRejected: a follower rejected Version of Resource, for the reason Why.
	UpdateRejected Kind = "refused"
	// StatusReported: the source Who reported which versions are in force: Report.
	StatusReported Kind = "reported"
	// Source: the source holds Version of Resource with Digest, and was polled Took before.
	SourceRead Kind = "source"
)

// What ListPolled events say.
const (
	ServingMark = "+"        // prefix of the name of a backend that serves
	Snapshot    = "whole"    // Why: the response is complete, so that it removes all backends that it does not name
	CallerLeft  = "given up" // Why: the caller closed its connection before the response
)

// Keys of Figures in Usage events. A source or relay uses the same keys in its statistics.
const (
	UsageBytes     = "bytes"       // transferred by the followers of a process until now
	UsageReads     = "reads"       // messages that they have sent until now
	UsageFollowers = "followers"   // in a process
	UsageResident  = "resident"    // resident memory of a process, in bytes
	UsageSessions  = "sessions"    // that a source or relay holds
	UsageCache     = "cache_bytes" // of updates that it has encoded for followers
	UsageStore     = "store_bytes" // of its resources
)

// Event is one event of a history. Which fields it has depends on its kind.
type Event struct {
	At     int64  `json:"at"` // microseconds since the run's start
	Kind   Kind   `json:"kind"`
	Who    string `json:"who,omitempty"`
	To     string `json:"to,omitempty"`
	ID     string `json:"id,omitempty"`
	Class  string `json:"class,omitempty"`
	Key    string `json:"key,omitempty"` // an idempotency key
	Conn   string `json:"conn,omitempty"`
	N      int64  `json:"n,omitempty"`
	Bytes  int64  `json:"bytes,omitempty"`
	Status int    `json:"status,omitempty"` // of HTTP
	Took   int64  `json:"took,omitempty"`   // microseconds
	Until  int64  `json:"until,omitempty"`  // of Requested: the client's deadline
	Cell   int    `json:"pod,omitempty"`
	// Names are, of ListPolled, the backends in the response; those that serve have the prefix
	// ServingMark.
	Names  []string `json:"names,omitempty"`
	Reason string   `json:"why,omitempty"`

	Resource string                       `json:"resource,omitempty"`
	Version  distribution.Version         `json:"version,omitzero"`
	From     distribution.Version         `json:"from,omitzero"`
	Digest   string                       `json:"digest,omitempty"`
	Urgent   bool                         `json:"urgent,omitempty"`
	Figures  map[string]float64           `json:"figures,omitempty"`
	Report   *distribution.ResourceStatus `json:"report,omitempty"`
}
