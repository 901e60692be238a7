package distribution

import (
	"cmp"
	"slices"
	"strings"
)

// MergeStatus adds up what several relays report of a resource, and what a relay knows of its own followers. Latest is
// the resource's version where the statuses are added up; it stands first among the counts, also where no proxy has it.
func MergeStatus(name string, latest Version, parts ...*ResourceStatus) ResourceStatus {
	counts := make(map[Version]int)
	merged := ResourceStatus{Resource: name}
	for _, part := range parts {
		for _, c := range part.Counts {
			counts[c.Version] += c.Proxies
		}
		merged.Rejections = append(merged.Rejections, part.Rejections...)
		for _, l := range part.Laggards {
			if latest.After(l.InForce) {
				merged.Laggards = append(merged.Laggards, l)
			}
		}
	}
	for version, proxies := range counts {
		if proxies > 0 {
			merged.Counts = append(merged.Counts, VersionCount{version, proxies})
		}
	}
	if !latest.IsZero() && counts[latest] == 0 {
		merged.Counts = append(merged.Counts, VersionCount{Version: latest})
	}
	slices.SortFunc(merged.Counts, func(a, b VersionCount) int { return b.Version.Compare(a.Version) })
	merged.Counts = boundCounts(merged.Counts)
	merged.Rejections = boundRefusals(merged.Rejections)
	merged.Laggards = boundLaggards(merged.Laggards)
	return merged
}

// boundCounts adds the oldest versions together where there are too many, under the oldest of them: a proxy must not count
// for a version that it has not got.
func boundCounts(counts []VersionCount) []VersionCount {
	if len(counts) <= MaxCounts {
		return counts
	}
	rest := VersionCount{Version: counts[len(counts)-1].Version}
	for _, c := range counts[MaxCounts-1:] {
		rest.Proxies += c.Proxies
	}
	return append(counts[:MaxCounts-1], rest)
}

// boundRefusals keeps those of the latest versions, one for each follower.
func boundRefusals(refusals []Rejection) []Rejection {
	slices.SortFunc(refusals, func(a, b Rejection) int {
		return cmp.Or(strings.Compare(a.Follower, b.Follower), b.Version.Compare(a.Version))
	})
	refusals = slices.CompactFunc(refusals, func(a, b Rejection) bool { return a.Follower == b.Follower })
	slices.SortStableFunc(refusals, func(a, b Rejection) int { return b.Version.Compare(a.Version) })
	return refusals[:min(len(refusals), MaxLaggards)]
}

// boundLaggards keeps those that are furthest behind, each follower once.
func boundLaggards(behind []Laggard) []Laggard {
	slices.SortFunc(behind, func(a, b Laggard) int {
		return cmp.Or(strings.Compare(a.Follower, b.Follower), b.InForce.Compare(a.InForce))
	})
	behind = slices.CompactFunc(behind, func(a, b Laggard) bool { return a.Follower == b.Follower })
	slices.SortStableFunc(behind, func(a, b Laggard) int { return a.InForce.Compare(b.InForce) })
	return behind[:min(len(behind), MaxLaggards)]
}

// Progress is how far a version is in force, out of a status.
type Progress struct {
	InForce, Proxies int // of all that follow the resource, those that have the version or a later one
	Rejections       []Rejection
	Laggards         []Laggard
}

// Progress is how far a version is in force.
func (s *ResourceStatus) Progress(version Version) Progress {
	var p Progress
	for _, c := range s.Counts {
		p.Proxies += c.Proxies
		if !version.After(c.Version) {
			p.InForce += c.Proxies
		}
	}
	for _, r := range s.Rejections {
		if !version.After(r.Version) {
			p.Rejections = append(p.Rejections, r)
		}
	}
	for _, l := range s.Laggards {
		if version.After(l.InForce) {
			p.Laggards = append(p.Laggards, l)
		}
	}
	return p
}

// Done tells whether the version is in force at all proxies.
func (p *Progress) Done() bool { return p.InForce == p.Proxies }
