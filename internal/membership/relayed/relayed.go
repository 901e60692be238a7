// Package relayed follows endpoint lists that a source of package distribution publishes and relays
// forward. A list is the resource "lists/NAME". The key of an item is the name of the endpoint. The
// value of an item has the form that package reconcile decodes, with address, zone, cell, status,
// weight and since.
//
// Lists has all lists of a process and uses one follower of relays. Services that follow the same
// list share its state, and a service that is added later starts with the present list. While the
// relays are silent or the last update was rejected, the last list stays in use and counts as
// silent.
package relayed

import (
	"context"

	"fernlanding/internal/membership"
)

// Source is a membership.Source of one list.
type Source struct {
	lists *Lists
	list  *followedList
}

// NewSource returns a source of the named list. The list is followed from this call until Run ends.
// A list therefore stays followed if one source ends after another was created and before the Run
// of that one starts.
func NewSource(lists *Lists, name string) *Source {
	return &Source{lists: lists, list: lists.acquire(name)}
}

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, sink membership.Sink) {
	s.list.addSink(sink)
	<-ctx.Done()
	s.list.removeSink(sink)
	s.lists.release(s.list)
}

// Health implements membership.Source. The list counts as silent while no relay responds, while the
// relays have no contact to the distribution's source, and after a rejected update.
func (s *Source) Health() membership.Health { return s.list.health() }
