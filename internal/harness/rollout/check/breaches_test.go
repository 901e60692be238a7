package check_test

import (
	"slices"
	"testing"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/check"
)

// Each check finds what it is there for, and no other check finds anything.
func TestBreachesAreFound(t *testing.T) {
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
			"an older version after a start with a newer one", check.Backwards, 3,
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
			"a version 10.1 s after the beginning of a fault of one of two relays", check.Late, 1,
			append(fault("3-kill", 40*second, 60*second), put(40*second, 1, false), inForce(50*second+100*ms, 0, 1)),
		},
		{
			"the newest version not again after a start with nothing", check.Late, 1,
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
			"an urgent version after 251 ms, the fault 11 s ago", check.Urgent, 1,
			append(fault("1-kill", 20*second, 24*second), put(35*second, 1, true), inForce(35*second+251*ms, 0, 1)),
		},
		{
			"an urgent version after 251 ms, another zone's relay waited", check.Urgent, 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(1*second+251*ms, 0, 1),
				waited("followers-9", 1*second+100*ms, 100*ms),
			},
		},
		{
			"an urgent version later than the waits for a core explain", check.Urgent, 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(1*second+301*ms, 0, 1),
				waited("source", 1*second+100*ms, 30*ms),
				waited("zone-1", 1*second+150*ms, 20*ms),
			},
		},
		{
			"an urgent version later than any waits may make it", check.Urgent, 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(2*second+251*ms, 0, 1),
				waited("source", 1*second+100*ms, 2*second),
			},
		},
		{
			"an urgent version late before a wait for a core", check.Urgent, 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(1*second+251*ms, 0, 1),
				waited("source", 1*second+310*ms, 30*ms),
			},
		},
		{
			"a whole resource from the relay that had told the version", check.Snapshots, 2,
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
		{"an older version in the end", check.Converged, 2, []history.Event{inForce(1*second, 0, 1)}},
		{"an answered put that the source has no more", check.Durable, 2, []history.Event{
			put(1*second, 1, false), inForce(1*second, 0, 1), put(2*second, 2, false),
			inForce(2*second, 1, 2),
			{
				At: 3*second + 10*ms, Kind: history.SourceRead, Resource: resource, Version: version(1),
				Digest: "d1.1", Took: 10 * ms,
			},
		}},
		{"a version that the source has with other items", check.Durable, 2, []history.Event{
			inForce(1*second, 0, 1), inForce(4*second, 1, 2),
			{At: 3 * second, Kind: history.SourceRead, Resource: resource, Version: version(1), Digest: "x"},
		}},
		{
			"a version reported that nobody has", check.Status, 2,
			[]history.Event{inForce(1*second, 0, 1), report(2*second, 2, 1), inForce(3*second, 1, 2)},
		},
		{"one proxy reported twice", check.Status, 1, []history.Event{inForce(1*second, 0, 1), report(2*second, 1, 2)}},
		{
			"one proxy reported twice, a lag too short to break reads", check.Status, 1,
			[]history.Event{
				inForce(1*second, 0, 1),
				{At: 29 * second, Kind: history.Lag, Who: "rig", Took: 499 * ms},
				report(30*second, 1, 2),
			},
		},
		{
			"one proxy reported three times after a fault", check.Status, 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(30*second, 1, 3)),
		},
		{
			"one proxy reported twice long after a fault", check.Status, 1,
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
			"too many bytes at rest", check.Bounds, 1,
			[]history.Event{inForce(1*second, 0, 1), used(90*second, 0), used(95*second, 505)},
		},
		{
			"a process that ends by itself", check.Processes, 1,
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
				t.Errorf("not found by %s; verdicts: %v", test.check, verdicts)
			}
			for _, v := range verdicts {
				// What is wrong at the end shows in the last report too.
				alsoStatus := test.check == check.Converged && v.Check == check.Status
				if v.Check != test.check && !alsoStatus {
					t.Errorf("also %v", v)
				}
			}
		})
	}
}
