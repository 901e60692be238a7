package check_test

import (
	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/check"
	"fernlanding/internal/harness/rollout/plan"
	"slices"
	"strings"
	"testing"
)

// One follower with one relay at each level follows one resource. A fault holds from 20 s to 24 s.
const text = `
name = "judged"
for = "60s"
settle = "40s"
[relays]
regions = 1
zones = 1
per_zone = 2
[followers]
processes = 1
each = 1
follows = 1
[publisher]
resources = 1
[bounds]
relay_mb = 64
rest_bytes_per_s = 100
[[faults]]
at = "20s"
for = "4s"
kind = "kill"
on = "regions"
[[faults]]
at = "30s"
for = "1s"
kind = "restart"
[[faults]]
at = "40s"
for = "1s"
kind = "kill"
on = "zones"
names = ["zone-1"]
`

const (
	ms       = int64(1000)
	second   = 1000 * ms
	follower = "follower-1"
	resource = "service-1"
	relay    = "zone-1"
)

func scenario(t testing.TB) *plan.Scenario {
	t.Helper()
	sc, err := plan.Decode("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func version(n uint64) distribution.Version { return distribution.Version{Epoch: 1, Revision: n} }

func put(at int64, n uint64, urgent bool) history.Event {
	return history.Event{At: at, Kind: history.Put, Who: plan.PublisherName, Resource: resource, Version: version(n), Took: ms, Status: 200, Urgent: urgent}
}

func inForce(at int64, from, n uint64) history.Event {
	e := history.Event{At: at, Kind: history.InForce, Who: follower, To: relay, Resource: resource, Version: version(n), Digest: "d" + version(n).String()}
	if from > 0 {
		e.From = version(from)
	}
	return e
}

func subscribed(at int64, n uint64) history.Event {
	e := history.Event{At: at, Kind: history.Subscribed, Who: follower, Resource: resource}
	if n > 0 {
		e.Version = version(n)
	}
	return e
}

func fault(id string, from, to int64) []history.Event {
	return []history.Event{{At: from, Kind: history.Fault, ID: id, N: 1}, {At: to, Kind: history.Fault, ID: id}}
}

func report(at int64, n uint64, proxies int) history.Event {
	counts := []distribution.VersionCount{{Version: version(n), Proxies: proxies}}
	return history.Event{At: at, Kind: history.Reported, Resource: resource, Report: &distribution.ResourceStatus{Resource: resource, Counts: counts}}
}

// ending is what a run ends with when version n is the last.
func ending(n uint64) []history.Event {
	return []history.Event{
		{At: 100 * second, Kind: history.Source, Resource: resource, Version: version(n), Digest: "d" + version(n).String()},
		report(100*second, n, 1),
		{At: 101 * second, Kind: history.Ended},
	}
}

// judge judges events, in any order, behind a beginning and before an ending at version n.
func judge(t testing.TB, n uint64, events ...history.Event) []check.Verdict {
	t.Helper()
	all := slices.Concat([]history.Event{subscribed(0, 0)}, events, ending(n))
	history.Sort(all)
	return check.Run(scenario(t), all)
}

// Each checker finds its breach and names nothing else.
func TestBreachesAreFound(t *testing.T) {
	for _, c := range []struct {
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
			[]history.Event{inForce(1*second, 0, 2), subscribed(2*second, 2), inForce(3*second, 2, 1), inForce(4*second, 1, 3)},
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
			[]history.Event{put(1*second, 1, false), inForce(2*second, 0, 1), subscribed(5*second, 0), inForce(16*second, 0, 1)},
		},
		{
			"an urgent version after 251 ms", check.Urgent, 2,
			[]history.Event{put(1*second, 1, false), inForce(1*second, 0, 1), put(2*second, 2, true), inForce(2*second+251*ms, 1, 2)},
		},
		{
			"an urgent version after 251 ms, the fault 11 s ago", check.Urgent, 1,
			append(fault("1-kill", 20*second, 24*second), put(35*second, 1, true), inForce(35*second+251*ms, 0, 1)),
		},
		{
			"an urgent version after 251 ms, another zone's relay waited", check.Urgent, 1,
			[]history.Event{put(1*second, 1, true), inForce(1*second+251*ms, 0, 1), waited("followers-9", 1*second+100*ms, 100*ms)},
		},
		{
			"an urgent version later than the waits for a core explain", check.Urgent, 1,
			[]history.Event{put(1*second, 1, true), inForce(1*second+301*ms, 0, 1), waited("source", 1*second+100*ms, 30*ms), waited("zone-1", 1*second+150*ms, 20*ms)},
		},
		{
			"an urgent version later than any waits may make it", check.Urgent, 1,
			[]history.Event{put(1*second, 1, true), inForce(2*second+251*ms, 0, 1), waited("source", 1*second+100*ms, 2*second)},
		},
		{
			"an urgent version late before a wait for a core", check.Urgent, 1,
			[]history.Event{put(1*second, 1, true), inForce(1*second+251*ms, 0, 1), waited("source", 1*second+310*ms, 30*ms)},
		},
		{
			"a whole resource from the relay that had told the version", check.Snapshots, 2,
			[]history.Event{inForce(1*second, 0, 1), subscribed(2*second, 1), inForce(3*second, 0, 2)},
		},
		{
			"different items of one version", check.Converged, 2,
			[]history.Event{inForce(1*second, 0, 1), {At: 2 * second, Kind: history.InForce, Who: follower, Resource: resource, From: version(1), Version: version(1), Digest: "x"}, inForce(3*second, 1, 2)},
		},
		{"an older version in the end", check.Converged, 2, []history.Event{inForce(1*second, 0, 1)}},
		{"an answered put that the source has no more", check.Durable, 2, []history.Event{
			put(1*second, 1, false), inForce(1*second, 0, 1), put(2*second, 2, false),
			inForce(2*second, 1, 2),
			{At: 3*second + 10*ms, Kind: history.Source, Resource: resource, Version: version(1), Digest: "d1.1", Took: 10 * ms},
		}},
		{"a version that the source has with other items", check.Durable, 2, []history.Event{
			inForce(1*second, 0, 1), inForce(4*second, 1, 2),
			{At: 3 * second, Kind: history.Source, Resource: resource, Version: version(1), Digest: "x"},
		}},
		{
			"a version reported that nobody has", check.Status, 2,
			[]history.Event{inForce(1*second, 0, 1), report(2*second, 2, 1), inForce(3*second, 1, 2)},
		},
		{"one proxy reported twice", check.Status, 1, []history.Event{inForce(1*second, 0, 1), report(2*second, 1, 2)}},
		{
			"one proxy reported twice, a lag too short to break reads", check.Status, 1,
			[]history.Event{inForce(1*second, 0, 1), {At: 29 * second, Kind: history.Lag, Who: "rig", Took: 499 * ms}, report(30*second, 1, 2)},
		},
		{
			"one proxy reported three times after a fault", check.Status, 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(30*second, 1, 3)),
		},
		{
			"one proxy reported twice long after a fault", check.Status, 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(47*second, 1, 2)),
		},
		{"a follower that is not counted", check.Status, 1, []history.Event{inForce(1*second, 0, 1), report(6*second, 1, 0)}},
		{
			"a follower that is not counted long after a fault", check.Status, 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(47*second, 1, 0)),
		},
		{
			"too much memory", check.Bounds, 1,
			[]history.Event{inForce(1*second, 0, 1), {At: 2 * second, Kind: history.Used, Who: relay, Figures: map[string]float64{history.UsedResident: 65 << 20}}},
		},
		{"too many bytes at rest", check.Bounds, 1, []history.Event{inForce(1*second, 0, 1), used(90*second, 0), used(95*second, 505)}},
		{
			"a process that ends by itself", check.Processes, 1,
			[]history.Event{inForce(1*second, 0, 1), {At: 2 * second, Kind: history.Gone, Who: relay, Why: "by itself: exit status 2"}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			verdicts := judge(t, c.last, c.events...)
			found := slices.ContainsFunc(verdicts, func(v check.Verdict) bool { return v.Check == c.check })
			if !found {
				t.Errorf("not found by %s; verdicts: %v", c.check, verdicts)
			}
			for _, v := range verdicts {
				// What is wrong in the end shows in the last report too.
				if v.Check != c.check && !(c.check == check.Converged && v.Check == check.Status) {
					t.Errorf("also %v", v)
				}
			}
		})
	}
}

