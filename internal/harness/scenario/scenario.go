// Package scenario is the description of a run of the rig: how many processes of what kind, what load, and which faults
// when. It is pure: bytes and a seed come in as arguments.
package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// Bounds of a scenario.
const (
	MaxFile     = tomldoc.MaxFile // bytes
	MaxSidecars = 1000
	MaxBackends = 1000
	MaxLists    = 16
	MaxFor      = 10 * time.Minute
	MaxRate     = 20_000 // requests a second
	maxFaults   = 1000
	maxWorkers  = 64
)

// Scenario is a run.
type Scenario struct {
	Name     string
	Seed     uint64
	Duration time.Duration // from the moment when all has been started
	Sidecars Sidecars
	Lists    Lists
	Backends Backends
	Clients  Clients
	Bounds   Bounds
	Random   Random
	Faults   []Fault
}

// Sidecars are the processes under test.
type Sidecars struct {
	Count            int
	Sites            []string      // dealt out in turn
	KnowReplicaCount bool          // they are told how many they are
	StartSpread      time.Duration // they are started within this; 0: together
	MemoryMB         float64
	Sockets          int
	PersistState     bool          // each has a folder that outlives its process
	ClockSkew        time.Duration // their clocks and that of the list services differ by up to this, either way
}

// Lists are the stand-in list services, one process each. Sidecars are dealt out to them in turn.
type Lists struct {
	Count        int
	SnapshotRate float64       // whole readings a second that each works off, in turn; 0: at once
	QueueLength  int           // whole readings that wait; further ones get 503
	RetryAfter   time.Duration // that it says with 503
}

// Backends are stand-ins.
type Backends struct {
	Count         int
	Processes     int
	Cores         int
	QueueLength   int
	ServiceTime   time.Duration
	Warmup        time.Duration // until a fresh one is warm; 0: at once
	StartCapacity float64       // of its capacity that a fresh one starts with
	ColdMultiple  float64       // a cold one bears this many times its present capacity at once
	StartCold     bool          // all of them have just started when the run begins
	MaxConns      int           // connections that each holds; further ones are closed; 0: any number
	AcceptRate    float64       // connections a second that each takes from its queue; 0: as they come
	Backlog       int           // length of that queue; a connection beyond it does not come up; 0: the system's own
}

// Clients send the load.
type Clients struct {
	Rate            float64 // requests a second, over all
	Processes       int
	Quota           float64       // requests a second that sidecars are told to be inside the one tenant's share; 0: no tenant
	HealthInterval  time.Duration // between two looks at whether a sidecar is ready
	CrossSite       bool          // who finds no sidecar of its own site ready goes to another site's; otherwise it asks nothing
	PriorityWeights bool          // sidecars are told what classes are worth; otherwise they are alike
}

// Bounds are what a run is held to beyond the rules; 0: not.
type Bounds struct {
	MaxSnapshotRate    float64       // whole readings a second over all list services, in any second
	MaxConnectRate     float64       // connections a second to one backend, in any second
	MinReady           float64       // part of the sidecars that are ready...
	ReadyWithin        time.Duration // ...this soon after their start
	MinServed          float64       // part of the requests that is served
	LossRecoveryWithin time.Duration // after the beginning of each loss of a site 95% of what can be served is
	MinServedAfterLoss float64       // part of the worth that is served in the 30 s from its end
}

// Random are faults that are drawn from the seed.
type Random struct {
	Count       int
	Kinds       []Kind
	From        time.Duration
	Until       time.Duration
	MaxDuration time.Duration // the longest
}

// Kind is a kind of fault.
type Kind string

