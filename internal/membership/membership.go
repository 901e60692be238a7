// Package membership defines the endpoint list of a service and the contract of the sources that it
// comes from.
//
// A [Source] follows one registry (the platform's discovery, Consul, a file, relays) and hands a
// [Sink], usually the pool of a service, full lists and deltas, in order. A registry that is silent
// or wrong never empties a pool: the last list stands, and the source reports since when it has
// been silent. Each kind of source is a package of its own below this one; package contract is the
// test suite that all of them pass.
package membership

import "slices"

// Status is the state of an endpoint as its registry has it.
type Status int

// The statuses of an endpoint. Deleted occurs in deltas only.
const (
	Serving  Status = iota
	Draining        // finishes its requests in flight and gets no new ones
	Deleted
)

// Endpoint is one backend as an endpoint list has it.
type Endpoint struct {
	Name      string // the same at every proxy
	Address   string // host:port; may differ from one proxy to the next
	Zone      string
	Cell      int // the pod whose members drop each other's duplicates
	Status    Status
	Weight    float64 // its capacity relative to the others'
	StartedMs int64   // when it last started, Unix time in milliseconds; 0 for long ago
}

// List is a full endpoint list, or a delta: the endpoints that have changed since the version
// before.
type List struct {
	Version   int64
	Full      bool
	Endpoints []Endpoint
}

// Equal reports whether two full lists have the same endpoints in the same order, whatever their
// versions.
func Equal(a, b *List) bool { return a.Full == b.Full && slices.Equal(a.Endpoints, b.Endpoints) }

// Sink receives what a source yields, in order and one call at a time.
type Sink interface {
	// UpdateEndpoints takes a list. Once it has returned, no new request goes to an endpoint that
	// the list drains or removes.
	UpdateEndpoints(list *List)
	// UpdateFailed notes that a call failed or a watch broke. The last list stands.
	UpdateFailed()
}
