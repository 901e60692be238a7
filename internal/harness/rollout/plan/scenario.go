// Package plan describes a run of the rig that checks distribution: which source, relays, followers
// and publisher there are, what is published when, and which faults happen when. It is pure: bytes
// and a seed are arguments. The keys of a scenario's file are explained in docs/operate/rig.md.
package plan

import (
	"fmt"
	"slices"
	"time"

	"fernlanding/internal/harness/scenario"
)

// Scenario is a run.
type Scenario struct {
	Name string
	Seed uint64
	// Duration is how long faults and puts go on, from the moment when every follower has every resource
	// that it follows.
	Duration time.Duration
	// Settle follows For, without faults and puts.
	Settle    time.Duration
	Relays    Relays
	Followers Followers
	Publisher Publisher
	Bounds    Bounds
	Random    Random
	Faults    []Fault
}

// Relays stand in two levels: those of regions follow the source, those of zones follow those of
// regions.
type Relays struct {
	Regions int           // relays that follow the source
	Zones   int           // zones, over which followers and zone relays are distributed in turn
	PerZone int           // relays of each zone
	Hold    time.Duration // of their reads
}

// Followers are what resources are published for.
type Followers struct {
	Processes     int
	PerProcess    int           // followers of a process
	Hold          time.Duration // of a read
	ResourcesEach int           // that each follower follows
}

// Publisher is the only writer. Its fractions are from 0 to 1.
type Publisher struct {
	Rate           float64 // puts a second
	Resources      int
	Items          int     // of each resource
	Changes        int     // items that a put changes
	Urgent         float64 // fraction of the puts that delete an item, which is urgent
	ConcurrentPuts float64 // fraction of the puts with another one to the same resource at the same time
	Rejected       float64 // fraction of the puts that one follower rejects
}

// Bounds are what a run is checked against.
type Bounds struct {
	// Latency is the longest time until a version is in force at every follower that can reach the
	// source.
	Latency time.Duration
	// UrgentLatency is the same for an urgent version, while no fault affects a path of the follower.
	UrgentLatency time.Duration
	IdleBytes     float64 // bytes a second of a follower, both directions, while nothing is published; 0: any
	IdleReads     float64 // messages a second that a follower sends meanwhile; 0: any
	RelayMB       float64 // resident memory of the source and of each relay; 0: any
	Sessions      float64 // of one of them; 0: any
	CacheBytes    float64 // encoded updates of one of them; 0: any
	StoreBytes    float64 // resources of one of them; 0: any
}

// Random are faults that are drawn from the seed.
type Random struct {
	Count       int
	Kinds       []scenario.Kind
	From        time.Duration
	Until       time.Duration
	MaxDuration time.Duration
}

// Fault is one fault. Those of a schedule name all that they act on.
type Fault = scenario.Fault

// The kinds of fault beside those of links, kill and stop.
const (
	// KillBetweenPuts kills the publisher after its next answered put, and starts it again when the
	// fault ends.
	KillBetweenPuts scenario.Kind = "between"
	// RestartFollowers restarts followers with the versions that they have.
	RestartFollowers scenario.Kind = "restart"
)

// Groups of processes.
const (
	OnSource    = "source"
	OnRegions   = "regions"
	OnZones     = "zones"
	OnFollowers = "followers" // processes of followers
	OnPublisher = "publisher"
)

// Names of the single processes.
const (
	Source         = "source"
	PublisherName  = "publisher"
	regionPrefix   = "region-"
	zonePrefix     = "zone-"
	followerPrefix = "follower-"
	processPrefix  = "followers-"
)

// The links, by the side that opens connections.
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

// ActsOnLinks reports whether a kind of fault acts on links.
func ActsOnLinks(k scenario.Kind) bool { return slices.Contains(linkKinds, k) }

// Describe returns what a run starts, in one line.
func (sc *Scenario) Describe() string {
	return fmt.Sprintf("%s, seed %d: 1 source, %d region relays, %d zone relays in %d zones, "+
		"%d followers in %d processes, 1 publisher; %v and %v without faults",
		sc.Name, sc.Seed, sc.Relays.Regions, len(sc.Names(OnZones)), sc.Relays.Zones,
		len(sc.FollowerNames()), sc.Followers.Processes, sc.Duration, sc.Settle)
}