// The kinds of fault. Those of links hold between two groups of processes.
const (
	Cut    Kind = "cut"    // bytes of either direction come no more until it ends, then all come
	OneWay Kind = "oneway" // the same of one direction
	Delay  Kind = "delay"  // bytes come later, by delay and up to jitter more; in one direction, where one is named
	Hold   Kind = "hold"   // of each connection's next bytes only the first few come until it ends
	Reset  Kind = "reset"  // open connections are reset, and so are new ones until it ends
	Half   Kind = "half"   // one direction of open connections is closed, the other stays
	Slow   Kind = "slow"   // bytes come at a rate

	Kill    Kind = "kill"    // processes are killed, and started again when it ends
	Stop    Kind = "stop"    // processes are stopped, and let go on when it ends
	Term    Kind = "term"    // processes are told to end, and started again when it ends
	Replace Kind = "replace" // backends drain, end, and come back fresh when it ends
	Moved   Kind = "moved"   // backends end, and until it ends their addresses are another service's

	ListDown   Kind = "down"      // list services answer 503
	ListSilent Kind = "silent"    // they take calls and answer none
	ListHalf   Kind = "half-body" // their answers break off
	ListEmpty  Kind = "empty"     // their list is empty
	ListOlder  Kind = "older"     // they step back in their versions, and stay there

	Choke Kind = "choke" // backends take many times as long
	Fail  Kind = "fail"  // backends answer 500 at once
)

// Groups of processes.
const (
	OnSidecars = "sidecars"
	OnLists    = "lists"
	OnBackends = "backends"
	OnClients  = "clients"
	OnSites    = "sites" // all processes of one site: sidecars, list services, backends
)

// Directions of a link.
const (
	BothDirections = "both"
	ToServer       = "there" // from the side that opens connections
	ToClient       = "back"
)

// links are the links, by the side that opens connections.
var links = []string{OnClients + "-" + OnSidecars, OnSidecars + "-" + OnLists, OnSidecars + "-" + OnBackends}

// target says what a kind of fault acts on.
type target int

const (
	onLinks target = iota
	onProcesses
	onLists
	onBackends
)

// kindTargets has every kind, with what it acts on.
var kindTargets = map[Kind]target{
	Cut: onLinks, OneWay: onLinks, Delay: onLinks, Hold: onLinks, Reset: onLinks, Half: onLinks, Slow: onLinks,
	Kill: onProcesses, Stop: onProcesses, Term: onProcesses,
	ListDown: onLists, ListSilent: onLists, ListHalf: onLists, ListEmpty: onLists, ListOlder: onLists,
	Replace: onBackends, Moved: onBackends, Choke: onBackends, Fail: onBackends,
}

// Fault is one fault. A drawn one names all that it acts on.
type Fault struct {
	At         time.Duration
	Duration   time.Duration
	Kind       Kind
	Link       string   // of a fault of links: the two groups
	Direction  string   // the direction, of those that have one
	Group      string   // the group of which Names are members
	Names      []string // of those that it acts on; empty: all that Site and Share say
	Site       string   // only those of this site
	CrossSite  bool     // of a fault of links: only those that cross the border of Site
	KeepListed bool     // of Kill: the lists go on saying that the backends serve
	Share      float64  // only this part of them, drawn from the seed; 0: all
	Delay      time.Duration
	Jitter     time.Duration // jitter
	Bytes      int           // of Hold: that still come
	Rate       int           // of Slow: bytes a second
}

// Name is how the history names a fault; i is its number in the schedule.
func (f *Fault) Name(i int) string { return fmt.Sprintf("%d-%s", i+1, f.Kind) }

// String says what a fault is, in a line.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s", f.Kind)
	if f.Link != "" {
		fmt.Fprintf(&b, " %s", f.Link)
	}
	if f.Direction != "" && f.Direction != BothDirections {
		fmt.Fprintf(&b, " %s", f.Direction)
	}
	if f.Delay > 0 {
		fmt.Fprintf(&b, " by %v+%v", f.Delay, f.Jitter)
	}
	if n := len(f.Names); n > 3 {
		fmt.Fprintf(&b, " of %d %s", n, f.Group)
	} else if n > 0 {
		fmt.Fprintf(&b, " of %s", strings.Join(f.Names, " "))
	}
	fmt.Fprintf(&b, ", %v to %v", f.At, f.At+f.Duration)
	return b.String()
}

