package check

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/harness/rollout/plan"
)

// findClearPaths computes when faults affect the paths of each follower, and when each path is
// clear of them.
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

// faultsOf returns when faults affect a path of a follower. It adds these, and the follower's
// restarts, to r.affected.
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

// pathName names a path by its relays and the source.
func pathName(path []plan.Hop) string {
	var names []string
	for _, hop := range path[1:] {
		if hop.Process != "" {
			names = append(names, hop.Process)
		}
	}
	return strings.Join(names, " ")
}

// gaps returns the time spans outside of others, which it sorts.
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

// reachable returns the path of a follower that is clear for longer than a duration within a time
// span, and from when on: the earliest such path.
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
