package check

import (
	"slices"

	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// checkOrder checks that no follower puts an older version in force after a newer one. A follower
// that restarts without a version may go back to an older one.
func checkOrder(sc *plan.Scenario, r *record) (verdicts []Verdict) {
	for _, key := range followings(sc) {
		var latest distribution.Version
		for _, e := range r.states[key] {
			switch {
			case e.Kind == history.UpdateRejected:
			case e.Kind == history.Subscribed && e.Version.IsZero():
				latest = distribution.Version{}
			case latest.After(e.Version):
				verdicts = append(verdicts, verdict(Backwards, e.At,
					"%s put %s of %s in force after %s", e.Who, e.Version, e.Resource, latest))
			default:
				latest = e.Version
			}
		}
	}
	return verdicts
}

// expectation is a version that a follower is expected to have in force. Times are in microseconds.
type expectation struct {
	following
	version distribution.Version
	since   int64 // time from which the version is expected
	from    int64 // time from which on a state of the follower can meet the expectation
	urgent  bool
}

// expectations returns all expectations of a follower. Each put is expected from the time of its
// answer. In addition, the latest put is expected from each start without a version.
func (r *record) expectations(key following) (out []expectation) {
	writes := r.writes[key.resource]
	for _, w := range writes {
		out = append(out, expectation{following: key, version: w.Version, since: w.At, urgent: w.Urgent})
	}
	for _, e := range r.states[key] {
		if e.Kind != history.Subscribed || !e.Version.IsZero() {
			continue
		}
		for _, w := range slices.Backward(writes) {
			if w.At <= e.At {
				out = append(out, expectation{following: key, version: w.Version, since: e.At, from: e.At})
				break
			}
		}
	}
	return out
}

// metAt returns the time at which an expectation was met, or the end of the run if it was not met.
func (r *record) metAt(x expectation) int64 {
	return min(r.firstHad(x.following, x.version, x.from), r.end)
}

// checkLateness checks the latencies of versions. A follower must have a version in force once a
// path to the source has been free of faults for longer than the scenario's bound.
func checkLateness(sc *plan.Scenario, r *record) (verdicts []Verdict) {
	for _, key := range followings(sc) {
		for _, x := range r.expectations(key) {
			metAt := r.metAt(x)
			path, from, found := r.reachable(key.follower, span{from: x.since, to: metAt}, sc.Bounds.Latency)
			if !found {
				continue
			}
			verdicts = append(verdicts, verdict(Late, x.since,
				"%s has %s of %s %.3f s after it was put, and %.3f s after the way over %s was clear",
				key.follower, x.version, key.resource, seconds(metAt-x.since), seconds(metAt-from), path))
		}
	}
	return verdicts
}

// checkUrgent checks the latencies of urgent versions, counted from the answer to the put. It
// leaves out versions for which a fault affects a path of the follower at that time or shortly
// before.
func checkUrgent(sc *plan.Scenario, r *record) (verdicts []Verdict) {
	for _, key := range followings(sc) {
		for _, x := range r.expectations(key) {
			if !x.urgent {
				continue
			}
			limit := sc.Bounds.UrgentLatency.Microseconds() + r.cpuDelay(sc, key.follower, x.since)
			took := r.metAt(x) - x.since
			if took <= limit || !r.isFaultFree(key.follower, span{from: x.since, to: x.since + limit}) {
				continue
			}
			verdicts = append(verdicts, verdict(Urgent, x.since,
				"%s has %s of %s, which takes an item out, %d ms after its put was answered, %d expected at most",
				key.follower, x.version, key.resource, took/1000, limit/1000))
		}
	}
	return verdicts
}

// isFaultFree reports whether no fault affects a follower's paths within a time span or in the
// period faultAftermath before it.
func (r *record) isFaultFree(follower string, within span) bool {
	return !slices.ContainsFunc(r.affected[follower], func(s span) bool {
		return s.from <= within.to && within.from <= s.to+faultAftermath.Microseconds()
	})
}

// cpuDelay returns the extension, in microseconds, of the bound for an urgent version that is due
// at from. The extension is the time for which processes on the follower's path waited for a core
// within the extended bound, up to maxCPUWait.
func (r *record) cpuDelay(sc *plan.Scenario, follower string, from int64) (delay int64) {
	bound := sc.Bounds.UrgentLatency.Microseconds()
	for {
		waited := r.cpuWait(sc, follower, span{from: from, to: from + bound + delay})
		longer := min(waited, maxCPUWait.Microseconds())
		if longer <= delay {
			return delay
		}
		delay = longer
	}
}

// cpuWait returns the total time, in microseconds, for which the processes on a follower's path
// waited for a core within a time span. Of the relays of each level, it counts the one that waited
// longest.
func (r *record) cpuWait(sc *plan.Scenario, follower string, within span) int64 {
	return r.longestWait([]string{plan.Source}, within) +
		r.longestWait(sc.Names(plan.OnRegions), within) +
		r.longestWait(sc.RelaysOf(follower), within) +
		r.longestWait([]string{sc.ProcessOf(follower)}, within)
}

// longestWait returns the longest time, in microseconds, for which one of the processes waited for
// a core within a time span.
func (r *record) longestWait(processes []string, within span) (longest int64) {
	for _, name := range processes {
		sum := int64(0)
		for _, e := range r.cpuWaits[name] {
			if within.from <= e.At && e.N <= within.to {
				sum += e.Took
			}
		}
		longest = max(longest, sum)
	}
	return longest
}
