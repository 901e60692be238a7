package plan

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Names are the processes of a group, in order.
func (x *Scenario) Names(group string) []string {
	switch group {
	case OnSource:
		return []string{Source}
	case OnRegions:
		return numbered(regionPrefix, x.Relays.Regions)
	case OnZones:
		return numbered(zonePrefix, x.Relays.Zones*x.Relays.PerZone)
	case OnFollowers:
		return numbered(processPrefix, x.Followers.Processes)
	case OnPublisher:
		return []string{PublisherName}
	}
	return nil
}

func numbered(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, prefix+strconv.Itoa(i+1))
	}
	return out
}

// number is the number of a process by its name, from 0.
func number(name string) int {
	n, _ := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
	return n - 1
}

// FollowerNames are all followers, over all processes.
func (x *Scenario) FollowerNames() []string {
	return numbered(followerPrefix, x.Followers.Processes*x.Followers.Each)
}

// ProcessOf is the process of a follower.
func (x *Scenario) ProcessOf(follower string) string {
	return x.Names(OnFollowers)[number(follower)%x.Followers.Processes]
}

// ZoneNames are the zones: a, b, and so on.
func (x *Scenario) ZoneNames() (out []string) {
	for i := range x.Relays.Zones {
		out = append(out, string(rune('a'+i)))
	}
	return out
}

// ZoneOf is the zone of a zone relay, of a process of followers, or of a follower; empty for others.
func (x *Scenario) ZoneOf(name string) string {
	zones := x.ZoneNames()
	switch {
	case strings.HasPrefix(name, followerPrefix):
		return x.ZoneOf(x.ProcessOf(name))
	case strings.HasPrefix(name, zonePrefix), strings.HasPrefix(name, processPrefix):
		return zones[number(name)%len(zones)]
	}
	return ""
}

// RelaysOf are the relays that a follower may ask: those of its zone.
func (x *Scenario) RelaysOf(follower string) (out []string) {
	for _, relay := range x.Names(OnZones) {
		if x.ZoneOf(relay) == x.ZoneOf(follower) {
			out = append(out, relay)
		}
	}
	return out
}

// ResourceName is the name of the nth resource, from 0.
func ResourceName(n int) string { return "service-" + strconv.Itoa(n+1) }

// ResourcesOf are the resources that a follower follows.
func (x *Scenario) ResourcesOf(follower string) (out []string) {
	for i := range x.Followers.Follows {
		out = append(out, ResourceName((number(follower)+i)%x.Publisher.Resources))
	}
	return out
}

// Resources are the names of all resources.
func (x *Scenario) Resources() (out []string) {
	for i := range x.Publisher.Resources {
		out = append(out, ResourceName(i))
	}
	return out
}

// LinksTo are the links that lead to the source or a relay.
func (x *Scenario) LinksTo(server string) []string {
	switch {
	case server == Source:
		return []string{RegionsToSource, PublisherToSource}
	case strings.HasPrefix(server, regionPrefix):
		return []string{ZonesToRegions}
	}
	return []string{FollowersToZones}
}

// LinkBetween is the link over which somebody reaches the source or a relay.
func (x *Scenario) LinkBetween(caller, server string) string {
	if caller == PublisherName {
		return PublisherToSource
	}
	return x.LinksTo(server)[0]
}

// Hop is one element of a way from the source to a follower: a process, or the link from one to another.
type Hop struct {
	Process  string // empty for a link
	Link     string
	From, To string // the ends of a link; From has opened it
}

// Ways are all ways from a follower to the source, each as the elements that have to be well.
func (x *Scenario) Ways(follower string) (out [][]Hop) {
	for _, zone := range x.RelaysOf(follower) {
		for _, region := range x.Names(OnRegions) {
			out = append(out, []Hop{
				{Process: x.ProcessOf(follower)},
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

// Touches tells whether a fault of a schedule acts on an element of a way.
func Touches(f Fault, h Hop) bool {
	if !IsOfLinks(f.Kind) {
		return slices.Contains(f.Names, h.Process)
	}
	return f.Link == h.Link && (slices.Contains(f.Names, h.From) || slices.Contains(f.Names, h.To))
}

// actedOn are the names that a fault may have.
func (x *Scenario) actedOn(f Fault) []string {
	if !IsOfLinks(f.Kind) {
		return x.Names(f.On)
	}
	switch f.Link {
	case FollowersToZones:
		return slices.Concat(x.FollowerNames(), x.Names(OnZones))
	case ZonesToRegions:
		return slices.Concat(x.Names(OnZones), x.Names(OnRegions))
	case RegionsToSource:
		return slices.Concat(x.Names(OnRegions), x.Names(OnSource))
	}
	return []string{PublisherName, Source}
}

// callers are those that a fault acts on where it names nobody.
func (x *Scenario) callers(f Fault) []string {
	if f.Link == FollowersToZones {
		return x.FollowerNames()
	}
	return x.Names(f.On)
}

// Describe says in a line what is started.
func (x *Scenario) Describe() string {
	return fmt.Sprintf("%s, seed %d: 1 source, %d region relays, %d zone relays in %d zones, %d followers in %d processes, 1 publisher; %v and %v without faults", x.Name, x.Seed,
		x.Relays.Regions, len(x.Names(OnZones)), x.Relays.Zones, len(x.FollowerNames()), x.Followers.Processes, x.For, x.Settle)
}