// waited is that a process's threads waited for a core.
func waited(who string, at, took int64) history.Event {
	return history.Event{At: at, Kind: history.Waited, Who: who, N: at - 50*ms, Took: took}
}

func used(at int64, bytes float64) history.Event {
	return history.Event{At: at, Kind: history.Used, Who: "followers-1", Figures: map[string]float64{history.UsedBytes: bytes, history.UsedFollowers: 1}}
}

// What only looks like a breach passes.
func TestNearMissesPass(t *testing.T) {
	for _, c := range []struct {
		name   string
		last   uint64
		events []history.Event
	}{
		{"an older version after a start with nothing", 3, []history.Event{inForce(1*second, 0, 2), subscribed(2*second, 0), inForce(3*second, 0, 1), inForce(4*second, 1, 3)}},
		{"a version after 10 s", 1, []history.Event{put(1*second, 1, false), inForce(11*second, 0, 1)}},
		{"a version that a later one supersedes", 2, []history.Event{put(1*second, 1, false), put(9*second, 2, false), inForce(11*second, 0, 2)}},
		{"a version before its put was answered", 1, []history.Event{inForce(1*second, 0, 1), put(1*second+50*ms, 1, true)}},
		{"a version that is refused in time", 2, []history.Event{
			put(1*second, 1, false),
			{At: 2 * second, Kind: history.Refused, Who: follower, Resource: resource, Version: version(1)},
			put(20*second, 2, false), inForce(21*second, 0, 2),
		}},
		{
			"a version 10 s after the end of the fault", 1,
			append(fault("1-kill", 20*second, 24*second), put(21*second, 1, false), inForce(34*second, 0, 1)),
		},
		{
			"a fault that begins when 9.9 s are over", 1,
			append(fault("1-kill", 20*second, 24*second), put(10*second+100*ms, 1, false), inForce(34*second, 0, 1)),
		},
		{"a put without an answer", 1, []history.Event{{At: 1 * second, Kind: history.Put, Resource: resource, Why: "timeout"}, inForce(50*second, 0, 1)}},
		{"an urgent version after 250 ms", 1, []history.Event{put(2*second, 1, true), inForce(2*second+250*ms, 0, 1)}},
		{
			"an urgent version after 251 ms, the fault 9 s ago", 1,
			append(fault("1-kill", 20*second, 24*second), put(33*second, 1, true), inForce(33*second+251*ms, 0, 1)),
		},
		{
			"an urgent version after 251 ms, 10 s after the follower's start", 1,
			append(fault("2-restart", 30*second, 31*second), put(39*second, 1, true), inForce(39*second+251*ms, 0, 1)),
		},
		{
			"an urgent version as late as the waits for a core explain", 1,
			[]history.Event{put(1*second, 1, true), inForce(1*second+300*ms, 0, 1), waited("source", 1*second+100*ms, 30*ms), waited("zone-1", 1*second+150*ms, 20*ms)},
		},
		{
			"an urgent version as late as any waits may make it", 1,
			[]history.Event{put(1*second, 1, true), inForce(2*second+250*ms, 0, 1), waited("source", 1*second+100*ms, 2*second)},
		},
		{"an urgent version that waited until a fault began", 1, append(fault("1-kill", 20*second, 24*second), put(19*second+500*ms, 1, true),
			inForce(26*second, 0, 1), waited("source", 19*second+600*ms, 300*ms))},
		{
			"a whole resource from a relay that has started anew", 2,
			[]history.Event{inForce(1*second, 0, 1), {At: 2 * second, Kind: history.Started, Who: relay}, inForce(3*second, 0, 2)},
		},
		{
			"a whole resource from a relay that has never told the version", 2,
			[]history.Event{inForce(1*second, 0, 1), {At: 3 * second, Kind: history.InForce, Who: follower, To: "zone-2", Resource: resource, Version: version(2), Digest: "d1.2"}},
		},
		{"a whole resource for a follower that has nothing", 2, []history.Event{inForce(1*second, 0, 1), subscribed(2*second, 0), inForce(3*second, 0, 2)}},
		{"a version reported that everybody had and has no more", 2, []history.Event{inForce(1*second, 0, 1), inForce(2*second, 1, 2), report(2*second, 1, 1)}},
		{
			"a follower that counts at two relays after a fault", 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(30*second, 1, 2)),
		},
		{
			"a follower that counts at two relays while the machine lags", 1,
			[]history.Event{inForce(1*second, 0, 1), {At: 29 * second, Kind: history.Lag, Who: "rig", Took: 500 * ms}, report(30*second, 1, 2)},
		},
		{"a follower that is not counted yet", 1, []history.Event{inForce(1*second, 0, 1), report(4*second, 1, 0)}},
		{
			"a follower that is not counted after a fault", 1,
			append(fault("1-kill", 20*second, 24*second), inForce(1*second, 0, 1), report(30*second, 1, 0)),
		},
		{"a put that was answered while the source was asked", 1, []history.Event{
			put(3*second, 1, false), inForce(3*second, 0, 1),
			{At: 3*second + 5*ms, Kind: history.Source, Resource: resource, Took: 10 * ms},
		}},
		{"memory and bytes at their bounds", 1, []history.Event{
			inForce(1*second, 0, 1), used(90*second, 0), used(95*second, 500),
			{At: 2 * second, Kind: history.Used, Who: relay, Figures: map[string]float64{history.UsedResident: 64 << 20}},
		}},
		{"a process that was killed", 1, []history.Event{inForce(1*second, 0, 1), {At: 2 * second, Kind: history.Gone, Who: relay, Why: "signal: killed"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, v := range judge(t, c.last, c.events...) {
				t.Error(v)
			}
		})
	}
}

