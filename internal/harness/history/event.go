// Package history writes and reads the events of a run of the harness. A history is a file of JSON
// lines, one event per line. All times come from one clock, in microseconds since the run's start.
package history

import (
	"fernlanding/internal/distribution"
)

// Kind is a kind of event. Its value is stored in histories.
type Kind string

// The kinds of event. Who is the process, backend or follower that an event is about; To is its
// peer.
const (
	// Events of the run and its faults.

	// RunStarted events mark the start of the run. ID is the scenario's name; N is the seed.
	RunStarted Kind = "began"
	// RunEnded events mark the end of the run. N is the number of its processes that still exist.
	RunEnded Kind = "ended"
	// Fault events mark the beginning (N is 1) or the end (N is 0) of the fault ID. Reason
	// describes the fault, Names has the processes that it acts on, and To is its link.
	Fault Kind = "fault"

	// Events of processes.

	// Started events mark the start of a process. N is its process ID.
	Started Kind = "started"
	// Exited events mark the exit of a process. Reason says how it exited.
	Exited Kind = "gone"
	// Stopped events mark that a process was stopped (SIGSTOP).
	Stopped Kind = "stopped"
	// Continued events mark that a stopped process was continued (SIGCONT).
	Continued Kind = "continued"
	// Terminating events precede SIGTERM or SIGKILL to a process.
	Terminating Kind = "told"
	// Ready events mark that the sidecar To passed a health check for the first time since it
	// failed one.
	Ready Kind = "ready"
	// Log events hold a log line of a process in Reason.
	Log Kind = "log"
	// Usage events hold in Figures the resources that a process has used so far or holds.
	Usage Kind = "used"
	// CPUWaited events hold in Took how long a process's threads have waited for a core in total
	// since the previous sample, which was taken at N.
	CPUWaited Kind = "waited"
	// Lag events mark that the machine scheduled a process late, by Took.
	Lag Kind = "lag"

	// Events of links and endpoint lists.

	// ListPolled events mark that a list service answered a poll of To. N is the version that To
	// has; it is negative if To requests a snapshot.
	ListPolled Kind = "call"
	// Delivered events mark that a relay has delivered the first Bytes bytes of the responses on
	// Conn.
	Delivered Kind = "delivered"
	// MemberStatus events mark a new status of the backend Who in the endpoint list. Reason is
	// SERVING, DRAINING or DELETED.
	MemberStatus Kind = "member"
	// Opened events mark that a relay accepted a connection from Who to To.
	Opened Kind = "opened"
	// Sent events mark that a relay received the first byte of the Nth request on Conn, from Who to
	// To.
	Sent Kind = "sent"

	// Events of backends.

	// Executed events mark that a backend began to execute the request ID, the Nth on Conn. Cell is
	// the backend's cell, which deduplicates by key.
	Executed Kind = "ran"
	// Overloaded events mark that a backend rejected a request because its queue is full.
	Overloaded Kind = "full"
	// Misrouted events mark that another service at the backend's address received the request ID,
	// the Nth on Conn.
	Misrouted Kind = "strayed"
	// WarmupOverload events mark the beginning (N is 1) or the end (N is 0) of a time in which a
	// cold backend holds more requests than its warm-up allows.
	WarmupOverload Kind = "pushed"

	// Events of clients.

	// LoadEnded events mark that a client process has ended its load and all its requests.
	LoadEnded Kind = "quiet"
	// Requested events mark that a client sent the request ID to To and received Status after Took.
	// Status 0 means no response, for the reason in Reason.
	Requested Kind = "asked"

	// Events of the distribution of resources.

	// Put events mark that a publisher wrote ID to Resource and received Status and Version after
	// Took. Urgent is set if the write deletes an item.
	Put Kind = "put"
	// Subscribed events mark that a follower subscribes to Resource and holds Version. The zero
	// Version means none.
	Subscribed Kind = "subscribed"
	// InForce events mark that a follower applied Version of Resource, received from the relay To as
	// a delta from From. The zero From means a snapshot. Digest covers all items.
	InForce Kind = "in-force"
	// UpdateRejected events mark that a follower rejected Version of Resource for the reason in
	// Reason.
	UpdateRejected Kind = "refused"
	// StatusReported events hold in Report which versions are in force according to the source Who.
	StatusReported Kind = "reported"
	// SourceRead events mark that the source holds Version of Resource with Digest. The request to
	// the source was sent Took earlier.
	SourceRead Kind = "source"
)

// Values in ListPolled events.
const (
	ServingMark = "+"        // prefix in Names of a backend that serves
	Snapshot    = "whole"    // Reason for a complete response, which removes all backends that it does not name
	CallerLeft  = "given up" // Reason if the caller closed its connection before the response
)

// Keys of Figures in Usage events. A source or relay uses the same keys in its statistics.
const (
	UsageBytes     = "bytes"       // bytes transferred so far by all followers of a process
	UsageReads     = "reads"       // messages sent so far by all followers of a process
	UsageFollowers = "followers"   // number of followers in a process
	UsageResident  = "resident"    // resident memory of a process in bytes
	UsageSessions  = "sessions"    // number of sessions of a source or relay
	UsageCache     = "cache_bytes" // bytes of the updates that a source or relay has encoded for followers
	UsageStore     = "store_bytes" // bytes of the resources of a source or relay
)

// Event is one event of a history. The fields in use depend on its kind.
type Event struct {
	At     int64  `json:"at"` // microseconds since the run's start
	Kind   Kind   `json:"kind"`
	Who    string `json:"who,omitempty"`
	To     string `json:"to,omitempty"`
	ID     string `json:"id,omitempty"`
	Class  string `json:"class,omitempty"`
	Key    string `json:"key,omitempty"` // idempotency key
	Conn   string `json:"conn,omitempty"`
	N      int64  `json:"n,omitempty"`
	Bytes  int64  `json:"bytes,omitempty"`
	Status int    `json:"status,omitempty"` // HTTP status
	Took   int64  `json:"took,omitempty"`   // microseconds
	Until  int64  `json:"until,omitempty"`  // client's deadline in Requested events, microseconds since the run's start
	Cell   int    `json:"pod,omitempty"`
	// Names are the backends in the response in ListPolled events. The names of backends that serve
	// have the prefix ServingMark.
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
