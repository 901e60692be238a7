// Package membership says what a list of backends is, wherever it comes from. Each source yields whole lists
// and changes, in order.
package membership

import "slices"

// Status is what a list says of a backend.
type Status int

// The statuses of a backend. Deleted stands among changes only.
const (
	Serving  Status = iota
	Draining        // finishes what it has, wants nothing new
	Deleted
)

// Endpoint is one backend as a list has it.
type Endpoint struct {
	Name    string // the same at every proxy
	Address string // host:port; may differ from one proxy to the next
	Zone    string
	Cell    int // the pod whose members drop each other's duplicates
	Status  Status
	Weight  float64 // its size against the others'
	SinceMs int64   // when it last started, Unix time in milliseconds; 0 for long ago
}

// List is the whole list of backends, or what has changed in it since the version before.
type List struct {
	Version   int64 // the version
	Full      bool
	Endpoints []Endpoint
}

// Equal tells whether two whole lists name the same backends, whatever their version.
func Equal(a, b *List) bool { return a.Full == b.Full && slices.Equal(a.Endpoints, b.Endpoints) }

// Sink takes what a source yields, in order, and one call at a time.
type Sink interface {
	// UpdateEndpoints takes a list. Nothing new goes to a backend that it drains or lacks once Listed has returned.
	UpdateEndpoints(*List)
	// UpdateFailed takes the news that a call failed or a subscription broke. The old list stands.
	UpdateFailed()
}
