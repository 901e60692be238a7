// Package plan describes a run of the harness that checks the distribution of resources: the
// source, relays, followers and publisher, the puts with their times, and the fault schedule. The
// package is pure: file contents and seeds are arguments. docs/operate/rig.md documents the keys of
// a scenario file.
package plan

import (
	"fmt"
	"slices"
	"time"

	"fernlanding/internal/harness/scenario"
)

// Scenario describes a run.
type Scenario struct {
	Name string
	Seed uint64
	// Duration is the period of faults and puts. It begins when every follower has every resource
	// that it follows.
	Duration time.Duration
	// Settle is the period without faults and puts that follows Duration.
	Settle    time.Duration
	Relays    Relays
	Followers Followers
	Publisher Publisher
	Bounds    Bounds
	Random    Random
	Faults    []Fault
}

// Relays describes the two levels of relays. Region relays follow the source; zone relays follow
// the region relays.
type Relays struct {
	Regions int           // number of region relays
	Zones   int           // number of zones, to which followers and zone relays are assigned in turn
	PerZone int           // relays in each zone
	Hold    time.Duration // hold of the relays' reads
}

// Followers describes the followers of resources.
type Followers struct {
	Processes     int
	PerProcess    int           // followers in each process
	Hold          time.Duration // hold of the followers' reads
	ResourcesEach int           // resources that each follower follows
}

// Publisher describes the publisher, which is the only writer. Its fractions are from 0 to 1.
type Publisher struct {
	Rate           float64 // puts per second
	Resources      int
	Items          int     // items of each resource
	Changes        int     // items that each put changes
	Urgent         float64 // fraction of the puts that delete an item, which makes them urgent
	ConcurrentPuts float64 // fraction of the puts with a concurrent put to the same resource
	Rejected       float64 // fraction of the puts that one follower rejects
}

// Bounds are the limits that a run is checked against.
type Bounds struct {
	// Latency is the longest time until a version is in force at every follower that can reach the
	// source.
	Latency time.Duration
	// UrgentLatency is the longest time until an urgent version is in force at a follower, while no
	// fault affects a path of the follower.
	UrgentLatency time.Duration
	IdleBytes     float64 // bytes per second of a follower in both directions without puts; 0 means no limit
	IdleReads     float64 // messages per second that a follower sends without puts; 0 means no limit
	RelayMB       float64 // resident memory of the source and of each relay; 0 means no limit
	Sessions      float64 // sessions of the source and of each relay; 0 means no limit
	CacheBytes    float64 // size of the encoded updates of the source and of each relay; 0 means no limit
	StoreBytes    float64 // size of the resources of the source and of each relay; 0 means no limit
}

// Random describes faults that are drawn from the seed.
type Random struct {
	Count       int
	Kinds       []scenario.Kind
	From        time.Duration
	Until       time.Duration
	MaxDuration time.Duration // longest duration of a drawn fault, without the minimum of 300 ms
}

// Fault is one fault. In a schedule, Names has everything that the fault acts on.
type Fault = scenario.Fault

// Kinds of fault in addition to those of package scenario.
const (
	// KillBetweenPuts kills the publisher after its next answered put and starts it again when the
	// fault ends.
	KillBetweenPuts scenario.Kind = "between"
	// RestartFollowers restarts followers with the versions that they hold.
	RestartFollowers scenario.Kind = "restart"
)

// Groups of processes.
const (
	OnSource    = "source"
	OnRegions   = "regions"
	OnZones     = "zones"
	OnFollowers = "followers" // processes that run followers
	OnPublisher = "publisher"
)

// Names of processes, and prefixes of numbered names.
const (
	Source         = "source"
	PublisherName  = "publisher"
	regionPrefix   = "region-"
	zonePrefix     = "zone-"
	followerPrefix = "follower-"
	processPrefix  = "followers-"
)

// The links, named after the group that opens connections and the group that accepts them.
const (
	FollowersToZones  = OnFollowers + "-" + OnZones
	ZonesToRegions    = OnZones + "-" + OnRegions
	RegionsToSource   = OnRegions + "-" + OnSource
	PublisherToSource = OnPublisher + "-" + OnSource
)

var (
	linkNames  = []string{FollowersToZones, ZonesToRegions, RegionsToSource, PublisherToSource}
	groupNames = []string{OnSource, OnRegions, OnZones, OnFollowers, OnPublisher}
	linkKinds  = []scenario.Kind{scenario.Cut, scenario.OneWay, scenario.Delay, scenario.Slow, scenario.Reset}
	kindNames  = []string{
		string(scenario.Cut), string(scenario.OneWay), string(scenario.Delay), string(scenario.Slow),
		string(scenario.Reset), string(scenario.Kill), string(scenario.Stop),
		string(KillBetweenPuts), string(RestartFollowers),
	}
)

// ActsOnLinks reports whether faults of kind k act on links.
func ActsOnLinks(k scenario.Kind) bool { return slices.Contains(linkKinds, k) }

// Describe describes the processes and the duration of a run in one line.
func (sc *Scenario) Describe() string {
	return fmt.Sprintf("%s, seed %d: 1 source, %d region relays, %d zone relays in %d zones, "+
		"%d followers in %d processes, 1 publisher; %v and %v without faults",
		sc.Name, sc.Seed, sc.Relays.Regions, len(sc.Names(OnZones)), sc.Relays.Zones,
		len(sc.FollowerNames()), sc.Followers.Processes, sc.Duration, sc.Settle)
}
