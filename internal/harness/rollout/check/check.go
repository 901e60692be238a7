// Package check judges the history of a run of distribution. It is pure: every verdict follows from the events alone.
package check

import (
	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
	"fmt"
	"slices"
	"strings"
	"time"

	rigcheck "fernlanding/internal/harness/check"
)

// Verdict is one thing that is wrong.
type Verdict = rigcheck.Verdict

// The checks.
const (
	Backwards = "backwards" // no follower puts an older version in force after a newer one
	Late      = "late"      // no version is in force too late with a follower that can reach the source
	Urgent    = "urgent"    // nor is one that takes something out, where no fault touches the way
	Bounds    = "bounds"    // traffic and memory stay within what the scenario says
	Snapshots = "whole"     // who resumes at a version that relays know is not sent everything
	Converged = "converged" // a version has the same items everywhere, and in the end all have the source's
	Durable   = "durable"   // what the source has answered it has for good
	Status    = "status"    // the source's report agrees with what was in force
	Processes = "processes" // no process ends by itself, and none is left
)

// Names are the names of all checks.
func Names() []string {
	return []string{Backwards, Late, Urgent, Bounds, Snapshots, Converged, Durable, Status, Processes}
}

const (
	afterFault   = 10 * time.Second       // a fault is felt this much longer
	beginsAnew   = 3                      // holds after which a relay forgets a follower that has gone to another
	movesBack    = 10 * time.Second       // until followers have gone back to the relay of their choice
	mostLonger   = time.Second            // that an urgent version may take for waits
	breaksReads  = 500 * time.Millisecond // that the machine keeps a process waiting before relays may take its reads for broken
	countedAfter = 5 * time.Second        // from a follower's start until reports count it
	mostOfCheck  = 20                     // verdicts of one check that are listed
)

// Run judges a history, sorted by time.
func Run(sc *plan.Scenario, all []history.Event) (out []Verdict) {
	r := read(sc, all)
	for _, judge := range []func(*plan.Scenario, *record) []Verdict{backwards, late, urgent, bounds, whole, converged, durable, status, processes} {
		v := judge(sc, r)
		if n := len(v); n > mostOfCheck {
			v = append(v[:mostOfCheck:mostOfCheck], Verdict{Check: v[0].Check, At: v[mostOfCheck].At, What: fmt.Sprintf("and %d more", n-mostOfCheck)})
		}
		out = append(out, v...)
	}
	return out
}

// backwards judges the order of versions. A follower that begins with nothing has no past.
func backwards(sc *plan.Scenario, r *record) (out []Verdict) {
	for _, key := range pairs(sc) {
		var newest distribution.Version
		for _, e := range r.states[key] {
			switch {
			case e.Kind == history.Refused:
			case e.Kind == history.Subscribed && e.Version.IsZero():
				newest = distribution.Version{}
			case newest.After(e.Version):
				out = append(out, Verdict{Check: Backwards, At: e.At, What: fmt.Sprintf("%s put %s of %s in force after %s", e.Who, e.Version, e.Resource, newest)})
			default:
				newest = e.Version
			}
		}
	}
	return out
}

// duty is a version that a follower is to have in force from a moment on.
type duty struct {
	follows
	version distribution.Version
	since   int64 // when the duty began
	from    int64 // from when on what the follower had counts
	urgent  bool
}

// duties are all of a follower: each put from its answer on, and the latest put from each beginning with nothing on.
func (r *record) duties(key follows) (out []duty) {
	writes := r.writes[key.resource]
	for _, w := range writes {
		out = append(out, duty{key, w.Version, w.At, 0, w.Urgent})
	}
	for _, e := range r.states[key] {
		if e.Kind != history.Subscribed || !e.Version.IsZero() {
			continue
		}
		for _, w := range slices.Backward(writes) {
			if w.At <= e.At {
				out = append(out, duty{key, w.Version, e.At, e.At, false})
				break
			}
		}
	}
	return out
}

