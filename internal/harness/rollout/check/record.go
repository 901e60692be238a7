package check

import (
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// Times of a history are in microseconds.
const (
	second  = int64(1_000_000)
	forever = int64(1) << 62
)

// span is a time span, in microseconds.
type span struct{ from, to int64 }

// following is a follower and a resource that it follows.
type following struct{ follower, resource string }

// resourceVersion is a version of a resource.
type resourceVersion struct {
	resource string
	version  distribution.Version
}

// firstSeen is the follower that first had some items, and when.
type firstSeen struct {
	follower string
	at       int64
}

// timedFault is a fault of the schedule and when it was there.
type timedFault struct {
	plan.Fault
	span
}

// record is a history, indexed for the checks. All events are in the order of time.
type record struct {
	all []history.Event
	end int64 // of the run

	states      map[following][]history.Event // Subscribed, InForce and Refused
	writes      map[string][]history.Event    // answered puts of each resource, by version
	reports     map[string][]history.Event    // in-force reports of each resource
	sourceReads []history.Event               // what the source had whenever it was asked
	atSource    map[string]history.Event      // the last of these for each resource
	usage       map[string][]history.Event    // of each process
	cpuWaits    map[string][]history.Event    // of each process
	lags        []span                        // while the machine kept a process of the rig waiting
	digests     map[resourceVersion]map[string]firstSeen

	faults     []timedFault
	openFaults map[string]int               // indices into faults, of those that go on, by the ID of their events
	affected   map[string][]span            // when faults, restarts included, affect a path of each follower
	clear      map[string]map[string][]span // when no fault affects a path, by follower and path
}

// newRecord indexes a history, which is sorted by time.
func newRecord(sc *plan.Scenario, all []history.Event) *record {
	r := &record{
		all:        all,
		states:     make(map[following][]history.Event),
		writes:     make(map[string][]history.Event),
		reports:    make(map[string][]history.Event),
		atSource:   make(map[string]history.Event),
		usage:      make(map[string][]history.Event),
		cpuWaits:   make(map[string][]history.Event),
		digests:    make(map[resourceVersion]map[string]firstSeen),
		openFaults: make(map[string]int),
	}
	schedule := sc.Schedule()
	for _, e := range all {
		r.end = max(r.end, e.At)
		r.addEvent(schedule, e)
	}
	for _, writes := range r.writes {
		slices.SortStableFunc(writes, func(a, b history.Event) int { return a.Version.Compare(b.Version) })
	}
	r.findClearPaths(sc)
	return r
}

// addEvent indexes an event.
func (r *record) addEvent(schedule []plan.Fault, e history.Event) {
	switch e.Kind {
	case history.Subscribed, history.UpdateRejected:
		r.addState(e)
	case history.InForce:
		r.addState(e)
		r.addDigest(e)
	case history.Put:
		if !e.Version.IsZero() {
			r.writes[e.Resource] = append(r.writes[e.Resource], e)
		}
	case history.Fault:
		r.addFault(schedule, e)
	case history.CPUWaited:
		r.cpuWaits[e.Who] = append(r.cpuWaits[e.Who], e)
	case history.Lag:
		if !r.wasStopped(e) {
			r.lags = append(r.lags, span{from: e.At - e.Took, to: e.At})
		}
	case history.StatusReported:
		r.reports[e.Resource] = append(r.reports[e.Resource], e)
	case history.SourceRead:
		r.atSource[e.Resource] = e
		r.sourceReads = append(r.sourceReads, e)
	case history.Usage:
		r.usage[e.Who] = append(r.usage[e.Who], e)
	default: // no check needs an index of it
	}
}

// addState adds what a follower has in force, or rejects.
func (r *record) addState(e history.Event) {
	key := following{follower: e.Who, resource: e.Resource}
	r.states[key] = append(r.states[key], e)
}

// addDigest adds the items that a follower has of a version, by their digest.
func (r *record) addDigest(e history.Event) {
	key := resourceVersion{resource: e.Resource, version: e.Version}
	if r.digests[key] == nil {
		r.digests[key] = make(map[string]firstSeen)
	}
	if _, seen := r.digests[key][e.Digest]; !seen {
		r.digests[key][e.Digest] = firstSeen{follower: e.Who, at: e.At}
	}
}

// addFault adds the beginning or the end of a fault, whose ID begins with its number in the
// schedule.
func (r *record) addFault(schedule []plan.Fault, e history.Event) {
	number, _, _ := strings.Cut(e.ID, "-")
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(schedule) {
		return
	}
	if e.N == 1 {
		r.openFaults[e.ID] = len(r.faults)
		r.faults = append(r.faults, timedFault{Fault: schedule[n-1], span: span{from: e.At, to: forever}})
		return
	}
	if i, open := r.openFaults[e.ID]; open {
		r.faults[i].to = e.At
		delete(r.openFaults, e.ID)
	}
}

// wasStopped reports whether a process ran late because a fault had stopped it.
func (r *record) wasStopped(e history.Event) bool {
	return slices.ContainsFunc(r.faults, func(f timedFault) bool {
		return slices.Contains(f.Names, e.Who) && f.from <= e.At && e.At-e.Took <= f.to
	})
}

// firstHad returns when a follower first had a version or a later one, or rejected it, since a
// time; forever: never.
func (r *record) firstHad(key following, v distribution.Version, since int64) int64 {
	for _, e := range r.states[key] {
		if e.At >= since && !v.After(e.Version) {
			return e.At
		}
	}
	return forever
}

// last returns what a follower has in force at the end. One that has restarted with a version has
// no digest until the next update.
func (r *record) last(key following) (last history.Event) {
	for _, e := range r.states[key] {
		if e.Kind != history.UpdateRejected {
			last = e
		}
	}
	return last
}

// followings returns all followers with each resource that they follow, in order.
func followings(sc *plan.Scenario) (out []following) {
	for _, follower := range sc.FollowerNames() {
		for _, resource := range sc.ResourcesOf(follower) {
			out = append(out, following{follower: follower, resource: resource})
		}
	}
	return out
}
