package plan

import (
	"slices"
	"strconv"
	"strings"
)

// Names returns the processes of a group, in order.
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

// numbered returns names with the numbers 1 to n.
func numbered(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, prefix+strconv.Itoa(i+1))
	}
	return out
}

// indexOf returns the index, from 0, of a process or follower within its group, by its name.
func indexOf(name string) int {
	n, _ := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:]) // numbered gave the name
	return n - 1
}

// FollowerNames returns all followers, of all processes.
func (sc *Scenario) FollowerNames() []string {
	return numbered(followerPrefix, sc.Followers.Processes*sc.Followers.PerProcess)
}

// ProcessOf returns the process of a follower.
func (sc *Scenario) ProcessOf(follower string) string {
	return sc.Names(OnFollowers)[indexOf(follower)%sc.Followers.Processes]
}

// ZoneNames returns the zones: a, b, and so on.
func (sc *Scenario) ZoneNames() (out []string) {
	for i := range sc.Relays.Zones {
		out = append(out, string(rune('a'+i)))
	}
	return out
}

// ZoneOf returns the zone of a zone relay, of a process of followers, or of a follower; empty for
// others.
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

// RelaysOf returns the relays that a follower may read from: those of its zone.
func (sc *Scenario) RelaysOf(follower string) (out []string) {
	for _, relay := range sc.Names(OnZones) {
		if sc.ZoneOf(relay) == sc.ZoneOf(follower) {
			out = append(out, relay)
		}
	}
	return out
}

// ResourceName returns the name of the nth resource, from 0.
func ResourceName(n int) string { return "service-" + strconv.Itoa(n+1) }

// ResourcesOf returns the resources that a follower follows.
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

// LinksTo returns the links that lead to the source or a relay.
func (sc *Scenario) LinksTo(server string) []string {
	switch {
	case server == Source:
		return []string{RegionsToSource, PublisherToSource}
	case strings.HasPrefix(server, regionPrefix):
		return []string{ZonesToRegions}
	}
	return []string{FollowersToZones}
}

// LinkBetween returns the link over which a caller reaches the source or a relay.
func (sc *Scenario) LinkBetween(caller, server string) string {
	if caller == PublisherName {
		return PublisherToSource
	}
	return sc.LinksTo(server)[0]
}

// Hop is one element of a path from the source to a follower: a process, or the link from one to
// another.
type Hop struct {
	Process  string // empty for a link
	Link     string
	From, To string // the ends of a link; From opens its connections
}

// Paths returns all paths from a follower to the source, each as its hops.
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

// Affects reports whether a fault of a schedule acts on a hop.
func Affects(f Fault, h Hop) bool {
	if !ActsOnLinks(f.Kind) {
		return slices.Contains(f.Names, h.Process)
	}
	return f.Link == h.Link && (slices.Contains(f.Names, h.From) || slices.Contains(f.Names, h.To))
}

// possibleTargets returns the names that a fault may have.
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

// defaultTargets returns the names that a fault without names is drawn from.
func (sc *Scenario) defaultTargets(f Fault) []string {
	if f.Link == FollowersToZones {
		return sc.FollowerNames()
	}
	return sc.Names(f.Group)
}
