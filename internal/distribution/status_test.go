package distribution

import (
	"fmt"
	"slices"
	"testing"
)

// Reports of relays are snapshots: only the last report of each relay counts, and the report of a
// closed session does not.
func TestMergedStatus(t *testing.T) {
	s := NewSessions(DefaultSessionLimits())
	open(t, s, "s1", openRequest("p1", KindProxy, positionAt("r", at(1, 2))), testStart)
	relay := open(t, s, "s2", openRequest("relay", KindRelay, positionAt("r", at(1, 2))), testStart)
	for _, behind := range []int{3, 1} {
		report := ResourceStatus{
			Resource: "r",
			Counts:   []VersionCount{{at(1, 2), 10}, {at(1, 1), behind}},
			Laggards: []Laggard{{"p9", at(1, 1)}},
		}
		req := &FollowRequest{Follower: "relay", Kind: KindRelay, Session: "s2", Statuses: []ResourceStatus{report}}
		if _, err := s.Resume(req, testStart); err != nil {
			t.Fatal(err)
		}
	}
	status := s.Status("r", at(1, 3))
	if err := status.Validate(); err != nil {
		t.Error(err)
	}
	if want := []VersionCount{{at(1, 3), 0}, {at(1, 2), 11}, {at(1, 1), 1}}; !slices.Equal(status.Counts, want) {
		t.Errorf("counts: got %v, want %v", status.Counts, want)
	}
	if want := []Laggard{{"p9", at(1, 1)}, {"p1", at(1, 2)}}; !slices.Equal(status.Laggards, want) {
		t.Errorf("laggards: got %v, want %v", status.Laggards, want)
	}
	s.Close(relay)
	status = s.Status("r", at(1, 2))
	if progress := status.Progress(at(1, 2)); !progress.Done() || progress.Proxies != 1 {
		t.Errorf("after the relay's session closed: got %+v, want 1 proxy with its version in force", status)
	}
}

// A merged status stays within its bounds, and counts no version as in force where it is not.
func TestStatusIsBounded(t *testing.T) {
	var parts []*ResourceStatus
	for p := range 5 {
		part := &ResourceStatus{Resource: "r"}
		for i := range MaxCounts {
			part.Counts = append(part.Counts, VersionCount{at(1, uint64(p*MaxCounts+i+1)), 1})
		}
		for i := range MaxLaggards {
			part.Rejections = append(part.Rejections, Rejection{fmt.Sprintf("p%d-%d", p, i), at(1, 5), "no"})
			part.Laggards = append(part.Laggards, Laggard{fmt.Sprintf("p%d-%d", p, i), at(1, 1)})
		}
		parts = append(parts, part)
	}
	merged := MergeStatus("r", at(2, 1), parts...)
	if err := merged.Validate(); err != nil {
		t.Error(err)
	}
	if progress := merged.Progress(at(2, 1)); progress.Proxies != 5*MaxCounts {
		t.Errorf("got %d proxies, want %d", progress.Proxies, 5*MaxCounts)
	}
	for revision := 1; revision <= 5*MaxCounts; revision += 7 {
		progress := merged.Progress(at(1, uint64(revision)))
		if most := 5*MaxCounts - revision + 1; progress.InForce > most {
			t.Errorf("revision %d: got %d proxies in force, want at most %d", revision, progress.InForce, most)
		}
	}
}
