// Package fleetsim simulates a complete fleet on a virtual clock. The fleet consists of tiers of
// backends, replicas of the proxy's decision module in front of each tier, and clients that retry.
// Faults disturb it. Each replica is a real logic.Balancer, which makes all routing and admission
// decisions.
//
// One simulated run is called a day. A day is a pure function of its description ([Day]) and its
// seed: the simulation uses no goroutines, no real clock and no global state. [Read] reads a
// description and [Run] simulates it. [Evaluate] and [Sweep] compare a day with the same day
// without faults. docs/design/recovery.md describes the model of the backends and the closed-form
// results that the model is tested against.
//
// The files by concern:
//
//   - day.go, fault.go, read.go, defaults.go, validate.go, capacity.go: the description of a day.
//   - event_queue.go, simulation.go, topology.go, inject.go: the simulation, its processes and its
//     faults.
//   - workload.go, client.go: the requests and the clients that send them.
//   - replica.go, host.go: a replica and the host that carries out its decisions.
//   - backend.go, job.go, call.go, overload.go: a backend that serves by processor sharing.
//   - metrics.go, audit.go, result.go, sweep.go, trace.go: the measurements and results of a day.
//
// Three terms are distinct in this package. A client request is what a client wants, over all its
// attempts. A request is what a replica receives: one attempt of a client or one call of a backend.
// An attempt is one forwarding of a request to a backend, which holds the attempt as a job.
package fleetsim
