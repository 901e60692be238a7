package distribution

import (
	"cmp"
	"slices"
	"strings"
)

// ResourceStatus is how far a resource is in force over a number of proxies.
type ResourceStatus struct {
	Resource string `json:"resource"`
	// Counts are the proxies by the version that they have in force, latest first.
	Counts []VersionCount `json:"counts"`
	// Rejections names MaxLaggards proxies at most.
	Rejections []Rejection `json:"refusals,omitempty"`
	// Laggards names MaxLaggards proxies at most, of those whose version is not the latest.
	Laggards []Laggard `json:"behind,omitempty"`
}

// VersionCount is how many proxies have a version in force.
type VersionCount struct {
	Version Version `json:"version"`
	Proxies int     `json:"proxies"`
}

// Rejection is a proxy that has rejected a version.
type Rejection struct {
	Follower string  `json:"follower"`
	Version  Version `json:"version"`
	Reason   string  `json:"reason"`
}

// Laggard is a proxy whose version in force is not the latest.
type Laggard struct {
	Follower string  `json:"follower"`
	InForce  Version `json:"in_force,omitzero"`
}

// MergeStatus sums up the reports of several relays on a resource, and what a relay knows of its
// own followers. Latest is the resource's version at the process that merges them; it comes first
// among the counts, even if no proxy has it.
func MergeStatus(name string, latest Version, parts ...*ResourceStatus) ResourceStatus {
	counts := make(map[Version]int)
	merged := ResourceStatus{Resource: name}
	for _, part := range parts {
		for _, count := range part.Counts {
			counts[count.Version] += count.Proxies
		}
		merged.Rejections = append(merged.Rejections, part.Rejections...)
		for _, laggard := range part.Laggards {
			if latest.After(laggard.InForce) {
				merged.Laggards = append(merged.Laggards, laggard)
			}
		}
	}
	for version, proxies := range counts {
		if proxies > 0 {
			merged.Counts = append(merged.Counts, VersionCount{Version: version, Proxies: proxies})
		}
	}
	if !latest.IsZero() && counts[latest] == 0 {
		merged.Counts = append(merged.Counts, VersionCount{Version: latest})
	}
	slices.SortFunc(merged.Counts, func(a, b VersionCount) int { return b.Version.Compare(a.Version) })
	merged.Counts = boundCounts(merged.Counts)
	merged.Rejections = boundRejections(merged.Rejections)
	merged.Laggards = boundLaggards(merged.Laggards)
	return merged
}

// boundCounts sums up the oldest versions where there are too many, under the oldest of them: a
// proxy must not count for a version that it does not have.
func boundCounts(counts []VersionCount) []VersionCount {
	if len(counts) <= MaxCounts {
		return counts
	}
	oldest := VersionCount{Version: counts[len(counts)-1].Version}
	for _, count := range counts[MaxCounts-1:] {
		oldest.Proxies += count.Proxies
	}
	return append(counts[:MaxCounts-1], oldest)
}

// boundRejections keeps MaxLaggards rejections: the last one of each follower, and of these the
// latest versions.
func boundRejections(rejections []Rejection) []Rejection {
	slices.SortFunc(rejections, func(a, b Rejection) int {
		return cmp.Or(strings.Compare(a.Follower, b.Follower), b.Version.Compare(a.Version))
	})
	rejections = slices.CompactFunc(rejections, func(a, b Rejection) bool { return a.Follower == b.Follower })
	slices.SortStableFunc(rejections, func(a, b Rejection) int { return b.Version.Compare(a.Version) })
	return rejections[:min(len(rejections), MaxLaggards)]
}

// boundLaggards keeps the MaxLaggards that are furthest behind, each follower once with its latest
// version.
func boundLaggards(laggards []Laggard) []Laggard {
	slices.SortFunc(laggards, func(a, b Laggard) int {
		return cmp.Or(strings.Compare(a.Follower, b.Follower), b.InForce.Compare(a.InForce))
	})
	laggards = slices.CompactFunc(laggards, func(a, b Laggard) bool { return a.Follower == b.Follower })
	slices.SortStableFunc(laggards, func(a, b Laggard) int { return a.InForce.Compare(b.InForce) })
	return laggards[:min(len(laggards), MaxLaggards)]
}

// Progress is how far one version of a resource is in force.
type Progress struct {
	// InForce is how many of the Proxies that follow the resource have the version or a later one.
	InForce, Proxies int
	// Rejections and Laggards are those of the status that concern the version.
	Rejections []Rejection
	Laggards   []Laggard
}

// Progress returns how far a version is in force.
func (s *ResourceStatus) Progress(version Version) Progress {
	var progress Progress
	for _, count := range s.Counts {
		progress.Proxies += count.Proxies
		if !version.After(count.Version) {
			progress.InForce += count.Proxies
		}
	}
	for _, rejection := range s.Rejections {
		if !version.After(rejection.Version) {
			progress.Rejections = append(progress.Rejections, rejection)
		}
	}
	for _, laggard := range s.Laggards {
		if version.After(laggard.InForce) {
			progress.Laggards = append(progress.Laggards, laggard)
		}
	}
	return progress
}

// Done reports whether the version is in force at all proxies.
func (p *Progress) Done() bool { return p.InForce == p.Proxies }
