package check

import (
	"cmp"
	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	second  = int64(1_000_000)
	forever = int64(1) << 62
)

// span is a stretch of time, in microseconds.
type span struct{ from, to int64 }

// follows is a follower and a resource that it follows.
type follows struct{ follower, resource string }

// fault is a fault of the schedule at the times when it held.
type fault struct {
	plan.Fault
	span
}

// record is a history by what it is about.
type record struct {
	all     []history.Event
	end     int64
	states  map[follows][]history.Event // Subscribed, InForce and Refused, by time
	writes  map[string][]history.Event  // answered ones of each resource, by version
	faults  []fault
	lags    []span                             // while the machine kept a process of the rig waiting
	waitsOf map[string][]history.Event         // for a core, by process
	open    map[string]int                     // faults that have not ended, by the names that events give them
	reports map[string][]history.Event         // of each resource
	source  map[string]history.Event           // what the source has in the end
	sources []history.Event                    // all that it was asked for
	used    map[string][]history.Event         // by process
	touches map[string][]span                  // of each follower: faults that touch a way of it, restarts included
	clear   map[string]map[string][]span       // of each follower: each of its ways, when no fault touches it
	digests map[versionOf]map[string]firstSeen // of each version of a resource
}

// versionOf is a version of a resource.
type versionOf struct {
	resource string
	version  distribution.Version
}

// firstSeen is who first had a digest, and when.
type firstSeen struct {
	follower string
	at       int64
}

// read sorts a history, which is in the order of time, into a record.
func read(sc *plan.Scenario, all []history.Event) *record {
	r := &record{
		all:     all,
		states:  map[follows][]history.Event{},
		writes:  map[string][]history.Event{},
		reports: map[string][]history.Event{},
		source:  map[string]history.Event{},
		used:    map[string][]history.Event{},
		digests: map[versionOf]map[string]firstSeen{},
		open:    map[string]int{},
		waitsOf: map[string][]history.Event{},
	}
	schedule := sc.Schedule()
	for _, e := range all {
		r.end = max(r.end, e.At)
		switch e.Kind {
		case history.Subscribed, history.Refused:
			r.state(e)
		case history.InForce:
			r.state(e)
			r.digest(e)
		case history.Put:
			if !e.Version.IsZero() {
				r.writes[e.Resource] = append(r.writes[e.Resource], e)
			}
		case history.Fault:
			r.fault(schedule, e)
		case history.Waited:
			r.waitsOf[e.Who] = append(r.waitsOf[e.Who], e)
		case history.Lag:
			if !r.stopped(e) {
				r.lags = append(r.lags, span{e.At - e.Took, e.At})
			}
		case history.Reported:
			r.reports[e.Resource] = append(r.reports[e.Resource], e)
		case history.Source:
			r.source[e.Resource] = e
			r.sources = append(r.sources, e)
		case history.Used:
			r.used[e.Who] = append(r.used[e.Who], e)
		}
	}
	for _, w := range r.writes {
		slices.SortStableFunc(w, func(a, b history.Event) int { return a.Version.Compare(b.Version) })
	}
	r.reach(sc)
	return r
}

func (r *record) state(e history.Event) {
	key := follows{e.Who, e.Resource}
	r.states[key] = append(r.states[key], e)
}

func (r *record) digest(e history.Event) {
	key := versionOf{e.Resource, e.Version}
	if r.digests[key] == nil {
		r.digests[key] = map[string]firstSeen{}
	}
	if _, seen := r.digests[key][e.Digest]; !seen {
		r.digests[key][e.Digest] = firstSeen{e.Who, e.At}
	}
}

// stopped tells whether a process got to run late because a fault had stopped it.
func (r *record) stopped(e history.Event) bool {
	return slices.ContainsFunc(r.faults, func(f fault) bool {
		return slices.Contains(f.Names, e.Who) && f.from <= e.At && e.At-e.Took <= f.to
	})
}

// fault notes the beginning or the end of a fault, whose name begins with its number in the schedule.
func (r *record) fault(schedule []plan.Fault, e history.Event) {
	number, _, _ := strings.Cut(e.ID, "-")
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(schedule) {
		return
	}
	if e.N == 1 {
		r.open[e.ID] = len(r.faults)
		r.faults = append(r.faults, fault{schedule[n-1], span{e.At, forever}})
		return
	}
	if i, open := r.open[e.ID]; open {
		r.faults[i].to = e.At
		delete(r.open, e.ID)
	}
}

// reach works out when faults touch the ways of each follower.
func (r *record) reach(sc *plan.Scenario) {
	r.touches, r.clear = map[string][]span{}, map[string]map[string][]span{}
	for _, follower := range sc.FollowerNames() {
		r.clear[follower] = map[string][]span{}
		for _, way := range sc.Paths(follower) {
			var disturbed []span
			for _, f := range r.faults {
				if !slices.ContainsFunc(way, func(h plan.Hop) bool { return plan.Affects(f.Fault, h) }) {
					continue
				}
				r.touches[follower] = append(r.touches[follower], f.span)
				if f.Kind != plan.RestartFollowers {
					disturbed = append(disturbed, f.span)
				}
			}
			r.clear[follower][wayName(way)] = between(disturbed)
		}
	}
}

// wayName names the relays of a way.
func wayName(way []plan.Hop) string {
	var names []string
	for _, h := range way[1:] {
		if h.Process != "" {
			names = append(names, h.Process)
		}
	}
	return strings.Join(names, " ")
}

// between are the stretches of time outside of some others.
func between(taken []span) (out []span) {
	slices.SortFunc(taken, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	at := int64(0)
	for _, s := range taken {
		if s.from > at {
			out = append(out, span{at, s.from})
		}
		at = max(at, s.to)
	}
	if at < forever {
		out = append(out, span{at, forever})
	}
	return out
}

// reachable finds a way that is clear for a time within a stretch, the earliest.
func (r *record) reachable(follower string, within span, long time.Duration) (way string, from int64, found bool) {
	from = forever
	for name, spans := range r.clear[follower] {
		for _, s := range spans {
			begin := max(s.from, within.from)
			if begin+long.Microseconds() < min(s.to, within.to) && (begin < from || begin == from && name < way) {
				way, from, found = name, begin, true
			}
		}
	}
	return way, from, found
}

// has is when a follower first had a version, or a later one, or refused it, from a moment on; forever: never.
func (r *record) has(key follows, v distribution.Version, from int64) int64 {
	for _, e := range r.states[key] {
		if e.At >= from && !v.After(e.Version) {
			return e.At
		}
	}
	return forever
}

// upTo limits a time to the run's end.
func (r *record) upTo(at int64) int64 { return min(at, r.end) }

// pairs are all followers with what they follow, in order.
func pairs(sc *plan.Scenario) (out []follows) {
	for _, follower := range sc.FollowerNames() {
		for _, resource := range sc.ResourcesOf(follower) {
			out = append(out, follows{follower, resource})
		}
	}
	return out
}
