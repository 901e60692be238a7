package worker

import (
	"time"

	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/standin"
)

// Spec is the first line of a worker's input. It describes the stand-ins that the worker runs. The
// fields in use depend on Group.
type Spec struct {
	Name      string `json:"name"`
	ClockZero int64  `json:"zero"` // start of the run's clock, for history.ClockFrom
	Group     string `json:"group"`

	// Fields of a list service.
	SnapshotRate  float64           `json:"rate,omitempty"`
	SnapshotQueue int               `json:"queue,omitempty"`
	RetryAfter    time.Duration     `json:"retry_after,omitempty"`
	SidecarNames  map[string]string `json:"places,omitempty"` // names of sidecars by address
	ClockSkews    map[string]int64  `json:"skews,omitempty"`  // delay of each sidecar's clock in ms, by address

	// Fields of backends.
	Backends      []string      `json:"backends,omitempty"`
	Cells         []int         `json:"pods,omitempty"`
	Cores         int           `json:"cores,omitempty"`
	QueueLength   int           `json:"waiting,omitempty"`
	ServiceTime   time.Duration `json:"work,omitempty"`
	Warmup        time.Duration `json:"cold,omitempty"`
	StartCapacity float64       `json:"part,omitempty"`
	ColdMultiple  float64       `json:"bears,omitempty"`
	MaxConns      int           `json:"conns,omitempty"`
	StartCold     bool          `json:"fresh,omitempty"` // the backends start cold instead of warm

	// Fields of clients.
	Sidecars       map[string]string `json:"sidecars,omitempty"` // addresses of sidecars by name
	LocalSidecars  []string          `json:"own,omitempty"`      // sidecars in the clients' site; empty means all
	RequestRate    float64           `json:"load,omitempty"`     // requests per second
	HealthInterval time.Duration     `json:"poll,omitempty"`
	Seed           uint64            `json:"seed,omitempty"`

	// Fields of followers of resources.
	Followers []FollowerSpec `json:"followers,omitempty"`
	Hold      time.Duration  `json:"hold,omitempty"`

	// Fields of a publisher of resources.
	Source      string     `json:"source,omitempty"` // address of the source
	InitialPuts []plan.Put `json:"first,omitempty"`  // puts written before the run starts
	Puts        []plan.Put `json:"puts,omitempty"`
	RunStart    int64      `json:"began,omitempty"` // start on the run's clock; 0 means that the run has not started
}

// FollowerSpec describes one follower of resources.
type FollowerSpec struct {
	Name       string   `json:"name"`
	Relays     []string `json:"relays"` // addresses of relays
	RelayNames []string `json:"names"`  // names of relays, in the order of Relays
	Resources  []string `json:"follows"`
}

// Command is a line of a worker's input after the first. Do is one of the commands below.
type Command struct {
	Do      string           `json:"do"`
	Mode    string           `json:"mode,omitempty"`
	Names   []string         `json:"names,omitempty"`
	Members []standin.Member `json:"members,omitempty"`
	On      bool             `json:"on,omitempty"`
	At      int64            `json:"at,omitempty"` // time on the run's clock
}

// The commands, each with the group that supports it.
const (
	DoMode           = "mode"    // list service: sets Mode
	DoMembers        = "members" // list service: updates Members; removes those with status DELETED
	DoStop           = "end"     // backends: stops Names, as if their processes had exited
	DoStart          = "start"   // backends: starts Names, cold
	DoChoke          = "choke"   // backends: slows Names down by a large factor if On, else ends that
	DoFail           = "fail"    // backends: makes Names respond with 500 at once if On, else ends that
	DoReuseAddresses = "move"    // backends: gives the addresses of Names to another service if On, else back
	DoLoad           = "load"    // clients: starts the load if On, else ends it
	DoInitialPuts    = "first"   // publisher: writes Spec.InitialPuts
	DoStartPuts      = "begin"   // publisher: writes Spec.Puts for a run that starts at At
	DoRestart        = "restart" // followers: restarts all followers with the versions that they hold
)

// Hello is the first line of a worker's output. It has the worker's listening addresses.
type Hello struct {
	Address   string            `json:"address,omitempty"`   // address of a list service
	Addresses map[string]string `json:"addresses,omitempty"` // addresses of backends, by name
}
