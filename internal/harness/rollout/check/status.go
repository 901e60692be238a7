package check

import (
	"maps"
	"slices"

	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// checkStatus checks the source's in-force reports. No report counts more followers at a version
// than ever had that version. While no follower has switched relays, each report counts all
// followers. The last report is exact.
func checkStatus(sc *plan.Scenario, r *record) (verdicts []Verdict) {
	for _, resource := range sc.Resources() {
		verdicts = append(verdicts, r.checkReports(sc, resource)...)
	}
	return verdicts
}

// checkReports checks the reports of one resource.
func (r *record) checkReports(sc *plan.Scenario, resource string) (verdicts []Verdict) {
	keys := slices.DeleteFunc(followings(sc), func(key following) bool { return key.resource != resource })
	reports := r.reports[resource]
	if len(reports) == 0 {
		return []Verdict{verdict(Status, r.end, "no report of %s", resource)}
	}
	allCounted := r.lastFirstStart(keys) + countingDelay.Microseconds()
	for _, e := range reports {
		verdicts = append(verdicts, r.checkCounts(sc, keys, e)...)
		total := proxyCount(e.Report)
		if total != len(keys) && e.At >= allCounted && !r.mayHaveSwitched(sc, e.At) {
			verdicts = append(verdicts, verdict(Status, e.At,
				"%d proxies of %s are reported, %d follow it", total, resource, len(keys)))
		}
	}
	last := reports[len(reports)-1]
	if !r.mayHaveSwitched(sc, last.At) {
		verdicts = append(verdicts, r.checkLastReport(keys, last)...)
	}
	return verdicts
}

// checkCounts checks that a report counts no more followers at a version than have had that
// version.
func (r *record) checkCounts(sc *plan.Scenario, keys []following, e history.Event) (verdicts []Verdict) {
	for _, count := range e.Report.Counts {
		had := r.hadBy(keys, count.Version, e.At)
		if count.Version.IsZero() || count.Proxies <= r.maxCounted(sc, had, e.At) {
			continue
		}
		verdicts = append(verdicts, verdict(Status, e.At,
			"%s of %s is reported in force with %d proxies, %d had it by then",
			count.Version, e.Resource, count.Proxies, had))
	}
	return verdicts
}

// checkLastReport checks that the last report of a resource agrees with the versions in force.
func (r *record) checkLastReport(keys []following, e history.Event) []Verdict {
	want := make(map[distribution.Version]int)
	for _, key := range keys {
		want[r.last(key).Version]++
	}
	got := make(map[distribution.Version]int)
	for _, count := range e.Report.Counts {
		if count.Proxies > 0 {
			got[count.Version] += count.Proxies
		}
	}
	allAtOneVersion := len(want) == 1
	rejections, laggards := len(e.Report.Rejections), len(e.Report.Laggards)
	if maps.Equal(want, got) && rejections == 0 && (!allAtOneVersion || laggards == 0) {
		return nil
	}
	return []Verdict{verdict(Status, e.At, "%s: the last report is of %v, %d refusals and %d behind; in force are %v",
		e.Resource, got, rejections, laggards, want)}
}

// proxyCount returns the number of proxies that a report counts.
func proxyCount(report *distribution.ResourceStatus) (proxies int) {
	for _, count := range report.Counts {
		proxies += count.Proxies
	}
	return proxies
}

// lastFirstStart returns the latest time at which one of the followers started for the first time.
func (r *record) lastFirstStart(keys []following) (last int64) {
	for _, key := range keys {
		if states := r.states[key]; len(states) > 0 {
			last = max(last, states[0].At)
		}
	}
	return last
}

// hadBy returns the number of followers that had a version in force at a time or before.
func (r *record) hadBy(keys []following, v distribution.Version, at int64) (followers int) {
	for _, key := range keys {
		had := slices.ContainsFunc(r.states[key], func(e history.Event) bool {
			return e.Kind != history.UpdateRejected && e.Version == v && e.At <= at
		})
		if had {
			followers++
		}
	}
	return followers
}

// maxCounted returns the largest number of proxies that a report may count at a version that had
// followers have had. A follower that has switched relays is counted at both relays until its
// session at the first relay expires. The same holds for the followers of a relay that has
// switched.
func (r *record) maxCounted(sc *plan.Scenario, had int, at int64) int {
	if r.mayHaveSwitched(sc, at) {
		return had * sc.Relays.PerZone * sc.Relays.Regions
	}
	return had
}

// mayHaveSwitched reports whether followers may have switched relays shortly before a time. The
// reason is a fault, or a lag of the machine that is long enough for reads to fail.
func (r *record) mayHaveSwitched(sc *plan.Scenario, at int64) bool {
	settled := (sessionHolds*max(sc.Followers.Hold, sc.Relays.Hold) + failbackTime).Microseconds()
	isRecent := func(s span) bool { return s.from <= at && at <= s.to+settled }
	if slices.ContainsFunc(r.faults, func(f timedFault) bool { return isRecent(f.span) }) {
		return true
	}
	return slices.ContainsFunc(r.lags, func(s span) bool {
		return s.to-s.from >= readBreakingLag.Microseconds() && isRecent(s)
	})
}
