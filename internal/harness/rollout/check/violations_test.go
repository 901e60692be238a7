package check_test

import (
	"slices"
	"testing"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/check"
)

// Each check finds the violation that it is for, and no other check finds any.
func TestViolationsAreFound(t *testing.T) {
	for _, test := range []struct {
		name, check string
		last        uint64
		events      []history.Event
	}{
		{
			"an older version after a newer one", check.Backwards, 3,
			[]history.Event{inForce(1*second, 0, 2), inForce(2*second, 2, 1), inForce(3*second, 1, 3)},
		},
		{
			"an older version after a restart with a newer one", check.Backwards, 3,
			[]history.Event{
				inForce(1*second, 0, 2),
				subscribed(2*second, 2),
				inForce(3*second, 2, 1),
				inForce(4*second, 1, 3),
			},
		},
		{
			"a version after 10.1 s", check.Late, 1,
			[]history.Event{put(1*second, 1, false), inForce(11*second+100*ms, 0, 1)},
		},
		{
			"a version 10.1 s after the end of the fault", check.Late, 1,
			append(fault("1-kill", 20*second, 24*second), put(21*second, 1, false), inForce(34*second+100*ms, 0, 1)),
		},
		{
			"a version 10.1 s after the beginning of a fault on one of two relays", check.Late, 1,
			append(fault("3-kill", 40*second, 60*second), put(40*second, 1, false), inForce(50*second+100*ms, 0, 1)),
		},
		{
			"the latest version 11 s after a restart without a version", check.Late, 1,
			[]history.Event{
				put(1*second, 1, false),
				inForce(2*second, 0, 1),
				subscribed(5*second, 0),
				inForce(16*second, 0, 1),
			},
		},
		{
			"an urgent version after 251 ms", check.Urgent, 2,
			[]history.Event{
				put(1*second, 1, false),
				inForce(1*second, 0, 1),
				put(2*second, 2, true),
				inForce(2*second+251*ms, 1, 2),
			},
		},
		{
			"an urgent version after 251 ms, 11 s after a fault", check.Urgent, 1,
			append(fault("1-kill", 20*second, 24*second), put(35*second, 1, true), inForce(35*second+251*ms, 0, 1)),
		},
		{
			"an urgent version after 251 ms, a process off the path waited for a core", check.Urgent, 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(1*second+251*ms, 0, 1),
				waited("followers-9", 1*second+100*ms, 100*ms),
			},
		},
		{
			"an urgent version beyond the bound extended by waits for a core", check.Urgent, 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(1*second+301*ms, 0, 1),
				waited("source", 1*second+100*ms, 30*ms),
				waited("zone-1", 1*second+150*ms, 20*ms),
			},
		},
		{
			"an urgent version beyond the largest extended bound", check.Urgent, 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(2*second+251*ms, 0, 1),
				waited("source", 1*second+100*ms, 2*second),
			},
		},
		{
			"an urgent version late before the wait for a core", check.Urgent, 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(1*second+251*ms, 0, 1),
				waited("source", 1*second+310*ms, 30*ms),
			},
		},
		{
			"a snapshot from the relay that had sent the version", check.Snapshots, 2,
			[]history.Event{inForce(1*second, 0, 1), subscribed(2*second, 1), inForce(3*second, 0, 2)},
		},
		{
			"different items of one version", check.Converged, 2,
			[]history.Event{
				inForce(1*second, 0, 1),
				{
					At: 2 * second, Kind: history.InForce, Who: follower, Resource: resource,
					From: version(1), Version: version(1), Digest: "x",
				},
				inForce(3*second, 1, 2),
			},
		},
		{"an older version at the end", check.Converged, 2, []history.Event{inForce(1*second, 0, 1)}},
		{"an answered put that the source has lost", check.Durable, 2, []history.Event{
			put(1*second, 1, false), inForce(1*second, 0, 1), put(2*second, 2, false),
			inForce(2*second, 1, 2),
			{
				At: 3*second + 10*ms, Kind: history.SourceRead, Resource: resource, Version: version(1),
				Digest: "d1.1", Took: 10 * ms,
			},
		}},
		{"a version with other items at the source", check.Durable, 2, []history.Event{
			inForce(1*second, 0, 1), inForce(4*second, 1, 2),
			{At: 3 * second, Kind: history.SourceRead, Resource: resource, Version: version(1), Digest: "x"},
		}},
		{
			"a report of a version that no follower has", check.Status, 2,
			[]history.Event{inForce(1*second, 0, 1), report(2*second, 2, 1), inForce(3*second, 1, 2)},
		},
		{"one proxy counted twice", check.Status, 1, []history.Event{inForce(1*second, 0, 1), report(2*second, 1, 2)}},
		{
			"one proxy counted twice, after a lag too short to break reads", check.Status, 1,
			[]history.Event{
				inForce(1*second, 0, 1),
				{At: 29 * second, Kind: history.Lag, Who: "rig", Took: 499 * ms},
				report(30*second, 1, 2),
			},
		},
		{
			"one proxy counted three times after a fault", check.Status, 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(30*second, 1, 3)),
		},
		{
			"one proxy counted twice long after a fault", check.Status, 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(47*second, 1, 2)),
		},
		{
			"a follower that is not counted", check.Status, 1,
			[]history.Event{inForce(1*second, 0, 1), report(6*second, 1, 0)},
		},
		{
			"a follower that is not counted long after a fault", check.Status, 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(47*second, 1, 0)),
		},
		{
			"too much memory", check.Bounds, 1,
			[]history.Event{
				inForce(1*second, 0, 1),
				{
					At: 2 * second, Kind: history.Usage, Who: relay,
					Figures: map[string]float64{history.UsageResident: 65 << 20},
				},
			},
		},
		{
			"too many idle bytes", check.Bounds, 1,
			[]history.Event{inForce(1*second, 0, 1), used(90*second, 0), used(95*second, 505)},
		},
		{
			"a process that exits by itself", check.Processes, 1,
			[]history.Event{
				inForce(1*second, 0, 1),
				{At: 2 * second, Kind: history.Exited, Who: relay, Reason: "by itself: exit status 2"},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			verdicts := run(t, test.last, test.events...)
			found := slices.ContainsFunc(verdicts, func(v check.Verdict) bool { return v.Check == test.check })
			if !found {
				t.Errorf("no verdict of check %s in %v", test.check, verdicts)
			}
			for _, v := range verdicts {
				// A wrong state at the end also disagrees with the last report.
				alsoStatus := test.check == check.Converged && v.Check == check.Status
				if v.Check != test.check && !alsoStatus {
					t.Errorf("got verdict of another check: %v", v)
				}
			}
		})
	}
}
