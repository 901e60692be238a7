package check

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/harness/rollout/plan"
)

// findClearPaths computes the time spans in which faults affect the paths of each follower and the
// time spans in which each path is free of faults.
func (r *record) findClearPaths(sc *plan.Scenario) {
	r.affected = make(map[string][]span)
	r.clear = make(map[string]map[string][]span)
	for _, follower := range sc.FollowerNames() {
		r.clear[follower] = make(map[string][]span)
		for _, path := range sc.Paths(follower) {
			r.clear[follower][pathName(path)] = gaps(r.faultsOf(follower, path))
		}
	}
}

// faultsOf returns the time spans in which faults affect a path of a follower. It adds these spans
// and the spans of the follower's restarts to r.affected.
func (r *record) faultsOf(follower string, path []plan.Hop) (affected []span) {
	for _, f := range r.faults {
		if !slices.ContainsFunc(path, func(hop plan.Hop) bool { return plan.Affects(f.Fault, hop) }) {
			continue
		}
		r.affected[follower] = append(r.affected[follower], f.span)
		if f.Kind != plan.RestartFollowers {
			affected = append(affected, f.span)
		}
	}
	return affected
}

// pathName returns the name of a path, which consists of the names of its relays and the source.
func pathName(path []plan.Hop) string {
	var names []string
	for _, hop := range path[1:] {
		if hop.Process != "" {
			names = append(names, hop.Process)
		}
	}
	return strings.Join(names, " ")
}

// gaps returns the time spans between the spans in taken, up to forever. It sorts taken.
func gaps(taken []span) (out []span) {
	slices.SortFunc(taken, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	at := int64(0)
	for _, s := range taken {
		if s.from > at {
			out = append(out, span{from: at, to: s.from})
		}
		at = max(at, s.to)
	}
	if at < forever {
		out = append(out, span{from: at, to: forever})
	}
	return out
}

// reachable returns the first path of a follower that is free of faults for longer than duration
// within a time span, and the time from which the path is free.
func (r *record) reachable(follower string, within span, duration time.Duration) (path string, from int64, found bool) {
	from = forever
	for name, spans := range r.clear[follower] {
		for _, s := range spans {
			start := max(s.from, within.from)
			isClear := start+duration.Microseconds() < min(s.to, within.to)
			isEarlier := start < from || start == from && name < path
			if isClear && isEarlier {
				path, from, found = name, start, true
			}
		}
	}
	return path, from, found
}
