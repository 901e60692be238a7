package worker

import (
	"time"

	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/standin"
)

// Spec is the first line of a worker's input: what it runs. Which fields it has depends on its
// group.
type Spec struct {
	Name      string `json:"name"`
	ClockZero int64  `json:"zero"` // of the run's clock
	Group     string `json:"group"`

	// Of a list service.
	SnapshotRate  float64           `json:"rate,omitempty"`
	SnapshotQueue int               `json:"queue,omitempty"`
	RetryAfter    time.Duration     `json:"retry_after,omitempty"`
	SidecarNames  map[string]string `json:"places,omitempty"` // names of sidecars by address
	ClockSkews    map[string]int64  `json:"skews,omitempty"`  // how far its clock is behind, ms, by address

	// Of backends.
	Backends      []string      `json:"backends,omitempty"`
	Cells         []int         `json:"pods,omitempty"`
	Cores         int           `json:"cores,omitempty"`
	QueueLength   int           `json:"waiting,omitempty"`
	ServiceTime   time.Duration `json:"work,omitempty"`
	Warmup        time.Duration `json:"cold,omitempty"`
	StartCapacity float64       `json:"part,omitempty"`
	ColdMultiple  float64       `json:"bears,omitempty"`
	MaxConns      int           `json:"conns,omitempty"`
	StartCold     bool          `json:"fresh,omitempty"` // they start cold; otherwise they are warm

	// Of clients.
	Sidecars       map[string]string `json:"sidecars,omitempty"` // addresses by name
	LocalSidecars  []string          `json:"own,omitempty"`      // preferred, in the local site; empty: all are
	RequestRate    float64           `json:"load,omitempty"`     // requests a second
	HealthInterval time.Duration     `json:"poll,omitempty"`
	Seed           uint64            `json:"seed,omitempty"`

	// Of followers of resources.
	Followers []FollowerSpec `json:"followers,omitempty"`
	Hold      time.Duration  `json:"hold,omitempty"`

	// Of a publisher of resources.
	Source      string     `json:"source,omitempty"` // address
	InitialPuts []plan.Put `json:"first,omitempty"`  // written before the run
	Puts        []plan.Put `json:"puts,omitempty"`
	RunStart    int64      `json:"began,omitempty"` // on the run's clock; 0: it has not started
}

// FollowerSpec describes one follower of resources.
type FollowerSpec struct {
	Name       string   `json:"name"`
	Relays     []string `json:"relays"` // addresses
	RelayNames []string `json:"names"`  // in the order of Relays
	Resources  []string `json:"follows"`
}

// Command is one further line of a worker's input. Do is one of the commands below.
type Command struct {
	Do      string           `json:"do"`
	Mode    string           `json:"mode,omitempty"`
	Names   []string         `json:"names,omitempty"`
	Members []standin.Member `json:"members,omitempty"`
	On      bool             `json:"on,omitempty"`
	At      int64            `json:"at,omitempty"` // on the run's clock
}

// The commands, with the group that each is for.
const (
	DoMode           = "mode"    // list service: answers in Mode
	DoMembers        = "members" // list service: Members have changed; those that are DELETED leave
	DoStop           = "end"     // backends: Names stop, as with the end of their processes
	DoStart          = "start"   // backends: Names start, cold
	DoChoke          = "choke"   // backends: Names are slowed down many times (On), or no longer
	DoFail           = "fail"    // backends: Names answer 500 at once (On), or no longer
	DoReuseAddresses = "move"    // backends: another service takes the addresses of Names (On), or they take them back
	DoLoad           = "load"    // clients: the load starts (On), or ends
	DoInitialPuts    = "first"   // publisher: writes InitialPuts
	DoStartPuts      = "begin"   // publisher: the run starts at At
	DoRestart        = "restart" // followers: all start again with the versions that they hold
)

// Hello is the first line of a worker's output: where it listens.
type Hello struct {
	Address   string            `json:"address,omitempty"`   // of a list service
	Addresses map[string]string `json:"addresses,omitempty"` // of backends, by name
}
