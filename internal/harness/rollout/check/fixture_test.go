package check_test

import (
	"slices"
	"testing"

	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/check"
	"fernlanding/internal/harness/rollout/plan"
)

// scenarioText is a scenario with one follower of one resource, one region relay, and two relays in
// the follower's zone.
const scenarioText = `
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

// Units of time in microseconds, and the names of the follower, the resource and the relay in all
// histories of the tests.
const (
	ms       = int64(1000)
	second   = 1000 * ms
	follower = "follower-1"
	resource = "service-1"
	relay    = "zone-1"
)

// scenario decodes scenarioText.
func scenario(tb testing.TB) *plan.Scenario {
	tb.Helper()
	sc, err := plan.Decode("test.toml", []byte(scenarioText))
	if err != nil {
		tb.Fatal(err)
	}
	return sc
}

// version returns version n of the first epoch.
func version(n uint64) distribution.Version { return distribution.Version{Epoch: 1, Revision: n} }

// put returns an answered put of version n.
func put(at int64, n uint64, urgent bool) history.Event {
	return history.Event{
		At:       at,
		Kind:     history.Put,
		Who:      plan.PublisherName,
		Resource: resource,
		Version:  version(n),
		Took:     ms,
		Status:   200,
		Urgent:   urgent,
	}
}

// inForce returns the event that the follower puts version n in force, by a delta from version
// from. If from is 0, the update is a snapshot.
func inForce(at int64, from, n uint64) history.Event {
	e := history.Event{
		At:       at,
		Kind:     history.InForce,
		Who:      follower,
		To:       relay,
		Resource: resource,
		Version:  version(n),
		Digest:   "d" + version(n).String(),
	}
	if from > 0 {
		e.From = version(from)
	}
	return e
}

// subscribed returns the event that the follower starts with version n. If n is 0, the follower
// starts without a version.
func subscribed(at int64, n uint64) history.Event {
	e := history.Event{At: at, Kind: history.Subscribed, Who: follower, Resource: resource}
	if n > 0 {
		e.Version = version(n)
	}
	return e
}

// fault returns the events of the beginning and the end of a scheduled fault.
func fault(id string, from, to int64) []history.Event {
	return []history.Event{{At: from, Kind: history.Fault, ID: id, N: 1}, {At: to, Kind: history.Fault, ID: id}}
}

// report returns an in-force report that counts a number of proxies at version n.
func report(at int64, n uint64, proxies int) history.Event {
	counts := []distribution.VersionCount{{Version: version(n), Proxies: proxies}}
	return history.Event{
		At:       at,
		Kind:     history.StatusReported,
		Resource: resource,
		Report:   &distribution.ResourceStatus{Resource: resource, Counts: counts},
	}
}

// ending returns the last events of a run that ends at version n.
func ending(n uint64) []history.Event {
	return []history.Event{
		{
			At: 100 * second, Kind: history.SourceRead, Resource: resource, Version: version(n),
			Digest: "d" + version(n).String(),
		},
		report(100*second, n, 1),
		{At: 101 * second, Kind: history.RunEnded},
	}
}

// run returns the verdicts on a history in which the follower starts without a version and the run
// ends at version n. The given events may be in any order.
func run(tb testing.TB, n uint64, events ...history.Event) []check.Verdict {
	tb.Helper()
	all := slices.Concat([]history.Event{subscribed(0, 0)}, events, ending(n))
	history.Sort(all)
	return check.Run(scenario(tb), all)
}

// waited returns the event that a process's threads waited for a core.
func waited(who string, at, took int64) history.Event {
	return history.Event{At: at, Kind: history.CPUWaited, Who: who, N: at - 50*ms, Took: took}
}

// used returns the event that the follower has sent and received a number of bytes so far.
func used(at int64, bytes float64) history.Event {
	return history.Event{
		At:      at,
		Kind:    history.Usage,
		Who:     "followers-1",
		Figures: map[string]float64{history.UsageBytes: bytes, history.UsageFollowers: 1},
	}
}
