package churn_test

import (
	"testing"

	"fernlanding/internal/membership"
	"fernlanding/internal/scale/churn"
)

// Snapshots and deltas alike determine the version that they lead to, and the list keeps its size
// within one.
func TestVersionFollowsFromList(t *testing.T) {
	const backends = 5
	all := map[int]membership.Status{}
	for n := range backends {
		all[n] = membership.Serving
	}
	for version := int64(1); version < 100; version++ {
		change := churn.At(version, backends)
		delta := membership.Endpoint{Name: churn.BackendName("a-b", change.Backend)}
		switch change.Kind {
		case churn.Drain:
			delta.Status = membership.Draining
			all[change.Backend] = membership.Draining
		case churn.Delete:
			delta.Status = membership.Deleted
			delete(all, change.Backend)
		case churn.Join:
			all[change.Backend] = membership.Serving
		}
		if got := churn.Version(&membership.List{Endpoints: []membership.Endpoint{delta}}, backends); got != version {
			t.Errorf("change to version %d read as %d", version, got)
		}
		snapshot := &membership.List{Full: true}
		for n, status := range all {
			endpoint := membership.Endpoint{Name: churn.BackendName("a-b", n), Status: status}
			snapshot.Endpoints = append(snapshot.Endpoints, endpoint)
		}
		if got := churn.Version(snapshot, backends); got != version {
			t.Errorf("list of version %d read as %d", version, got)
		}
		first, last, isDraining := churn.BackendRange(version, backends)
		if last-first != len(all) || isDraining != (all[first] == membership.Draining) {
			t.Errorf("version %d: %d to %d, draining %v; the list is %v", version, first, last, isDraining, all)
		}
	}
}

func TestNumberOfNamesWithoutOne(t *testing.T) {
	for _, name := range []string{"", "x", "x-", "x-1y"} {
		if n := churn.BackendNumber(name); n != -1 {
			t.Errorf("%q has number %d", name, n)
		}
	}
}
