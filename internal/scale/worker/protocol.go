package worker

import (
	"fernlanding/internal/scale/hollow"
	"fernlanding/internal/scale/topology"
)

// Role is the job of a worker.
type Role string

// The roles.
const (
	Proxies     Role = "proxies" // runs hollow proxies
	ListService Role = "lists"   // is a list service and changes its lists
	Publisher   Role = "publish" // writes lists to a source of distribution and changes them
)

// Spec is the first line that a worker reads: what it is to be.
type Spec struct {
	Role         Role            `json:"role"`
	Layout       topology.Layout `json:"layout"`
	First        int             `json:"first,omitempty"`  // of Proxies: the number of the first proxy
	GCPercent    int             `json:"gc,omitempty"`     // of Proxies: the garbage collection target; 0: the default
	Count        int             `json:"count,omitempty"`  // of Proxies
	Index        int             `json:"index,omitempty"`  // of Lists: its index among the list services
	ListServices int             `json:"of,omitempty"`     // of Lists: how many there are
	Source       string          `json:"source,omitempty"` // of Publisher: the address of the source
}

// CommandKind names a command.
type CommandKind string

// The commands.
const (
	// CommandStart has Proxies start and wait until they have all lists, and a Publisher write all
	// lists.
	CommandStart CommandKind = "start"
	// CommandLoad has Proxies begin to make calls, and Lists and a Publisher begin to change lists.
	CommandLoad CommandKind = "load"
	// CommandUsage asks for what was used since the worker's start.
	CommandUsage CommandKind = "usage"
	// CommandChanges asks Lists and a Publisher for the changes made since the last such command.
	CommandChanges CommandKind = "changes"
	// CommandCollect asks for the live state after a garbage collection; Proxies also for the times
	// that Command.Changes took until they were in force, and the outcomes of calls.
	CommandCollect CommandKind = "collect"
)

// Command is a further line that a worker reads.
type Command struct {
	Kind    CommandKind `json:"do"`
	Changes []Change    `json:"changes,omitempty"`
}

// Change is a version of a service's list with the time of its making.
type Change struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
	At      int64  `json:"at"` // of hollow.MonotonicNow, before the write
}

// Reply is the line that answers a command or the Spec.
type Reply struct {
	Error   string   `json:"error,omitempty"`   // why the command failed
	Address string   `json:"address,omitempty"` // of Lists, in reply to the Spec
	Usage   Usage    `json:"usage,omitzero"`
	Changes []Change `json:"changes,omitempty"`
	State   State    `json:"state,omitzero"`
}

// Usage is what a worker has used since its start.
type Usage struct {
	At             int64   `json:"at"` // of hollow.MonotonicNow
	CPUSeconds     float64 `json:"cpu_seconds"`
	AllocatedBytes int64   `json:"allocated_bytes"`
	Allocations    int64   `json:"allocations"`
	hollow.Traffic
}

// State is what a worker holds at a moment, and what it has measured since the last CommandCollect.
type State struct {
	HeapBytes   int64             `json:"heap_bytes"` // live, after a garbage collection
	Goroutines  int               `json:"goroutines"`
	Propagation []byte            `json:"in_force,omitempty"` // a histogram of microseconds, encoded
	Lost        int64             `json:"lost,omitempty"`     // arrivals beyond hollow.MaxArrivals
	Calls       []byte            `json:"calls,omitempty"`    // a histogram of nanoseconds, encoded
	Served      int64             `json:"served,omitempty"`
	NotServed   int64             `json:"others,omitempty"`
	Skipped     int64             `json:"skipped,omitempty"`
	Failures    map[string]string `json:"failures,omitempty"` // why proxies ended, by name
}
