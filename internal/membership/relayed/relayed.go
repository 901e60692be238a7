// Package relayed follows endpoint lists that a source of package distribution publishes and relays
// pass on. A list is the resource "lists/NAME": an item's key is the endpoint's name, its value has
// the form that package reconcile decodes, with address, zone, cell, status, weight and since.
//
// Lists has all lists of a process, over one follower of relays. Services that follow the same list
// share one state of it, and one that comes later begins with the list as it stands. While the
// relays are silent, or an update was rejected, the last list stands and counts as silent.
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

// NewSource returns a source of the named list, which is followed from here on, until Run ends. So
// the list does not lapse between the end of one source and the Run of another that was made
// before.
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

// Health implements membership.Source. The list counts as silent while no relay answers, while the
// relays hear nothing from the distribution's source, and after an update that was rejected.
func (s *Source) Health() membership.Health { return s.list.health() }