// A history that breaks off is no pass.
func TestBrokenOffHistoryFails(t *testing.T) {
	verdicts := check.Run(scenario(t), []history.Event{subscribed(0, 0), inForce(second, 0, 1)})
	for _, name := range []string{check.Processes, check.Converged, check.Status} {
		if !slices.ContainsFunc(verdicts, func(v check.Verdict) bool { return v.Check == name }) {
			t.Errorf("no verdict of %s: %v", name, verdicts)
		}
	}
}

// Verdicts of one check are bounded.
func TestVerdictsAreBounded(t *testing.T) {
	var events []history.Event
	for n := range uint64(100) {
		events = append(events, inForce(int64(n+1)*ms, 300, 200-n))
	}
	verdicts := judge(t, 101, events...)
	if len(verdicts) > 30 || !strings.Contains(verdicts[20].What, "more") {
		t.Errorf("%d verdicts: %v", len(verdicts), verdicts)
	}
}

// The figures are those of the history.
func TestFigures(t *testing.T) {
	all := slices.Concat([]history.Event{subscribed(0, 0)}, []history.Event{
		put(1*second, 1, false), inForce(1*second+100*ms, 0, 1),
		put(2*second, 2, true), inForce(2*second+7*ms, 1, 2), put(2*second+500, 3, false), inForce(2*second+50*ms, 2, 3),
	}, ending(3))
	history.Sort(all)
	f := check.Measure(scenario(t), all)
	if f.Puts != 3 || f.Twins != 1 || f.InForce != 3 || f.Wholes != 1 || f.Judged != 1 || f.UrgentMax != 7 || f.QuietMax != 100 {
		t.Errorf("%+v", f)
	}
}
