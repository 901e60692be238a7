// Package plan describes a run of the rig that judges distribution: which source, relays, followers and publisher there
// are, what is published when, and which faults happen when. It is pure: bytes and a seed come in as arguments.
package plan

import (
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of a scenario.
const (
	MaxFile      = tomldoc.MaxFile // bytes
	MaxFor       = 10 * time.Minute
	maxRelays    = 16 // of a level
	maxProcesses = 32
	maxFollowers = 2_000
	maxResources = 256
	maxItems     = 2_000
	maxRate      = 1_000 // puts a second
	maxFaults    = 200
)

// Scenario is a run.
type Scenario struct {
	Name      string
	Seed      uint64
	For       time.Duration // faults and puts; from the moment when every follower has every resource that it follows
	Settle    time.Duration // behind that, without faults and puts
	Relays    Relays
	Followers Followers
	Publisher Publisher
	Bounds    Bounds
	Random    Random
	Faults    []Fault
}

// Relays stand in two levels: those of regions follow the source, those of zones follow those of regions.
type Relays struct {
	Regions int           // relays that follow the source
	Zones   int           // zones, into which followers and zone relays are dealt out in turn
	PerZone int           // relays of each zone
	Hold    time.Duration // of their reads
}

// Followers are what resources are published for.
type Followers struct {
	Processes int
	Each      int           // followers of a process
	Hold      time.Duration // of a read
	Follows   int           // resources that each follows
}

// Publisher is the one writer.
type Publisher struct {
	Rate      float64 // puts a second
	Resources int
	Items     int     // of each resource
	Changes   int     // items that a put changes
	Urgent    float64 // part of the puts that take an item out
	Twins     float64 // part of the puts beside which another one to the same resource begins at the same time
	Refused   float64 // part of the puts that one follower refuses
}

// Bounds are what a run is held to.
type Bounds struct {
	Late       time.Duration // until a version is in force with every follower that can be reached
	Urgent     time.Duration // the same for what takes an item out, where no fault touches the way
	RestBytes  float64       // bytes a second of a follower, both ways, while nothing is published; 0: any
	RestReads  float64       // messages a second that a follower sends then; 0: any
	RelayMB    float64       // resident memory of the source and of each relay; 0: any
	Sessions   float64       // that one of them holds; 0: any
	CacheBytes float64       // of updates that one of them has encoded; 0: any
	StoreBytes float64       // of resources that one of them holds; 0: any
}

// Random are faults that are drawn from the seed.
type Random struct {
	Count int
	Kinds []scenario.Kind
	From  time.Duration
	Until time.Duration
	Long  time.Duration // the longest
}

// Fault is one fault; those of a schedule name all that they act on.
type Fault = scenario.Fault

// The kinds of fault beside those of links, kill and stop.
const (
	Between scenario.Kind = "between" // the publisher is killed after its next answered write, and started again when it ends
	Restart scenario.Kind = "restart" // followers start anew with what they had
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
	ofLinks    = []scenario.Kind{scenario.Cut, scenario.OneWay, scenario.Delay, scenario.Slow, scenario.Reset}
	kindNames  = []string{
		string(scenario.Cut), string(scenario.OneWay), string(scenario.Delay), string(scenario.Slow), string(scenario.Reset),
		string(scenario.Kill), string(scenario.Stop), string(Between), string(Restart),
	}
)

// IsOfLinks tells whether a kind of fault acts on links.
func IsOfLinks(k scenario.Kind) bool { return slices.Contains(ofLinks, k) }

// Read reads a scenario. The error lists all faults, one a line, with file, line and column.
func Read(file string, data []byte) (*Scenario, error) {
	return tomldoc.Decode(file, data, read)
}

func read(s tomldoc.Scope) *Scenario {
	x := &Scenario{
		Name:   s.Text("name", ""),
		Seed:   uint64(s.Whole("seed", 1, 0, 1<<62)),
		For:    s.Span("for", 10*time.Second, 100*time.Millisecond, MaxFor),
		Settle: s.Span("settle", 10*time.Second, time.Second, MaxFor),
	}
	if x.Name == "" {
		s.Bad(rules.Missing, "name", "the scenario's name expected")
	}
	x.Relays = readRelays(s.Sub("relays"))
	x.Followers = readFollowers(s.Sub("followers"))
	x.Publisher = readPublisher(s.Sub("publisher"))
	if x.Followers.Follows > x.Publisher.Resources {
		s.Sub("followers").Bad(rules.Range, "follows", "at most the %d resources of the publisher expected", x.Publisher.Resources)
	}
	x.Bounds = readBounds(s.Sub("bounds"))
	x.Random = x.readRandom(s.Sub("random"))
	scopes := s.List("faults")
	if len(scopes) > maxFaults {
		s.Bad(rules.Range, "faults", "at most %d expected", maxFaults)
		scopes = scopes[:maxFaults]
	}
	for _, v := range scopes {
		x.Faults = append(x.Faults, x.readFault(v))
		v.Done()
	}
	s.Done()
	return x
}

func readRelays(v tomldoc.Scope) Relays {
	defer v.Done()
	return Relays{
		Regions: int(v.Whole("regions", 2, 1, maxRelays)),
		Zones:   int(v.Whole("zones", 2, 1, maxRelays)),
		PerZone: int(v.Whole("per_zone", 2, 1, maxRelays)),
		Hold:    v.Span("hold", 4*time.Second, 100*time.Millisecond, time.Minute),
	}
}

func readFollowers(v tomldoc.Scope) Followers {
	defer v.Done()
	f := Followers{
		Processes: int(v.Whole("processes", 2, 1, maxProcesses)),
		Each:      int(v.Whole("each", 10, 1, maxFollowers)),
		Hold:      v.Span("hold", 4*time.Second, 100*time.Millisecond, time.Minute),
		Follows:   int(v.Whole("follows", 2, 1, maxResources)),
	}
	if f.Processes*f.Each > maxFollowers {
		v.Bad(rules.Range, "each", "at most %d followers in all expected", maxFollowers)
	}
	return f
}

func readPublisher(v tomldoc.Scope) Publisher {
	defer v.Done()
	return Publisher{
		Rate:      v.Number("rate", 5, 0, maxRate),
		Resources: int(v.Whole("resources", 4, 1, maxResources)),
		Items:     int(v.Whole("items", 40, 1, maxItems)),
		Changes:   int(v.Whole("changes", 3, 1, maxItems)),
		Urgent:    v.Number("urgent", 0.2, 0, 1),
		Twins:     v.Number("twins", 0.1, 0, 1),
		Refused:   v.Number("refused", 0, 0, 1),
	}
}

func readBounds(v tomldoc.Scope) Bounds {
	defer v.Done()
	return Bounds{
		Late:       v.Span("late", 10*time.Second, time.Millisecond, MaxFor),
		Urgent:     v.Span("urgent", 250*time.Millisecond, time.Millisecond, MaxFor),
		RestBytes:  v.Number("rest_bytes_per_s", 0, 0, 1e9),
		RelayMB:    v.Number("relay_mb", 0, 0, 1e6),
		Sessions:   v.Number("sessions", 0, 0, 1e6),
		RestReads:  v.Number("rest_reads_per_s", 0, 0, 1e6),
		CacheBytes: v.Number("cache_bytes", 0, 0, 1e12),
		StoreBytes: v.Number("store_bytes", 0, 0, 1e12),
	}
}

func (x *Scenario) readRandom(v tomldoc.Scope) Random {
	defer v.Done()
	r := Random{
		Count: int(v.Whole("count", 0, 0, maxFaults)),
		From:  v.Span("from", 0, 0, MaxFor),
		Until: v.Span("until", x.For, 0, MaxFor),
		Long:  v.Span("long", 5*time.Second, 100*time.Millisecond, MaxFor),
	}
	for _, word := range v.Texts("kinds") {
		if !slices.Contains(kindNames, word) {
			v.Bad(rules.Word, "kinds", "%s", tomldoc.Guess(fmt.Sprintf("%q is no kind of fault; one of %s expected", word, strings.Join(kindNames, ", ")), word, kindNames))
			continue
		}
		r.Kinds = append(r.Kinds, scenario.Kind(word))
	}
	if r.Count > 0 && len(r.Kinds) == 0 {
		v.Bad(rules.Missing, "kinds", "the kinds of faults that are drawn expected")
	}
	if r.Until > x.For || r.From >= r.Until {
		v.Bad(rules.Range, "until", "after from, and at most the run's %v expected", x.For)
	}
	return r
}

// readFault reads one fault and checks it against the processes of the run.
func (x *Scenario) readFault(v tomldoc.Scope) Fault {
	f := Fault{
		At:    v.Span("at", 0, 0, MaxFor),
		For:   v.Span("for", time.Second, time.Millisecond, MaxFor),
		Kind:  scenario.Kind(v.Word("kind", "", kindNames...)),
		Way:   v.Word("way", scenario.Both, scenario.Both, scenario.There, scenario.Back),
		Site:  v.Text("zone", ""),
		Names: v.Texts("names"),
		Share: v.Number("share", 0, 0, 1),
		Delay: v.Span("delay", 0, 0, time.Minute),
		More:  v.Span("jitter", 0, 0, time.Minute),
		Rate:  int(v.Whole("rate", 0, 0, 1<<30)),
	}
	v.Take("link", "on")
	if f.At+f.For > x.For {
		v.Bad(rules.Range, "for", "the fault to end by the end of the run's faults, %v, expected; it ends at %v", x.For, f.At+f.For)
	}
	switch {
	case IsOfLinks(f.Kind):
		x.readLink(v, &f)
	case f.Kind == Between:
		f.On = OnPublisher
	case f.Kind == Restart:
		f.On = OnFollowers
	default:
		f.On = v.Word("on", "", groupNames...)
	}
	if f.Site != "" && !slices.Contains(x.ZoneNames(), f.Site) {
		v.Bad(rules.UnknownZone, "zone", "one of the zones expected: %s", strings.Join(x.ZoneNames(), ", "))
	}
	known := x.actedOn(f)
	for _, name := range f.Names {
		if !slices.Contains(known, name) {
			v.Bad(rules.UnknownService, "names", "%q is nothing that this fault can act on; one of %s expected", name, strings.Join(shorten(known), ", "))
		}
	}
	return f
}

// readLink reads what only faults of links have.
func (x *Scenario) readLink(v tomldoc.Scope, f *Fault) {
	f.Link = v.Word("link", "", linkNames...)
	f.On, _, _ = strings.Cut(f.Link, "-")
	if f.Kind == scenario.OneWay && f.Way == scenario.Both {
		v.Bad(rules.Missing, "way", "the direction expected: there or back")
	}
	if f.Kind == scenario.Delay && f.Delay+f.More == 0 {
		v.Bad(rules.Missing, "delay", "the delay expected")
	}
	if f.Kind == scenario.Slow && f.Rate == 0 {
		v.Bad(rules.Missing, "rate", "bytes a second expected")
	}
}

// shorten leaves out most of a long list of names.
func shorten(names []string) []string {
	const most = 6
	if len(names) <= most {
		return names
	}
	return []string{names[0], names[1], "...", names[len(names)-1]}
}
