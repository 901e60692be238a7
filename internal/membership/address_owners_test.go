package membership

import (
	"slices"
	"testing"
)

// at returns a serving endpoint.
func at(name, address string, startedMs int64) Endpoint {
	return Endpoint{Name: name, Address: address, StartedMs: startedMs}
}

// withStatus returns an endpoint with a status.
func withStatus(e Endpoint, status Status) Endpoint {
	e.Status = status
	return e
}

// An endpoint whose address has been taken over is removed, and comes back only with a new start or
// address. Endpoints that started at the same time keep their address.
func TestAddressOwners(t *testing.T) {
	full := func(endpoints ...Endpoint) *List { return &List{Full: true, Endpoints: endpoints} }
	delta := func(endpoints ...Endpoint) *List { return &List{Endpoints: endpoints} }
	old, other, next := at("old", "x", 0), at("other", "y", 0), at("next", "x", 5)
	deletedOld := Endpoint{Name: "old", Address: "x", Status: Deleted}
	for name, steps := range map[string][][2]*List{
		"full list with both": {{full(old, other, next), full(other, next)}},
		"full list, newer first": {
			{full(next, old), full(next)},
			{full(old, other), full(other)}, // the address had been taken over
		},
		"delta with the newer": {
			{full(old, other), full(old, other)},
			{delta(next), delta(next, deletedOld)},
			{delta(withStatus(next, Draining)), delta(withStatus(next, Draining), deletedOld)},
			{delta(withStatus(next, Deleted)), delta(withStatus(next, Deleted), deletedOld)},
			{delta(old), delta(deletedOld)}, // the address had been taken over
			{delta(at("old", "x", 6)), delta(at("old", "x", 6))},
		},
		"delta with the older": {
			{full(next), full(next)},
			{delta(old), delta(deletedOld)},
			{delta(at("old", "z", 0)), delta(at("old", "z", 0))},
			{delta(next), delta(next)},
		},
		"same start": {{full(old, at("alias", "x", 0)), full(old, at("alias", "x", 0))}},
		"newer moves in": {
			{full(old, at("next", "z", 5)), full(old, at("next", "z", 5))},
			{delta(next), delta(next, deletedOld)},
		},
		"deletion of an unlisted endpoint": {{delta(withStatus(next, Deleted)), delta(withStatus(next, Deleted))}},
	} {
		owners := NewAddressOwners()
		for i, step := range steps {
			got := owners.Apply(step[0])
			if got.Full != step[1].Full || !slices.Equal(got.Endpoints, step[1].Endpoints) {
				t.Errorf("%s, step %d:\ngot  %+v\nwant %+v", name, i, got.Endpoints, step[1].Endpoints)
			}
		}
		owners.Apply(full())
		if len(owners.endpoints) != 0 || len(owners.addresses) != 0 {
			t.Errorf("%s: an empty list leaves %v and %v", name, owners.endpoints, owners.addresses)
		}
	}
}