// Read reads a scenario. The error lists all faults, one a line.
func Read(file string, data []byte) (*Scenario, error) {
	return tomldoc.Decode(file, data, read)
}

func read(s tomldoc.Scope) *Scenario {
	x := &Scenario{Name: s.Text("name", ""), Seed: uint64(s.Whole("seed", 1, 0, 1<<62)), Duration: s.Span("for", 10*time.Second, 100*time.Millisecond, MaxFor)}
	if x.Name == "" {
		s.Bad(rules.Missing, "name", "the scenario's name expected")
	}
	v := s.Sub("sidecars")
	x.Sidecars = Sidecars{
		Count: int(v.Whole("count", 1, 1, MaxSidecars)), Sites: v.Texts("sites"), KnowReplicaCount: v.Flag("told"), StartSpread: v.Span("start", 0, 0, MaxFor),
		MemoryMB: v.Number("memory_mb", 64, 16, 1<<16), Sockets: int(v.Whole("sockets", 512, 64, 1<<16)), PersistState: v.Flag("state"),
		ClockSkew: v.Span("skew", 0, 0, MaxFor),
	}
	if len(x.Sidecars.Sites) == 0 {
		x.Sidecars.Sites = []string{"a"}
	}
	for i, site := range x.Sidecars.Sites {
		if site == "" || slices.Contains(x.Sidecars.Sites[:i], site) {
			v.Bad(rules.Range, "sites", "%q stands twice or is empty; names that differ expected", site)
		}
	}
	v.Done()
	v = s.Sub("lists")
	x.Lists = Lists{
		Count: int(v.Whole("count", 1, 1, MaxLists)), SnapshotRate: v.Number("rate", 0, 0, 1e6), QueueLength: int(v.Whole("queue", 100, 0, 1e6)),
		RetryAfter: v.Span("retry_after", 0, 0, MaxFor),
	}
	v.Done()
	v = s.Sub("backends")
	x.Backends = Backends{
		Count: int(v.Whole("count", 4, 1, MaxBackends)), Processes: int(v.Whole("processes", 1, 1, maxWorkers)), Cores: int(v.Whole("cores", 4, 1, 1024)),
		QueueLength: int(v.Whole("waiting", 32, 0, 1e6)), ServiceTime: v.Span("work", 5*time.Millisecond, 0, time.Minute), Warmup: v.Span("cold", 0, 0, MaxFor),
		StartCapacity: v.Number("start_capacity", 1, 0.01, 1), ColdMultiple: v.Number("cold_multiple", 3, 1, 100), MaxConns: int(v.Whole("connections", 0, 0, 1e6)),
		StartCold: v.Flag("fresh"), AcceptRate: v.Number("accepts", 0, 0, 1e6), Backlog: int(v.Whole("backlog", 0, 0, 1<<16)),
	}
	if x.Backends.Processes > x.Backends.Count {
		v.Bad(rules.Range, "processes", "1 to the %d backends expected", x.Backends.Count)
	}
	v.Done()
	v = s.Sub("clients")
	x.Clients = Clients{
		Rate: v.Number("rate", 0, 0, MaxRate), Processes: int(v.Whole("processes", 1, 1, maxWorkers)),
		Quota: v.Number("quota", 0, 0, 1e9), HealthInterval: v.Span("poll", 200*time.Millisecond, 10*time.Millisecond, time.Minute),
		CrossSite: v.Flag("roam"), PriorityWeights: v.Flag("worth"),
	}
	if x.Clients.CrossSite && x.Clients.Processes%len(x.Sidecars.Sites) != 0 {
		v.Bad(rules.Range, "processes", "as many for each of the %d sites expected with roam, %d found", len(x.Sidecars.Sites), x.Clients.Processes)
	}
	v.Done()
	v = s.Sub("bounds")
	x.Bounds = Bounds{
		MaxSnapshotRate: v.Number("reads_per_s", 0, 0, 1e9), MaxConnectRate: v.Number("connects_per_s", 0, 0, 1e9), MinReady: v.Number("ready_part", 0, 0, 1),
		ReadyWithin: v.Span("ready_within", 0, 0, MaxFor), MinServed: v.Number("served_part", 0, 0, 1),
		LossRecoveryWithin: v.Span("loss_within", 0, 0, MaxFor), MinServedAfterLoss: v.Number("back_part", 0, 0, 1),
	}
	v.Done()
	x.random(s.Sub("random"))
	list := s.List("faults")
	if len(list) > maxFaults {
		s.Bad(rules.TooMany, "faults", "%d faults, %d expected at most", len(list), maxFaults)
		list = nil
	}
	for _, f := range list {
		x.Faults = append(x.Faults, x.fault(f))
		f.Done()
	}
	s.Take("faults")
	s.Done()
	return x
}

