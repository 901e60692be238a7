package plan

import (
	"slices"
	"strconv"
	"strings"
)

// Names returns the names of a group's processes, in order.
func (sc *Scenario) Names(group string) []string {
	switch group {
	case OnSource:
		return []string{Source}
	case OnRegions:
		return numbered(regionPrefix, sc.Relays.Regions)
	case OnZones:
		return numbered(zonePrefix, sc.Relays.Zones*sc.Relays.PerZone)
	case OnFollowers:
		return numbered(processPrefix, sc.Followers.Processes)
	case OnPublisher:
		return []string{PublisherName}
	}
	return nil
}

// numbered returns the names that consist of prefix and a number from 1 to n.
func numbered(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, prefix+strconv.Itoa(i+1))
	}
	return out
}

// indexOf returns the zero-based index of the named process or follower within its group.
func indexOf(name string) int {
	n, _ := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:]) // numbered creates all names
	return n - 1
}

// FollowerNames returns the names of the followers in all processes.
func (sc *Scenario) FollowerNames() []string {
	return numbered(followerPrefix, sc.Followers.Processes*sc.Followers.PerProcess)
}

// ProcessOf returns the name of the process that runs a follower.
func (sc *Scenario) ProcessOf(follower string) string {
	return sc.Names(OnFollowers)[indexOf(follower)%sc.Followers.Processes]
}

// ZoneNames returns the names of the zones: a, b, and so on.
func (sc *Scenario) ZoneNames() (out []string) {
	for i := range sc.Relays.Zones {
		out = append(out, string(rune('a'+i)))
	}
	return out
}

// ZoneOf returns the zone of a zone relay, of a process that runs followers, or of a follower. It
// returns "" for other names.
func (sc *Scenario) ZoneOf(name string) string {
	zones := sc.ZoneNames()
	switch {
	case strings.HasPrefix(name, followerPrefix):
		return sc.ZoneOf(sc.ProcessOf(name))
	case strings.HasPrefix(name, zonePrefix), strings.HasPrefix(name, processPrefix):
		return zones[indexOf(name)%len(zones)]
	}
	return ""
}

// RelaysOf returns the relays that a follower may read from, which are the relays of its zone.
func (sc *Scenario) RelaysOf(follower string) (out []string) {
	for _, relay := range sc.Names(OnZones) {
		if sc.ZoneOf(relay) == sc.ZoneOf(follower) {
			out = append(out, relay)
		}
	}
	return out
}

// ResourceName returns the name of resource n, counted from 0.
func ResourceName(n int) string { return "service-" + strconv.Itoa(n+1) }

// ResourcesOf returns the names of the resources that a follower follows.
func (sc *Scenario) ResourcesOf(follower string) (out []string) {
	for i := range sc.Followers.ResourcesEach {
		out = append(out, ResourceName((indexOf(follower)+i)%sc.Publisher.Resources))
	}
	return out
}

// Resources returns the names of all resources.
func (sc *Scenario) Resources() (out []string) {
	for i := range sc.Publisher.Resources {
		out = append(out, ResourceName(i))
	}
	return out
}

// LinksTo returns the links on which connections to the source or a relay are opened.
func (sc *Scenario) LinksTo(server string) []string {
	switch {
	case server == Source:
		return []string{RegionsToSource, PublisherToSource}
	case strings.HasPrefix(server, regionPrefix):
		return []string{ZonesToRegions}
	}
	return []string{FollowersToZones}
}

// LinkBetween returns the link on which a caller connects to the source or a relay.
func (sc *Scenario) LinkBetween(caller, server string) string {
	if caller == PublisherName {
		return PublisherToSource
	}
	return sc.LinksTo(server)[0]
}

// Hop is one element of a path from a follower to the source. It is a process or the link between
// two processes.
type Hop struct {
	Process  string // process of the hop; empty for a link
	Link     string // link of the hop; empty for a process
	From, To string // ends of the link; From opens its connections
}

// Paths returns all paths from a follower to the source as lists of hops.
func (sc *Scenario) Paths(follower string) (out [][]Hop) {
	for _, zone := range sc.RelaysOf(follower) {
		for _, region := range sc.Names(OnRegions) {
			out = append(out, []Hop{
				{Process: sc.ProcessOf(follower)},
				{Link: FollowersToZones, From: follower, To: zone},
				{Process: zone},
				{Link: ZonesToRegions, From: zone, To: region},
				{Process: region},
				{Link: RegionsToSource, From: region, To: Source},
				{Process: Source},
			})
		}
	}
	return out
}

// Affects reports whether a fault of a schedule acts on hop h.
func Affects(f Fault, h Hop) bool {
	if !ActsOnLinks(f.Kind) {
		return slices.Contains(f.Names, h.Process)
	}
	return f.Link == h.Link && (slices.Contains(f.Names, h.From) || slices.Contains(f.Names, h.To))
}

// possibleTargets returns all names that are valid in a fault like f.
func (sc *Scenario) possibleTargets(f Fault) []string {
	if !ActsOnLinks(f.Kind) {
		return sc.Names(f.Group)
	}
	switch f.Link {
	case FollowersToZones:
		return slices.Concat(sc.FollowerNames(), sc.Names(OnZones))
	case ZonesToRegions:
		return slices.Concat(sc.Names(OnZones), sc.Names(OnRegions))
	case RegionsToSource:
		return slices.Concat(sc.Names(OnRegions), sc.Names(OnSource))
	}
	return []string{PublisherName, Source}
}

// defaultTargets returns the names from which the targets of a fault without names are drawn.
func (sc *Scenario) defaultTargets(f Fault) []string {
	if f.Link == FollowersToZones {
		return sc.FollowerNames()
	}
	return sc.Names(f.Group)
}
