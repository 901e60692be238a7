package distribution

import (
	"cmp"
	"slices"
	"strings"
)

// ResourceStatus states which versions of a resource a group of proxies has in force.
type ResourceStatus struct {
	Resource string `json:"resource"`
	// Counts are the numbers of proxies by version in force, latest version first.
	Counts []VersionCount `json:"counts"`
	// Rejections contains at most MaxLaggards proxies.
	Rejections []Rejection `json:"refusals,omitempty"`
	// Laggards contains at most MaxLaggards of the proxies whose version is not the latest.
	Laggards []Laggard `json:"behind,omitempty"`
}

// VersionCount is the number of proxies that have a version in force.
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

// MergeStatus merges statuses of a resource: the reports of several relays, and the status of the
// followers of the merging relay. The argument latest is the version of the resource at the merging
// process. The counts begin with latest even if no proxy has that version.
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

// boundCounts limits the counts to MaxCounts. It adds up the counts of the excess versions under
// the oldest version, because a proxy must not count for a version that it does not have.
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

// boundRejections limits the rejections to MaxLaggards. It keeps the last rejection of each
// follower, and of these the ones of the latest versions.
func boundRejections(rejections []Rejection) []Rejection {
	slices.SortFunc(rejections, func(a, b Rejection) int {
		return cmp.Or(strings.Compare(a.Follower, b.Follower), b.Version.Compare(a.Version))
	})
	rejections = slices.CompactFunc(rejections, func(a, b Rejection) bool { return a.Follower == b.Follower })
	slices.SortStableFunc(rejections, func(a, b Rejection) int { return b.Version.Compare(a.Version) })
	return rejections[:min(len(rejections), MaxLaggards)]
}

// boundLaggards limits the laggards to the MaxLaggards with the oldest versions. Each follower is
// contained once, with its latest version.
func boundLaggards(laggards []Laggard) []Laggard {
	slices.SortFunc(laggards, func(a, b Laggard) int {
		return cmp.Or(strings.Compare(a.Follower, b.Follower), b.InForce.Compare(a.InForce))
	})
	laggards = slices.CompactFunc(laggards, func(a, b Laggard) bool { return a.Follower == b.Follower })
	slices.SortStableFunc(laggards, func(a, b Laggard) int { return a.InForce.Compare(b.InForce) })
	return laggards[:min(len(laggards), MaxLaggards)]
}

// Progress is the progress of the rollout of one version of a resource.
type Progress struct {
	// Proxies is the number of proxies that follow the resource. InForce is the number of these
	// proxies that have the version or a later one in force.
	InForce, Proxies int
	// Rejections and Laggards are the entries of the status that concern the version.
	Rejections []Rejection
	Laggards   []Laggard
}

// Progress returns the progress of the rollout of a version.
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

// Done reports whether all proxies have the version in force.
func (p *Progress) Done() bool { return p.InForce == p.Proxies }
