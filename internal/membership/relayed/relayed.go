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
	name  string
	began membership.Health // until it runs
	list  *list             // while it runs; guarded by lists.mu
}

// NewSource returns a source of the list of a name that has not run.
func NewSource(lists *Lists, name string) *Source {
	return &Source{lists: lists, name: name, began: membership.Health{Silent: lists.now()}}
}

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, sink membership.Sink) {
	leave := s.lists.join(s, sink)
	<-ctx.Done()
	leave()
}

// Health implements membership.Source. The list counts as silent while no relay answers, while the relays hear nothing from
// the source, and after an update that was refused.
func (s *Source) Health() membership.Health {
	l := s.lists.listOf(s)
	if l == nil {
		return s.began
	}
	return l.health()
}
