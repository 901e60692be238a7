// Package scenario describes a run of the harness: how many processes of each kind, the load, and
// which faults happen when. It is pure: bytes and a seed come in as arguments.
package scenario

import (
	"time"

	"fernlanding/internal/tomldoc"
)

// Bounds of a scenario.
const (
	MaxFile     = tomldoc.MaxFile // bytes
	MaxSidecars = 1000
	MaxBackends = 1000
	MaxLists    = 16
	MaxDuration = 10 * time.Minute
	MaxRate     = 20_000 // requests a second
	maxFaults   = 1000
	maxWorkers  = 64
)

// Scenario describes a run.
type Scenario struct {
	Name     string
	Seed     uint64
	Duration time.Duration // from when all processes have been started
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
	Sites            []string      // assigned in turn
	KnowReplicaCount bool          // they are configured with the number of replicas
	StartSpread      time.Duration // over which they are started; 0: all at once
	MemoryMB         float64
	Sockets          int
	PersistState     bool          // each has a state directory that outlives its process
	ClockSkew        time.Duration // between their clocks and the list services', at most, either way
}

// Lists are the stand-in list services, one process each. Sidecars are assigned to them in turn.
type Lists struct {
	Count        int
	SnapshotRate float64       // snapshots a second that each serves, in turn; 0: at once
	QueueLength  int           // requests for snapshots that wait; further ones get 503
	RetryAfter   time.Duration // that is sent with 503
}

// Backends are the stand-in backends. Several share a process.
type Backends struct {
	Count         int
	Processes     int
	Cores         int
	QueueLength   int
	ServiceTime   time.Duration
	Warmup        time.Duration // until a cold one is warm; 0: at once
	StartCapacity float64       // share of its capacity that a cold one starts with
	ColdMultiple  float64       // requests that a cold one tolerates, in times of its present capacity
	StartCold     bool          // all of them are cold when the run starts
	MaxConns      int           // of each; further ones are closed; 0: no bound
	AcceptRate    float64       // connections a second that each accepts; 0: no bound
	Backlog       int           // of connections to accept, beyond which none is established; 0: the system's
}

// Clients are the stand-in clients, which send the load.
type Clients struct {
	Rate            float64 // requests a second, over all
	Processes       int
	Quota           float64       // requests a second of the one tenant, as sidecars are configured; 0: no tenant
	HealthInterval  time.Duration // between two health checks of a sidecar
	CrossSite       bool          // they use another site if none of their own sidecars is ready
	PriorityWeights bool          // sidecars are configured with the classes' priority weights; otherwise all are alike
}

// Bounds are what a run has to keep beyond the checks of every run; 0 is no bound.
type Bounds struct {
	MaxSnapshotRate    float64       // snapshots a second over all list services, in any second
	MaxConnectRate     float64       // connections a second to one backend, in any second
	MinReady           float64       // share of the sidecars that are ready...
	ReadyWithin        time.Duration // ...this soon after their start
	MinServed          float64       // share of the requests that is served
	LossRecoveryWithin time.Duration // after the loss of a site, until 95% of what can be served is
	MinServedAfterLoss float64       // share of the weighted requests that is served in the 30 s after a loss
}

// Random describes faults that are drawn from the seed.
type Random struct {
	Count       int
	Kinds       []Kind
	From        time.Duration
	Until       time.Duration
	MaxDuration time.Duration // of each
}