// late judges how long a version takes. A follower has to have it when a way to the source has been clear for that long.
func late(sc *plan.Scenario, r *record) (out []Verdict) {
	for _, key := range pairs(sc) {
		for _, d := range r.duties(key) {
			had := r.upTo(r.has(key, d.version, d.from))
			way, from, found := r.reachable(key.follower, span{d.since, had}, sc.Bounds.Late)
			if !found {
				continue
			}
			out = append(out, Verdict{Check: Late, At: d.since, What: fmt.Sprintf("%s has %s of %s %.3f s after it was put, and %.3f s after the way over %s was clear",
				key.follower, d.version, key.resource, seconds(had-d.since), seconds(had-from), way)})
		}
	}
	return out
}

func seconds(us int64) float64 { return float64(us) / float64(second) }

// urgent judges what takes an item out: from the moment when its put was answered, where no fault touches any way of the
// follower's then, nor has done a while before.
func urgent(sc *plan.Scenario, r *record) (out []Verdict) {
	for _, key := range pairs(sc) {
		for _, d := range r.duties(key) {
			if !d.urgent {
				continue
			}
			within := sc.Bounds.Urgent.Microseconds() + r.waited(sc, key.follower, d.since)
			if took := r.upTo(r.has(key, d.version, d.from)) - d.since; took > within && r.undisturbed(key.follower, d.since, d.since+within) {
				out = append(out, Verdict{Check: Urgent, At: d.since, What: fmt.Sprintf("%s has %s of %s, which takes an item out, %d ms after its put was answered, %d expected at most",
					key.follower, d.version, key.resource, took/1000, within/1000)})
			}
		}
	}
	return out
}

// undisturbed tells whether no fault touches a follower's ways in a stretch of time, nor has done shortly before.
func (r *record) undisturbed(follower string, from, to int64) bool {
	return !slices.ContainsFunc(r.touches[follower], func(s span) bool {
		return s.from <= to && from <= s.to+afterFault.Microseconds()
	})
}

// waited is by how much longer an urgent version may take, from a moment on, where the machine kept the processes on a
// follower's way waiting for a core, within a bound.
func (r *record) waited(sc *plan.Scenario, follower string, from int64) (longer int64) {
	bound := sc.Bounds.Urgent.Microseconds()
	for {
		more := min(r.waits(sc, follower, span{from, from + bound + longer}), mostLonger.Microseconds())
		if more <= longer {
			return longer
		}
		longer = more
	}
}

// waits is how long the processes on a follower's way waited for a core in a stretch of time, in all. Of the relays of a
// level the one counts that waited longest.
func (r *record) waits(sc *plan.Scenario, follower string, within span) int64 {
	most := func(names []string) (most int64) {
		for _, name := range names {
			sum := int64(0)
			for _, e := range r.waitsOf[name] {
				if within.from <= e.At && e.N <= within.to {
					sum += e.Took
				}
			}
			most = max(most, sum)
		}
		return most
	}
	return most([]string{plan.Source}) + most(sc.Names(plan.OnRegions)) + most(sc.RelaysOf(follower)) + most([]string{sc.ProcessOf(follower)})
}

// whole judges followers that were sent everything though they had a version that the same relay had brought somebody to
// since its start: it knows what has changed since.
func whole(_ *plan.Scenario, r *record) (out []Verdict) {
	known := map[string]map[versionOf]bool{} // by relay
	has := map[follows]distribution.Version{}
	for _, e := range r.all {
		key := follows{e.Who, e.Resource}
		switch e.Kind {
		case history.Started:
			delete(known, e.Who)
		case history.Subscribed:
			has[key] = e.Version
		case history.InForce:
			if v := has[key]; e.From.IsZero() && !v.IsZero() && known[e.To][versionOf{e.Resource, v}] {
				out = append(out, Verdict{Check: Snapshots, At: e.At, What: fmt.Sprintf("%s had %s of %s, which %s knew, and was sent the whole of %s", e.Who, v, e.Resource, e.To, e.Version)})
			}
			has[key] = e.Version
			if known[e.To] == nil {
				known[e.To] = map[versionOf]bool{}
			}
			known[e.To][versionOf{e.Resource, e.Version}] = true
		}
	}
	return out
}