func (x *Scenario) random(v tomldoc.Scope) {
	x.Random = Random{
		Count: int(v.Whole("count", 0, 0, 200)), From: v.Span("from", 0, 0, MaxFor), Until: v.Span("until", x.Duration, 0, MaxFor),
		MaxDuration: v.Span("long", 2*time.Second, 10*time.Millisecond, MaxFor),
	}
	for _, w := range v.Texts("kinds") {
		if _, ok := kindTargets[Kind(w)]; !ok {
			v.Bad(rules.Word, "kinds", "%s", tomldoc.Guess(fmt.Sprintf("%q is no kind of fault; one of %s expected", w, strings.Join(KindNames(), ", ")), w, KindNames()))
			continue
		}
		x.Random.Kinds = append(x.Random.Kinds, Kind(w))
	}
	if x.Random.Count > 0 && len(x.Random.Kinds) == 0 {
		v.Bad(rules.Missing, "kinds", "the kinds of faults that are drawn expected")
	}
	if x.Random.Until > x.Duration || x.Random.From >= x.Random.Until {
		v.Bad(rules.Range, "until", "after from, and at most the run's %v expected", x.Duration)
	}
	v.Done()
}

// KindNames are the words for all kinds of faults, in order.
func KindNames() (out []string) {
	for k := range kindTargets {
		out = append(out, string(k))
	}
	slices.Sort(out)
	return out
}

// fault reads one fault and checks it against the processes of the run.
func (x *Scenario) fault(v tomldoc.Scope) (f Fault) {
	f = Fault{
		At: v.Span("at", 0, 0, MaxFor), Duration: v.Span("for", 0, 0, MaxFor), Kind: Kind(v.Word("kind", "", KindNames()...)),
		Site: v.Text("site", ""), Share: v.Number("share", 0, 0, 1), Names: v.Texts("names"),
		Delay: v.Span("delay", 0, 0, time.Minute), Jitter: v.Span("jitter", 0, 0, time.Minute), Bytes: int(v.Whole("bytes", 100, 0, 1<<20)),
		Rate: int(v.Whole("rate", 0, 0, 1<<30)), CrossSite: v.Flag("across"), KeepListed: v.Flag("unnoticed"),
	}
	if f.At+f.Duration > x.Duration {
		v.Bad(rules.Range, "for", "the fault to end by the run's end, %v, expected; it ends at %v", x.Duration, f.At+f.Duration)
	}
	f.Direction, f.Link = v.Word("way", BothDirections, BothDirections, ToServer, ToClient), ""
	switch kindTargets[f.Kind] {
	case onLinks:
		x.linkFault(v, &f)
	case onProcesses:
		x.processFault(v, &f)
	case onLists:
		f.Group = OnLists
		v.Take("on")
	case onBackends:
		f.Group = OnBackends
		v.Take("on")
	}
	v.Take("link", "on")
	if f.Site != "" && !slices.Contains(x.Sidecars.Sites, f.Site) {
		v.Bad(rules.UnknownZone, "site", "one of the sites expected: %s", strings.Join(x.Sidecars.Sites, ", "))
	}
	known := x.Names(f.Group)
	for _, n := range f.Names {
		if !slices.Contains(known, n) {
			v.Bad(rules.UnknownService, "names", "%q is no process of this run; %s-1 to %s-%d expected", n, singular(f.Group), singular(f.Group), len(known))
		}
	}
	return f
}

