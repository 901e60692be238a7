package check

import (
	"slices"
	"strings"

	"fernlanding/internal/distribution"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// checkSnapshots checks that no follower was sent a snapshot while it had a version that the relay
// knows. A relay knows a version if it has brought a follower to that version since the relay's
// start, so that it can send a delta from that version.
func checkSnapshots(_ *plan.Scenario, r *record) (verdicts []Verdict) {
	known := make(map[string]map[resourceVersion]bool) // versions that a relay knows, by relay
	has := make(map[following]distribution.Version)
	for _, e := range r.all {
		key := following{follower: e.Who, resource: e.Resource}
		switch e.Kind {
		case history.Started:
			delete(known, e.Who)
		case history.Subscribed:
			has[key] = e.Version
		case history.InForce:
			had := has[key]
			if e.From.IsZero() && !had.IsZero() && known[e.To][resourceVersion{resource: e.Resource, version: had}] {
				verdicts = append(verdicts, verdict(Snapshots, e.At,
					"%s had %s of %s, which %s knew, and was sent the whole of %s",
					e.Who, had, e.Resource, e.To, e.Version))
			}
			has[key] = e.Version
			if known[e.To] == nil {
				known[e.To] = make(map[resourceVersion]bool)
			}
			known[e.To][resourceVersion{resource: e.Resource, version: e.Version}] = true
		default: // other kinds do not change versions at followers
		}
	}
	return verdicts
}

// checkConverged checks that each version has only one digest and that at the end all followers
// have the source's versions and digests.
func checkConverged(sc *plan.Scenario, r *record) (verdicts []Verdict) {
	verdicts = r.differentItems()
	for _, resource := range sc.Resources() {
		if _, known := r.atSource[resource]; !known {
			verdicts = append(verdicts, verdict(Converged, r.end,
				"the source was not asked for %s in the end", resource))
		}
	}
	for _, key := range followings(sc) {
		want, last := r.atSource[key.resource], r.last(key)
		if want.Version == last.Version && want.Digest == last.Digest {
			continue
		}
		verdicts = append(verdicts, verdict(Converged, r.end,
			"%s has %s (%s) of %s in the end, the source %s (%s)",
			key.follower, last.Version, last.Digest, key.resource, want.Version, want.Digest))
	}
	return verdicts
}

// differentItems returns a verdict for each version whose items differed between followers.
func (r *record) differentItems() (verdicts []Verdict) {
	for key, digests := range r.digests {
		if len(digests) <= 1 {
			continue
		}
		var who []string
		at := int64(0)
		for _, seen := range digests {
			who = append(who, seen.follower)
			at = max(at, seen.at)
		}
		slices.Sort(who)
		verdicts = append(verdicts, verdict(Converged, at,
			"%s of %s has different items with %s", key.version, key.resource, strings.Join(who, " and ")))
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return strings.Compare(a.Message, b.Message) })
	return verdicts
}

// checkDurable checks each read of the source, including those after a restart. The source must
// have all writes that it had answered before the read, with the same items that followers have
// received for that version.
func checkDurable(_ *plan.Scenario, r *record) (verdicts []Verdict) {
	for _, e := range r.sourceReads {
		for _, w := range r.writes[e.Resource] {
			if w.At <= e.At-e.Took && w.Version.After(e.Version) {
				verdicts = append(verdicts, verdict(Durable, e.At,
					"the source has %s of %s; it answered %s to %s %.3f s before",
					e.Version, e.Resource, w.Version, w.ID, seconds(e.At-w.At)))
			}
		}
		for digest, seen := range r.digests[resourceVersion{resource: e.Resource, version: e.Version}] {
			if digest != e.Digest {
				verdicts = append(verdicts, verdict(Durable, e.At,
					"the source has %s of %s with other items than %s got", e.Version, e.Resource, seen.follower))
			}
		}
	}
	return verdicts
}
