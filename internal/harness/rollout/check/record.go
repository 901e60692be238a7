package check

import (
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// Times in microseconds, the unit of a history.
const (
	second  = int64(1_000_000)
	forever = int64(1) << 62
)

// span is a time span in microseconds.
type span struct{ from, to int64 }

// following is a follower and a resource that it follows.
type following struct{ follower, resource string }

// resourceVersion is a version of a resource.
type resourceVersion struct {
	resource string
	version  distribution.Version
}

// firstSeen is the follower that first had a set of items, and the time at which it had them.
type firstSeen struct {
	follower string
	at       int64
}

// timedFault is a fault of the schedule and the time span in which it was active.
type timedFault struct {
	plan.Fault
	span
}

// record is a history with indexes for the checks. All lists of events are sorted by time except
// where noted.
type record struct {
	all []history.Event
	end int64 // time of the last event

	states      map[following][]history.Event // Subscribed, InForce and UpdateRejected events
	writes      map[string][]history.Event    // answered puts by resource, sorted by version
	reports     map[string][]history.Event    // in-force reports by resource
	sourceReads []history.Event               // all reads of the source
	atSource    map[string]history.Event      // last read of the source, keyed by resource
	usage       map[string][]history.Event    // Usage events by process
	cpuWaits    map[string][]history.Event    // CPUWaited events by process
	lags        []span                        // spans in which a process ran late and no fault had stopped it
	// digests has, for each version, the digests of its items with the first follower that had
	// them.
	digests map[resourceVersion]map[string]firstSeen

	faults     []timedFault
	openFaults map[string]int               // indices into faults of active faults, by the ID of their events
	affected   map[string][]span            // spans of faults and restarts that affect a path, by follower
	clear      map[string]map[string][]span // spans in which no fault affects a path, by follower and path
}

// newRecord indexes a history, which must be sorted by time.
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
	default: // no check needs an index of other kinds
	}
}

// addState adds an event that changes the state of a follower.
func (r *record) addState(e history.Event) {
	key := following{follower: e.Who, resource: e.Resource}
	r.states[key] = append(r.states[key], e)
}

// addDigest adds the digest of a version at a follower.
func (r *record) addDigest(e history.Event) {
	key := resourceVersion{resource: e.Resource, version: e.Version}
	if r.digests[key] == nil {
		r.digests[key] = make(map[string]firstSeen)
	}
	if _, seen := r.digests[key][e.Digest]; !seen {
		r.digests[key][e.Digest] = firstSeen{follower: e.Who, at: e.At}
	}
}

// addFault adds the beginning or the end of a fault. The ID of the event begins with the number of
// the fault in the schedule.
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

// wasStopped reports whether a Lag event is of a process that a fault affected at that time, for
// example by stopping it.
func (r *record) wasStopped(e history.Event) bool {
	return slices.ContainsFunc(r.faults, func(f timedFault) bool {
		return slices.Contains(f.Names, e.Who) && f.from <= e.At && e.At-e.Took <= f.to
	})
}

// firstHad returns the first time since a given time at which a follower had a version or a later
// one, or rejected it. It returns forever if there is no such time.
func (r *record) firstHad(key following, v distribution.Version, since int64) int64 {
	for _, e := range r.states[key] {
		if e.At >= since && !v.After(e.Version) {
			return e.At
		}
	}
	return forever
}

// last returns the event of the version that a follower has in force at the end. After a restart
// with a version, the event has no digest until the next update.
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
