package check_test

import (
	"testing"

	"fernlanding/internal/harness/history"
)

// Histories that come close to a violation get no verdict.
func TestNearMissesPass(t *testing.T) {
	for _, test := range []struct {
		name   string
		last   uint64
		events []history.Event
	}{
		{
			"an older version after a start with nothing", 3,
			[]history.Event{
				inForce(1*second, 0, 2),
				subscribed(2*second, 0),
				inForce(3*second, 0, 1),
				inForce(4*second, 1, 3),
			},
		},
		{"a version after 10 s", 1, []history.Event{put(1*second, 1, false), inForce(11*second, 0, 1)}},
		{
			"a version superseded by a later one", 2,
			[]history.Event{put(1*second, 1, false), put(9*second, 2, false), inForce(11*second, 0, 2)},
		},
		{
			"a version before its put was answered", 1,
			[]history.Event{inForce(1*second, 0, 1), put(1*second+50*ms, 1, true)},
		},
		{"a version that is rejected in time", 2, []history.Event{
			put(1*second, 1, false),
			{At: 2 * second, Kind: history.UpdateRejected, Who: follower, Resource: resource, Version: version(1)},
			put(20*second, 2, false), inForce(21*second, 0, 2),
		}},
		{
			"a version 10 s after the end of the fault", 1,
			append(fault("1-kill", 20*second, 24*second), put(21*second, 1, false), inForce(34*second, 0, 1)),
		},
		{
			"a fault that begins 9.9 s after the put", 1,
			append(fault("1-kill", 20*second, 24*second), put(10*second+100*ms, 1, false), inForce(34*second, 0, 1)),
		},
		{
			"a put without an answer", 1,
			[]history.Event{
				{At: 1 * second, Kind: history.Put, Resource: resource, Reason: "timeout"},
				inForce(50*second, 0, 1),
			},
		},
		{"an urgent version after 250 ms", 1, []history.Event{put(2*second, 1, true), inForce(2*second+250*ms, 0, 1)}},
		{
			"an urgent version after 251 ms, 9 s after a fault", 1,
			append(fault("1-kill", 20*second, 24*second), put(33*second, 1, true), inForce(33*second+251*ms, 0, 1)),
		},
		{
			"an urgent version after 251 ms, less than 10 s after the follower's restart", 1,
			append(fault("2-restart", 30*second, 31*second), put(39*second, 1, true), inForce(39*second+251*ms, 0, 1)),
		},
		{
			"an urgent version within the bound extended by waits for a core", 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(1*second+300*ms, 0, 1),
				waited("source", 1*second+100*ms, 30*ms),
				waited("zone-1", 1*second+150*ms, 20*ms),
			},
		},
		{
			"an urgent version within the largest extended bound", 1,
			[]history.Event{
				put(1*second, 1, true),
				inForce(2*second+250*ms, 0, 1),
				waited("source", 1*second+100*ms, 2*second),
			},
		},
		{
			"an urgent version with a fault within the extended bound", 1,
			append(
				fault("1-kill", 20*second, 24*second),
				put(19*second+500*ms, 1, true),
				inForce(26*second, 0, 1),
				waited("source", 19*second+600*ms, 300*ms),
			),
		},
		{
			"a snapshot from a relay that has restarted", 2,
			[]history.Event{
				inForce(1*second, 0, 1),
				{At: 2 * second, Kind: history.Started, Who: relay},
				inForce(3*second, 0, 2),
			},
		},
		{
			"a snapshot from a relay that has never sent the version", 2,
			[]history.Event{
				inForce(1*second, 0, 1),
				{
					At: 3 * second, Kind: history.InForce, Who: follower, To: "zone-2",
					Resource: resource, Version: version(2), Digest: "d1.2",
				},
			},
		},
		{
			"a snapshot for a follower without a version", 2,
			[]history.Event{inForce(1*second, 0, 1), subscribed(2*second, 0), inForce(3*second, 0, 2)},
		},
		{
			"a report of a version that was in force until then", 2,
			[]history.Event{inForce(1*second, 0, 1), inForce(2*second, 1, 2), report(2*second, 1, 1)},
		},
		{
			"a follower counted at two relays after a fault", 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(30*second, 1, 2)),
		},
		{
			"a follower counted at two relays after a lag of the machine", 1,
			[]history.Event{
				inForce(1*second, 0, 1),
				{At: 29 * second, Kind: history.Lag, Who: "rig", Took: 500 * ms},
				report(30*second, 1, 2),
			},
		},
		{"a follower that is not counted yet", 1, []history.Event{inForce(1*second, 0, 1), report(4*second, 1, 0)}},
		{
			"a follower that is not counted after a fault", 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(30*second, 1, 0)),
		},
		{"a put answered during a read of the source", 1, []history.Event{
			put(3*second, 1, false), inForce(3*second, 0, 1),
			{At: 3*second + 5*ms, Kind: history.SourceRead, Resource: resource, Took: 10 * ms},
		}},
		{"memory and idle bytes at their bounds", 1, []history.Event{
			inForce(1*second, 0, 1), used(90*second, 0), used(95*second, 500),
			{
				At: 2 * second, Kind: history.Usage, Who: relay,
				Figures: map[string]float64{history.UsageResident: 64 << 20},
			},
		}},
		{
			"a process that was killed", 1,
			[]history.Event{
				inForce(1*second, 0, 1),
				{At: 2 * second, Kind: history.Exited, Who: relay, Reason: "signal: killed"},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, v := range run(t, test.last, test.events...) {
				t.Error(v)
			}
		})
	}
}
