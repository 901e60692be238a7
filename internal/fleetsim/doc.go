// Package fleetsim simulates days of a complete fleet on a virtual clock: tiers of backends, the
// replicas of the decision module before them, clients that retry, and faults. Every replica is a
// real logic.Balancer; nothing else decides.
//
// A day is a pure function of its description ([Day]) and its seed: no goroutine, no clock, no
// global state. [Read] reads a description, [Run] simulates it, [Evaluate] and [Sweep] compare it
// with the same day without its faults. The model of the backends, and the closed forms that it is
// tested against, are described in docs/design/recovery.md.
//
// The files by concern:
//
//   - day.go, fault.go, read.go, defaults.go, validate.go, capacity.go: a day's description.
//   - event_queue.go, simulation.go, topology.go, inject.go: the simulation, its processes and its
//     faults.
//   - workload.go, client.go: the requests and the clients that send them.
//   - replica.go, host.go: a replica of the decision module and what carries out its decisions.
//   - backend.go, job.go, call.go, overload.go: a backend that serves by processor sharing.
//   - metrics.go, audit.go, result.go, sweep.go, trace.go: what a day comes to.
//
// In this package a client request is what a client wants, over all its attempts; a request is what
// a replica is handed, which is one attempt of a client or one call of a backend; an attempt is a
// replica's attempt at a backend, which the backend holds as a job.
package fleetsim
