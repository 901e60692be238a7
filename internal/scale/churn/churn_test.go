package churn_test

import (
	"testing"

	"fernlanding/internal/membership"
	"fernlanding/internal/scale/churn"
)

// The version can be computed from a snapshot and from a delta, and the size of the list varies by
// at most one.
func TestVersionFromSnapshotAndDelta(t *testing.T) {
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
			t.Errorf("delta: version %d, want %d", got, version)
		}
		snapshot := &membership.List{Full: true}
		for n, status := range all {
			endpoint := membership.Endpoint{Name: churn.BackendName("a-b", n), Status: status}
			snapshot.Endpoints = append(snapshot.Endpoints, endpoint)
		}
		if got := churn.Version(snapshot, backends); got != version {
			t.Errorf("snapshot: version %d, want %d", got, version)
		}
		first, last, isDraining := churn.BackendRange(version, backends)
		if last-first != len(all) || isDraining != (all[first] == membership.Draining) {
			t.Errorf("version %d: range %d to %d, draining %v; want that of %v", version, first, last, isDraining, all)
		}
	}
}

func TestBackendNumberOfNameWithoutNumber(t *testing.T) {
	for _, name := range []string{"", "x", "x-", "x-1y"} {
		if n := churn.BackendNumber(name); n != -1 {
			t.Errorf("%q: number %d, want -1", name, n)
		}
	}
}
