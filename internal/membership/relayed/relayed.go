// Package relayed follows lists of backends that a source of distribution publishes and relays pass on. A list is the
// resource "lists/NAME": an item's key is the backend's name, its value is worded as package reconcile reads entries, with
// address, zone, cell, status, weight and since.
//
// Lists has all lists of a process, over one follower of relays. Services that follow the same list share one state of
// it, and one that comes later begins with the list as it stands.
package relayed

import (
	"context"
	"fernlanding/internal/membership"
)

// Source is a membership.Source of one list.
type Source struct {
	lists *Lists
	list  *list
}

// NewSource returns a source of the list of a name, which is followed from here on, until Run ends. So a list does not
// lapse between the end of a source and the Run of another that was made before.
func NewSource(lists *Lists, name string) *Source {
	return &Source{lists: lists, list: lists.acquire(name)}
}

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, sink membership.Sink) {
	s.list.add(sink)
	<-ctx.Done()
	s.list.remove(sink)
	s.lists.release(s.list)
}

// Health implements membership.Source. The list counts as silent while no relay answers, while the relays hear nothing from
// the source, and after an update that was refused.
func (s *Source) Health() membership.Health { return s.list.health() }
