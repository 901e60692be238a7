package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault. Its value is stored in scenarios and histories.
type Kind string

// The kinds of fault on links. Each acts on the links between two groups of processes.
const (
	Cut       Kind = "cut"    // bytes of both directions are held back until the fault ends
	OneWay    Kind = "oneway" // bytes of one direction are held back until the fault ends
	Delay     Kind = "delay"  // bytes of one or both directions are delayed by Delay plus up to Jitter
	Hold      Kind = "hold"   // only the next Bytes bytes of each connection pass until the fault ends
	Reset     Kind = "reset"  // open connections and connections made during the fault are reset
	HalfClose Kind = "half"   // one direction of open connections is closed
	Slow      Kind = "slow"   // bytes pass at Rate
)

// The kinds of fault on processes.
const (
	Kill Kind = "kill" // the processes are killed, and started again when the fault ends
	Stop Kind = "stop" // the processes are stopped (SIGSTOP), and continued when the fault ends
	Term Kind = "term" // the processes are terminated (SIGTERM), and started again when the fault ends
)

// The kinds of fault on list services.
const (
	ListDown      Kind = "down"      // list services respond with 503
	ListSilent    Kind = "silent"    // list services accept requests and never respond
	ListTruncated Kind = "half-body" // list services send truncated responses
	ListEmpty     Kind = "empty"     // list services serve an empty list
	ListOlder     Kind = "older"     // list services return to older versions and stay there
)

// The kinds of fault on backends.
const (
	Replace       Kind = "replace" // the backends drain and stop, and start again, cold, when the fault ends
	AddressReused Kind = "moved"   // the backends stop, and another service has their addresses until the fault ends
	Choke         Kind = "choke"   // the backends are slowed down many times
	Fail          Kind = "fail"    // the backends respond with 500 at once
)

// Groups of processes, as scenario files name them.
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
	ToServer       = "there" // from the process that opens connections to the one that accepts them
	ToClient       = "back"
)

// links are all links, named after the group that opens connections and the group that accepts
// them.
var links = []string{
	OnClients + "-" + OnSidecars,
	OnSidecars + "-" + OnLists,
	OnSidecars + "-" + OnBackends,
}

// target is the kind of object that a fault acts on.
type target int

const (
	onLinks target = iota
	onProcesses
	onLists
	onBackends
)

// kindTargets maps every kind of fault to its target.
var kindTargets = map[Kind]target{
	Cut: onLinks, OneWay: onLinks, Delay: onLinks, Hold: onLinks, Reset: onLinks, HalfClose: onLinks, Slow: onLinks,
	Kill: onProcesses, Stop: onProcesses, Term: onProcesses,
	ListDown: onLists, ListSilent: onLists, ListTruncated: onLists, ListEmpty: onLists, ListOlder: onLists,
	Replace: onBackends, AddressReused: onBackends, Choke: onBackends, Fail: onBackends,
}

// KindNames returns the names of all kinds of fault, sorted.
func KindNames() []string {
	var names []string
	for kind := range kindTargets {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return names
}

// Fault is one fault. In a schedule, Names has all processes that the fault acts on.
type Fault struct {
	At         time.Duration // beginning, counted from the run's start
	Duration   time.Duration
	Kind       Kind
	Link       string        // link of a fault on links
	Direction  string        // direction of a fault on links
	Group      string        // group of the processes in Names
	Names      []string      // processes that the fault acts on; empty means those that Site and Share select
	Site       string        // site whose processes are selected; empty means all sites
	CrossSite  bool          // selects the links between Site and other sites
	KeepListed bool          // backends killed by Kill or Term stay in the endpoint list as serving
	Share      float64       // share of the processes that is selected, drawn from the seed; 0 means all
	Delay      time.Duration // fixed delay of Delay
	Jitter     time.Duration // largest additional delay of Delay, which is random
	Bytes      int           // bytes of each connection that Hold lets pass
	Rate       int           // bytes per second of Slow
}

// Name returns the fault's name in the history. index is the fault's index in the schedule.
func (f *Fault) Name(index int) string { return fmt.Sprintf("%d-%s", index+1, f.Kind) }

// maxListedNames is the number of names up to which String lists them.
const maxListedNames = 3

// String describes a fault in one line.
func (f Fault) String() string {
	var text strings.Builder
	text.WriteString(string(f.Kind))
	if f.Link != "" {
		text.WriteString(" " + f.Link)
	}
	if f.Direction != "" && f.Direction != BothDirections {
		text.WriteString(" " + f.Direction)
	}
	if f.Delay > 0 {
		fmt.Fprintf(&text, " by %v+%v", f.Delay, f.Jitter)
	}
	if count := len(f.Names); count > maxListedNames {
		fmt.Fprintf(&text, " of %d %s", count, f.Group)
	} else if count > 0 {
		fmt.Fprintf(&text, " of %s", strings.Join(f.Names, " "))
	}
	fmt.Fprintf(&text, ", %v to %v", f.At, f.At+f.Duration)
	return text.String()
}
