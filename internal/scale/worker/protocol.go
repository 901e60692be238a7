package worker

import (
	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/topology"
)

// Role is the role of a worker.
type Role string

// The roles.
const (
	Proxies     Role = "proxies" // runs hollow proxies
	ListService Role = "lists"   // serves endpoint lists and changes them
	Publisher   Role = "publish" // writes lists to a source of distribution and changes them
)

// Spec is the first line that a worker reads. It defines the role of the worker.
type Spec struct {
	Role         Role            `json:"role"`
	Layout       topology.Layout `json:"layout"`
	First        int             `json:"first,omitempty"`  // Proxies: number of the first proxy
	GCPercent    int             `json:"gc,omitempty"`     // Proxies: garbage collection target; 0 means the default
	Count        int             `json:"count,omitempty"`  // Proxies: number of proxies
	Index        int             `json:"index,omitempty"`  // ListService: index among the list services
	ListServices int             `json:"of,omitempty"`     // ListService: number of list services
	Source       string          `json:"source,omitempty"` // Publisher: address of the source
}

// CommandKind names a command.
type CommandKind string

// The commands.
const (
	// CommandStart starts the proxies of Proxies and waits until they have received all lists. A
	// Publisher writes all lists.
	CommandStart CommandKind = "start"
	// CommandLoad starts the calls of Proxies and the list changes of ListService and Publisher.
	CommandLoad CommandKind = "load"
	// CommandUsage returns the resource usage since the start of the worker.
	CommandUsage CommandKind = "usage"
	// CommandChanges returns the changes made by ListService or Publisher since the last
	// CommandChanges.
	CommandChanges CommandKind = "changes"
	// CommandCollect returns the state after a garbage collection. For Proxies, the state includes
	// the propagation times of Command.Changes and the outcomes of calls.
	CommandCollect CommandKind = "collect"
)

// Command is a line that a worker reads after the Spec.
type Command struct {
	Kind    CommandKind `json:"do"`
	Changes []Change    `json:"changes,omitempty"`
}

// Change is a version of the list of a service with the time of the change.
type Change struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
	At      int64  `json:"at"` // time of hollow.MonotonicNow before the write
}

// Reply is the line with which a worker answers the Spec or a Command.
type Reply struct {
	Error   string   `json:"error,omitempty"`   // error of the command
	Address string   `json:"address,omitempty"` // ListService: listen address, in reply to the Spec
	Usage   Usage    `json:"usage,omitzero"`
	Changes []Change `json:"changes,omitempty"`
	State   State    `json:"state,omitzero"`
}

// Usage is the resource usage of a worker since its start.
type Usage struct {
	At             int64   `json:"at"` // time of hollow.MonotonicNow
	CPUSeconds     float64 `json:"cpu_seconds"`
	AllocatedBytes int64   `json:"allocated_bytes"`
	Allocations    int64   `json:"allocations"`
	hollow.Traffic
}

// State is the current memory state of a worker, and its measurements since the last CommandCollect.
type State struct {
	HeapBytes   int64             `json:"heap_bytes"` // live, after a garbage collection
	Goroutines  int               `json:"goroutines"`
	Propagation []byte            `json:"in_force,omitempty"` // encoded histogram of microseconds
	Lost        int64             `json:"lost,omitempty"`     // applied versions beyond hollow.MaxAppliedVersions
	Calls       []byte            `json:"calls,omitempty"`    // encoded histogram of nanoseconds
	Served      int64             `json:"served,omitempty"`
	NotServed   int64             `json:"others,omitempty"`
	Skipped     int64             `json:"skipped,omitempty"`
	Failures    map[string]string `json:"failures,omitempty"` // errors of failed proxies by name
}