// linkFault reads which links a fault is of, and checks what its kind needs.
func (x *Scenario) linkFault(v tomldoc.Scope, f *Fault) {
	f.Link = v.Word("link", "", links...)
	f.Group = v.Word("on", OnSidecars, OnSidecars, OnBackends, OnLists)
	if f.Group != OnSidecars && !strings.HasSuffix(f.Link, f.Group) {
		v.Bad(rules.Exclusive, "on", "%s are at no end of the link %s", f.Group, f.Link)
	}
	switch {
	case f.Kind == OneWay && f.Direction == BothDirections:
		v.Bad(rules.Missing, "way", "the direction expected: there or back")
	case f.Kind == Delay && f.Delay+f.Jitter == 0:
		v.Bad(rules.Missing, "delay", "the delay expected")
	case f.Kind == Slow && f.Rate == 0:
		v.Bad(rules.Missing, "rate", "bytes a second expected")
	}
	if f.CrossSite && (f.Site == "" || f.Link == links[0]) {
		v.Bad(rules.Missing, "across", "a site expected beside it, and a link between processes that have one")
	}
}

// processFault reads which processes a fault is of, and checks that they can be told apart.
func (x *Scenario) processFault(v tomldoc.Scope, f *Fault) {
	f.Group = v.Word("on", OnSidecars, OnSidecars, OnLists, OnBackends, OnSites)
	sites := len(x.Sidecars.Sites)
	if f.Group == OnSites && (f.Site == "" || x.Backends.Processes%sites != 0 || x.Lists.Count%sites != 0) {
		v.Bad(rules.Missing, "site", "one of the sites expected, and as many list services and processes of backends for each")
	}
	chosen := f.Share > 0 || f.Site != "" || len(f.Names) > 0
	if f.Group == OnBackends && chosen && f.Kind != Stop {
		v.Bad(rules.Exclusive, "on", "backends share processes: all of them, or single ones by kind = %q, expected", Replace)
	}
}

func singular(group string) string { return strings.TrimSuffix(group, "s") }

// Names are the members of a group, in order.
func (x *Scenario) Names(group string) (out []string) {
	if group == OnSites {
		for i := range x.Backends.Processes {
			out = append(out, fmt.Sprintf("%s-%d", OnBackends, i+1))
		}
		return slices.Concat(out, x.Names(OnLists), x.Names(OnSidecars))
	}
	n := map[string]int{OnSidecars: x.Sidecars.Count, OnLists: x.Lists.Count, OnBackends: x.Backends.Count, OnClients: x.Clients.Processes}[group]
	for i := range n {
		out = append(out, fmt.Sprintf("%s-%d", singular(group), i+1))
	}
	return out
}

// Index is the number of a process or a backend by its name, from 0.
func Index(name string) int {
	n, _ := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
	return n - 1
}

// SiteOf is the site of a process by its name, or of a backend.
func (x *Scenario) SiteOf(name string) string { return x.Site(Index(name)) }

// Site is the site of the nth member of a group, from 0.
func (x *Scenario) Site(n int) string { return x.Sidecars.Sites[n%len(x.Sidecars.Sites)] }

// Capacity is how many requests a second the backends of each site can serve once they are warm.
func (x *Scenario) Capacity() map[string]float64 {
	room := map[string]float64{}
	if x.Backends.ServiceTime <= 0 {
		return room
	}
	for i := range x.Backends.Count {
		room[x.Site(i)] += float64(x.Backends.Cores) / x.Backends.ServiceTime.Seconds()
	}
	return room
}
