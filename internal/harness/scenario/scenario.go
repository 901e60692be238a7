// Package scenario describes a run of the harness: the number of processes of each kind, the load,
// and the fault schedule. The package is pure: file contents and seeds are arguments.
package scenario

import (
	"time"

	"fernlanding/internal/tomldoc"
)

// Limits of a scenario.
const (
	MaxFile     = tomldoc.MaxFile // size of a scenario file in bytes
	MaxSidecars = 1000
	MaxBackends = 1000
	MaxLists    = 16
	MaxDuration = 10 * time.Minute
	MaxRate     = 20_000 // requests per second
	maxFaults   = 1000
	maxWorkers  = 64
)

// Scenario describes a run.
type Scenario struct {
	Name     string
	Seed     uint64
	Duration time.Duration // counted from the time at which all processes have been started
	Sidecars Sidecars
	Lists    Lists
	Backends Backends
	Clients  Clients
	Bounds   Bounds
	Random   Random
	Faults   []Fault
}

// Sidecars are the processes under test.
type Sidecars struct {
	Count            int
	Sites            []string      // sites, to which sidecars are assigned in turn
	KnowReplicaCount bool          // sidecars are configured with the number of replicas
	StartSpread      time.Duration // period over which the sidecars are started; 0 means all at once
	MemoryMB         float64       // configured memory limit of a sidecar
	Sockets          int           // configured socket limit of a sidecar
	PersistState     bool          // each sidecar has a state directory that outlives its process
	ClockSkew        time.Duration // largest difference of a sidecar's clock to the list services', in both directions
}

// Lists are the stand-in list services, one process each. Sidecars are assigned to the services in
// turn.
type Lists struct {
	Count        int
	SnapshotRate float64       // snapshots per second that each service serves, one at a time; 0 means no limit
	QueueLength  int           // queued requests for snapshots, beyond which requests get 503
	RetryAfter   time.Duration // value of Retry-After in 503 responses
}

// Backends are the stand-in backends. Several backends share a process.
type Backends struct {
	Count         int
	Processes     int           // processes that the backends are distributed over
	Cores         int           // requests that a backend executes at the same time
	QueueLength   int           // requests that wait for a core of a backend, beyond which requests get 503
	ServiceTime   time.Duration // execution time of a request
	Warmup        time.Duration // time until a cold backend is warm; 0 means that all backends are warm
	StartCapacity float64       // share of its capacity that a cold backend starts with
	ColdMultiple  float64       // requests that a cold backend tolerates, as a multiple of its current capacity
	StartCold     bool          // all backends are cold when the run starts
	MaxConns      int           // connections of a backend, beyond which connections are closed; 0 means no limit
	AcceptRate    float64       // connections per second that a backend accepts; 0 means no limit
	Backlog       int           // length of a backend's accept queue; 0 means the system's default
}

// Clients are the stand-in clients, which send the load.
type Clients struct {
	Rate            float64 // requests per second of all clients together
	Processes       int
	Quota           float64       // requests per second of the tenant in the sidecars' configuration; 0 means no tenant
	HealthInterval  time.Duration // interval between two health checks of a sidecar
	CrossSite       bool          // clients use another site if no sidecar of their own site is ready
	PriorityWeights bool          // sidecars are configured with the classes' priority weights; else all weigh the same
}

// Bounds are limits that a run has to keep in addition to the checks of every run. 0 means no
// limit.
type Bounds struct {
	MaxSnapshotRate    float64       // snapshots of all list services in any second
	MaxConnectRate     float64       // connections to one backend in any second
	MinReady           float64       // share of the sidecar starts that become ready within ReadyWithin
	ReadyWithin        time.Duration // time from a sidecar's start to readiness
	MinServed          float64       // share of the requests that are served
	LossRecoveryWithin time.Duration // time from the loss of a site until 95% of the servable requests are served
	MinServedAfterLoss float64       // share of the weighted requests served in the 30 s after the end of a loss
}

// Random describes faults that are drawn from the seed.
type Random struct {
	Count       int
	Kinds       []Kind
	From        time.Duration
	Until       time.Duration
	MaxDuration time.Duration // longest duration of a drawn fault, without the minimum of 100 ms
}
