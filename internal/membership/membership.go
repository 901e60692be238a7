// Package membership defines the endpoint list of a service and the contract of the sources that
// provide it.
//
// A [Source] follows one registry (the platform's discovery, Consul, a file, relays) and passes
// full lists and deltas, in order, to a [Sink], which is usually the pool of a service. A registry
// that does not answer or answers wrongly never empties a pool: the last list stays in use, and the
// source reports the time since which the registry has been silent. Each kind of source is a
// subpackage. Package contract is the test suite that all sources pass.
package membership

import "slices"

// Status is the state of an endpoint as the registry reports it.
type Status int

// The statuses of an endpoint. Deleted occurs in deltas only.
const (
	Serving  Status = iota
	Draining        // finishes its requests in flight and gets no new ones
	Deleted
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	Name      string // identical at every proxy
	Address   string // host:port; may differ between proxies
	Zone      string
	Cell      int // the pod whose members drop each other's duplicates
	Status    Status
	Weight    float64 // capacity relative to the other endpoints
	StartedMs int64   // time of the last start, Unix time in milliseconds; 0 means long ago
}

// List is a full endpoint list, or a delta. A delta holds the endpoints that have changed since the
// previous version.
type List struct {
	Version   int64
	Full      bool
	Endpoints []Endpoint
}

// Equal reports whether two full lists have the same endpoints in the same order. Versions are not
// compared.
func Equal(a, b *List) bool { return a.Full == b.Full && slices.Equal(a.Endpoints, b.Endpoints) }

// Sink receives the lists of a source, in order and one call at a time.
type Sink interface {
	// UpdateEndpoints applies a list. After it returns, no new request goes to an endpoint that the
	// list drains or removes.
	UpdateEndpoints(list *List)
	// UpdateFailed reports that a call failed or a watch broke. The last list stays in use.
	UpdateFailed()
}
