package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault. Its text is stored in scenarios and histories.
type Kind string

// The kinds of fault on links. Each acts on the links between two groups of processes.
const (
	Cut       Kind = "cut"    // bytes of both directions are held back until it ends
	OneWay    Kind = "oneway" // the same of one direction
	Delay     Kind = "delay"  // bytes are delayed by Delay and up to Jitter more; in one direction, if one is given
	Hold      Kind = "hold"   // of each connection's next bytes only the first Bytes pass until it ends
	Reset     Kind = "reset"  // open connections are reset, and so are new ones until it ends
	HalfClose Kind = "half"   // one direction of open connections is closed
	Slow      Kind = "slow"   // bytes pass at Rate
)

// The kinds of fault on processes.
const (
	Kill Kind = "kill" // they are killed, and started again when it ends
	Stop Kind = "stop" // they are stopped (SIGSTOP), and continued when it ends
	Term Kind = "term" // they are terminated (SIGTERM), and started again when it ends
)

// The kinds of fault on list services.
const (
	ListDown      Kind = "down"      // they answer 503
	ListSilent    Kind = "silent"    // they accept requests and answer none
	ListTruncated Kind = "half-body" // their responses break off
	ListEmpty     Kind = "empty"     // their list is empty
	ListOlder     Kind = "older"     // they go back to older versions, and stay there
)

// The kinds of fault on backends.
const (
	Replace       Kind = "replace" // they drain, stop, and start again, cold, when it ends
	AddressReused Kind = "moved"   // they stop, and another service has their addresses until it ends
	Choke         Kind = "choke"   // they are many times slower
	Fail          Kind = "fail"    // they answer 500 at once
)

// Groups of processes, as scenarios name them.
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
	ToServer       = "there" // from the process that opens connections
	ToClient       = "back"
)

// links are all links, named for the group that opens connections and the group that accepts them.
var links = []string{
	OnClients + "-" + OnSidecars,
	OnSidecars + "-" + OnLists,
	OnSidecars + "-" + OnBackends,
}

// target is what a kind of fault acts on.
type target int

const (
	onLinks target = iota
	onProcesses
	onLists
	onBackends
)

// kindTargets has every kind, with what it acts on.
var kindTargets = map[Kind]target{
	Cut: onLinks, OneWay: onLinks, Delay: onLinks, Hold: onLinks, Reset: onLinks, HalfClose: onLinks, Slow: onLinks,
	Kill: onProcesses, Stop: onProcesses, Term: onProcesses,
	ListDown: onLists, ListSilent: onLists, ListTruncated: onLists, ListEmpty: onLists, ListOlder: onLists,
	Replace: onBackends, AddressReused: onBackends, Choke: onBackends, Fail: onBackends,
}

// KindNames returns the texts of all kinds of fault, sorted.
func KindNames() []string {
	var names []string
	for kind := range kindTargets {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return names
}

// Fault is one fault. In a schedule it names all processes that it acts on.
type Fault struct {
	At         time.Duration // from the run's start
	Duration   time.Duration
	Kind       Kind
	Link       string        // of a fault on links: one of the links
	Direction  string        // of those that have one
	Group      string        // of the processes in Names
	Names      []string      // of the processes that it acts on; empty: all that Site and Share select
	Site       string        // selects the processes of this site only
	CrossSite  bool          // of a fault on links: selects those between Site and other sites
	KeepListed bool          // of Kill: the endpoint list goes on saying that the backends serve
	Share      float64       // selects this share of the processes, drawn from the seed; 0: all
	Delay      time.Duration // of Delay
	Jitter     time.Duration // of Delay
	Bytes      int           // of Hold: that still pass
	Rate       int           // of Slow: bytes a second
}

// Name returns the fault's name in the history, by its index in the schedule.
func (f *Fault) Name(index int) string { return fmt.Sprintf("%d-%s", index+1, f.Kind) }

// maxListedNames is how many names String lists.
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