// converged judges items: one digest a version, and in the end the source's with everybody.
func converged(sc *plan.Scenario, r *record) (out []Verdict) {
	for key, digests := range r.digests {
		if len(digests) > 1 {
			var who []string
			at := int64(0)
			for _, seen := range digests {
				who = append(who, seen.follower)
				at = max(at, seen.at)
			}
			slices.Sort(who)
			out = append(out, Verdict{Check: Converged, At: at, What: fmt.Sprintf("%s of %s has different items with %s", key.version, key.resource, strings.Join(who, " and "))})
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int { return strings.Compare(a.What, b.What) })
	for _, resource := range sc.Resources() {
		if _, known := r.source[resource]; !known {
			out = append(out, Verdict{Check: Converged, At: r.end, What: "the source was not asked for " + resource + " in the end"})
		}
	}
	for _, key := range pairs(sc) {
		want, last := r.source[key.resource], r.last(key)
		if want.Version != last.Version || want.Digest != last.Digest {
			out = append(out, Verdict{Check: Converged, At: r.end, What: fmt.Sprintf("%s has %s (%s) of %s in the end, the source %s (%s)",
				key.follower, last.Version, last.Digest, key.resource, want.Version, want.Digest)})
		}
	}
	return out
}

// durable judges the source whenever it was asked: it has all that it had answered before, also after a restart, with the
// same items that followers have got of that version.
func durable(_ *plan.Scenario, r *record) (out []Verdict) {
	for _, e := range r.sources {
		for _, w := range r.writes[e.Resource] {
			if w.At <= e.At-e.Took && w.Version.After(e.Version) {
				out = append(out, Verdict{Check: Durable, At: e.At, What: fmt.Sprintf("the source has %s of %s; it answered %s to %s %.3f s before", e.Version, e.Resource, w.Version, w.ID, seconds(e.At-w.At))})
			}
		}
		for digest, seen := range r.digests[versionOf{e.Resource, e.Version}] {
			if digest != e.Digest {
				out = append(out, Verdict{Check: Durable, At: e.At, What: fmt.Sprintf("the source has %s of %s with other items than %s got", e.Version, e.Resource, seen.follower)})
			}
		}
	}
	return out
}

// last is what a follower has in force in the end. One that has started again with a version has no digest until the next.
func (r *record) last(key follows) (last history.Event) {
	for _, e := range r.states[key] {
		if e.Kind != history.Refused {
			last = e
		}
	}
	return last
}

// status judges the source's reports: none says that a version is in force with more followers than ever had it; where
// nobody has moved, each counts every follower; and the last one says exactly what is.
func status(sc *plan.Scenario, r *record) (out []Verdict) {
	for _, resource := range sc.Resources() {
		var keys []follows
		for _, key := range pairs(sc) {
			if key.resource == resource {
				keys = append(keys, key)
			}
		}
		reports := r.reports[resource]
		if len(reports) == 0 {
			out = append(out, Verdict{Check: Status, At: r.end, What: "no report of " + resource})
			continue
		}
		counted := r.firstStarts(keys) + countedAfter.Microseconds()
		for _, e := range reports {
			out = append(out, r.overstated(sc, keys, e)...)
			if total := proxies(e.Report); total != len(keys) && e.At >= counted && !r.moved(sc, e.At) {
				out = append(out, Verdict{Check: Status, At: e.At, What: fmt.Sprintf("%d proxies of %s are reported, %d follow it", total, resource, len(keys))})
			}
		}
		if last := reports[len(reports)-1]; !r.moved(sc, last.At) {
			out = append(out, r.lastReport(keys, last)...)
		}
	}
	return out
}

// overstated judges what a report says of versions that followers have not had.
func (r *record) overstated(sc *plan.Scenario, keys []follows, e history.Event) (out []Verdict) {
	for _, c := range e.Report.Counts {
		had := r.hadBy(keys, c.Version, e.At)
		if most := r.mostReported(sc, had, e.At); !c.Version.IsZero() && c.Proxies > most {
			out = append(out, Verdict{Check: Status, At: e.At, What: fmt.Sprintf("%s of %s is reported in force with %d proxies, %d had it by then", c.Version, e.Resource, c.Proxies, had)})
		}
	}
	return out
}

// proxies are all that a report counts.
func proxies(report *distribution.ResourceStatus) (n int) {
	for _, c := range report.Counts {
		n += c.Proxies
	}
	return n
}

// firstStarts is when the last of some followers began to follow for the first time.
func (r *record) firstStarts(keys []follows) (last int64) {
	for _, key := range keys {
		if states := r.states[key]; len(states) > 0 {
			last = max(last, states[0].At)
		}
	}
	return last
}

// hadBy is how many followers had a version in force by a moment.
func (r *record) hadBy(keys []follows, v distribution.Version, at int64) (n int) {
	for _, key := range keys {
		if slices.ContainsFunc(r.states[key], func(e history.Event) bool { return e.Kind != history.Refused && e.Version == v && e.At <= at }) {
			n++
		}
	}
	return n
}

// mostReported is how many proxies may be reported where so many had a version: a follower that has gone to another relay
// counts at both until the first forgets it, and so do those behind a relay that has gone to another one.
func (r *record) mostReported(sc *plan.Scenario, had int, at int64) int {
	if r.moved(sc, at) {
		return had * sc.Relays.PerZone * sc.Relays.Regions
	}
	return had
}

// moved tells whether followers may have gone to other relays shortly before a moment: faults held, or the machine kept
// processes waiting for so long that reads broke.
func (r *record) moved(sc *plan.Scenario, at int64) bool {
	after := (beginsAnew*max(sc.Followers.Hold, sc.Relays.Hold) + movesBack).Microseconds()
	recent := func(s span) bool { return s.from <= at && at <= s.to+after }
	return slices.ContainsFunc(r.faults, func(f fault) bool { return recent(f.span) }) ||
		slices.ContainsFunc(r.lags, func(s span) bool { return s.to-s.from >= breaksReads.Microseconds() && recent(s) })
}

// lastReport judges the last report of a resource.
func (r *record) lastReport(keys []follows, e history.Event) (out []Verdict) {
	want := map[distribution.Version]int{}
	for _, key := range keys {
		want[r.last(key).Version]++
	}
	got := map[distribution.Version]int{}
	for _, c := range e.Report.Counts {
		if c.Proxies > 0 {
			got[c.Version] += c.Proxies
		}
	}
	same := len(want) == len(got)
	for v, n := range want {
		same = same && got[v] == n
	}
	if !same || len(e.Report.Rejections) > 0 || len(want) == 1 && len(e.Report.Laggards) > 0 {
		out = append(out, Verdict{Check: Status, At: e.At, What: fmt.Sprintf("%s: the last report is of %v, %d refusals and %d behind; in force are %v",
			e.Resource, got, len(e.Report.Rejections), len(e.Report.Laggards), want)})
	}
	return out
}

func processes(_ *plan.Scenario, r *record) (out []Verdict) {
	ended := false
	for _, e := range r.all {
		switch {
		case e.Kind == history.Gone && (strings.HasPrefix(e.Why, "by itself") || strings.Contains(e.Why, "exit status")):
			out = append(out, Verdict{Check: Processes, At: e.At, What: fmt.Sprintf("%s has ended: %s", e.Who, e.Why)})
		case e.Kind == history.Ended:
			ended = true
			if e.N > 0 {
				out = append(out, Verdict{Check: Processes, At: e.At, What: fmt.Sprintf("%d processes are left", e.N)})
			}
		}
	}
	if !ended {
		out = append(out, Verdict{Check: Processes, At: 0, What: "the history breaks off before the run's end"})
	}
	return out
}
