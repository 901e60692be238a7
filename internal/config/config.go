// Package config is the configuration of a sidecar: one description of listeners, services, routes and limits,
// whether it comes from an application's TOML file or from the platform's LB_CONFIG. It is pure: bytes come in as an
// argument. A file is taken as a whole or not at all; all that is wrong with it is said at once.
package config

import (
	"cmp"
	"fernlanding/internal/membership"
	"fernlanding/internal/route"
	"fernlanding/internal/settings"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
	"fmt"
	"net/http"
	"time"
)

// Version is the newest version of the application's format that this program reads. It reads all before it as well.
const Version = 2

// Program is the version of this program: major.minor, raised when a file may ask for what an earlier one lacks.
const Program = "0.4"

// Bounds of a file.
const (
	MaxFile     = tomldoc.MaxFile // bytes
	MaxServices = 256
	MaxRoutes   = 20_000
	MaxDeadline = 60 * time.Second // of a class
	MaxBody     = 8 << 20          // bytes of a request's or an answer's body
)

// Kind says how requests are put.
type Kind int

// The wordings.
const (
	Application Kind = iota // routes say what a request is for
	Platform                // one service; Request-Class and the path say the class
)

// App is what one sidecar is told.
type App struct {
	Version   int // of the format that it was written in
	Name      string
	Team      string   // that runs the application; may be empty
	Host      string   // that it runs on; empty: not told
	Serves    []string // services that the application itself is a backend of
	Head      Head
	Kind      Kind
	Seed      uint64 // of all random draws; 0: the sidecar draws one
	Process   Process
	StateDir  string        // a folder that lasts, for what outlives the process; empty: none
	ListAge   time.Duration // with StateDir: a list that its source last confirmed longer ago is not begun with; 0: none is kept
	Listeners []Listener
	Services  []*Service
	Routes    []Route
	// Distribution is off without relays; the platform has none.
	Distribution Distribution
}

// Head says where a generated file comes from. It changes nothing in a sidecar.
type Head struct {
	GeneratedBy string // what wrote it
	Requires    string // the oldest program that can read it
	Sources     string // digest of the catalogue
	Environment string
}

// Process is what the process may use.
type Process struct {
	Cores    float64 // 0: not told
	MemoryMB float64 // 0: not told
	Sockets  int     // file descriptors
}

// Distribution says which relays lists come from that are followed with membership = "relay", and whether the
// configuration itself does.
type Distribution struct {
	Relays []string // host:port; none: distribution is off
	Name   string   // of this sidecar among all followers; empty: the application's name and the host's
	// Configuration is the name of the file that the relays bring, and that takes the place of this one; empty: none. Copies of
	// an application that have the same file share the name.
	Configuration string
}

// Listener is where clients connect.
type Listener struct {
	Name    string
	Address string // host:port
}

// Service is one service that is called.
type Service struct {
	Name   string
	Owner  string // the team that owns it; may be empty
	Source Source
	settings.Deployment
	ClassPolicies     []ClassPolicy    // of its classes, in their order; none on the platform
	Codes             Codes            // of the sidecar's own answers
	SlowStartMultiple float64          // of its present capacity that a cold backend bears
	CapacityFraction  float64          // of the service that this application may use; 0: not told
	Trusted           bool             // backends send nothing behind their answers: connections need no rest
	PassAllStatuses   bool             // answers of every status go on with their header; otherwise bodies of 200 alone
	Connections       int64            // to backends that it can have at any time; 0: an even part
	MaxBody           int64            // bytes of a request's body
	MaxResponse       int64            // bytes of an answer's
	KnownList         *membership.List // the list as last known; may be nil
}

// ClassPolicy is what a class's owner states about running a request again. Logic.Classes has what the module is told, which
// differs where Resend is narrower than the repeat rule.
type ClassPolicy struct {
	Idempotency logic.Idempotency
	DedupScope  logic.DedupScope // of Keyed: who drops repeats between them
	DedupWindow time.Duration    // of Keyed: for how long
	Key         string           // of Keyed: the field that carries the key, in canonical form
	Resend      Resend
	EarlyData   bool     // taken in early data (RFC 8470)
	FormerNames []string // names that the class had
}

// Resend says where a request that may have run may be sent again. What is proven not to have run may always be.
type Resend int

// The allowances.
const (
	Never   Resend = iota
	InScope        // to those that drop its repeats, while they recall
	Any
)

// String is the word for an allowance in a file.
func (r Resend) String() string { return [...]string{"never", "scope", "any"}[r] }

// Codes are the codes of the sidecar's own answers; 0 is the usual one.
type Codes struct {
	Shed    int // nothing has run, or it may be repeated: 503 or 429
	Failed  int // it may have run: 502 or 500
	Expired int // its time is up, and it may have run: 504, 502 or 500
}

// WithDefaults fills in the codes that are not stated.
func (c Codes) WithDefaults() Codes {
	return Codes{cmp.Or(c.Shed, http.StatusServiceUnavailable), cmp.Or(c.Failed, http.StatusBadGateway), cmp.Or(c.Expired, http.StatusGatewayTimeout)}
}

// Source is where the list of a service's backends comes from.
type Source struct {
	Kind       SourceKind
	Address    string // of Catalog and Consul: host:port
	Path       string // of File
	RemoteName string // of Consul and Relay: the service's or the list's name there
	TokenFile  string // of Consul: holds the token; may be empty
	Endpoints  []membership.Endpoint
}

// SourceKind is a kind of source.
type SourceKind int

// The kinds of source.
const (
	Static  SourceKind = iota // the list stands in the file
	Catalog                   // the platform's discovery
	File                      // a file that somebody keeps up to date
	Consul                    // blocking reads of a health API
	Relay                     // what a source of distribution publishes, by the relays of [distribution]
)

// Route is one rule and what it leads to.
type Route struct {
	Name      string
	Listeners []string // empty: all
	For       []string // classes of services that the application serves, as service/class, that cause it; empty: any
	Match     route.Match
	To        []Target
	Sticky    string        // the field by which a split's side is chosen, in canonical form; empty: none
	Rewrite   string        // the prefix that goes on instead; empty: none
	Timeout   time.Duration // 0: the class's deadline
	Mirror    *Target       // gets a copy; may be nil
}

// Target is one side of a route.
type Target struct {
	Service string
	Class   string
	Weight  int
}

// Service returns the service of a name, or nil.
func (a *App) Service(name string) *Service {
	for _, s := range a.Services {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Class returns the number of a service's class of a name, or -1.
func (s *Service) Class(name string) int {
	for i, c := range s.Classes {
		if c == name {
			return i
		}
	}
	return -1
}

// Deadline is how long a request of a route may take at one of its sides: the shorter of the route's time limit and the
// class's deadline.
func (a *App) Deadline(r *Route, t Target) time.Duration {
	s := a.Service(t.Service)
	d := time.Duration(s.Balancer.Classes[s.Class(t.Class)].Deadline) * time.Microsecond
	if r.Timeout > 0 {
		d = min(d, r.Timeout)
	}
	return d
}

// LongestDeadline is the longest deadline of all classes of a service.
func (s *Service) LongestDeadline() (d time.Duration) {
	for _, c := range s.Balancer.Classes {
		d = max(d, time.Duration(c.Deadline)*time.Microsecond)
	}
	return d
}

const (
	ownSockets = 32       // descriptors that are neither a client's nor a backend's, generously
	leastEach  = 8        // connections on either side, at least
	bodyPart   = 4        // this part of the process's memory holds bodies
	bodyMemory = 64 << 20 // where the process's memory is not told
	// Clients is the party that clients' connections are counted under.
	Clients = "(clients)"
)

// Parts is how a good is divided: see package quota.
type Parts struct {
	Total  int64
	Names  []string
	Floors []int64
}

// Descriptors divides the process's file descriptors among clients and services. A third of what is not the process's
// own is the clients' at any time, a third the services'; the last third is lent.
func (a *App) Descriptors() (Parts, error) {
	p := Parts{Total: int64(a.Process.Sockets - ownSockets), Names: []string{Clients}}
	if a.Kind == Platform {
		// Each open request has at most one attempt out, and a third more connections to backends may be kept for
		// the next. What is left is the clients': their open requests, and those that are silent or idle.
		backends := int64(a.Process.Sockets / 3 * 4 / 3)
		p.Names, p.Floors = append(p.Names, PlatformService), []int64{p.Total - backends, backends}
		if p.Floors[0] < leastEach {
			return p, fmt.Errorf("%d sockets are too few", a.Process.Sockets)
		}
		return p, nil
	}
	if p.Total < 2*leastEach {
		return p, fmt.Errorf("%d descriptors are too few: %d expected at least", a.Process.Sockets, ownSockets+2*leastEach)
	}
	p.Floors = []int64{max(leastEach, p.Total/3)}
	sum := p.Floors[0]
	for _, s := range a.Services {
		floor := s.Connections
		if floor == 0 {
			floor = max(1, p.Total/3/int64(len(a.Services)))
		}
		p.Names, p.Floors = append(p.Names, s.Name), append(p.Floors, floor)
		sum += floor
	}
	if sum > p.Total {
		return p, fmt.Errorf("%d descriptors are too few: %d for the process, %d for clients and %d for services that are theirs at any time",
			a.Process.Sockets, ownSockets, p.Floors[0], sum-p.Floors[0])
	}
	return p, nil
}

// Memory divides what the process has for bodies among services. Half of it is theirs at any time, evenly; the other
// half is lent.
func (a *App) Memory() (Parts, error) {
	p := Parts{Total: bodyMemory}
	if a.Process.MemoryMB > 0 {
		p.Total = int64(a.Process.MemoryMB * (1 << 20) / bodyPart)
	}
	for _, s := range a.Services {
		floor := p.Total / 2 / int64(len(a.Services))
		p.Names, p.Floors = append(p.Names, s.Name), append(p.Floors, floor)
		if s.MaxBody > p.Total/4 || s.MaxResponse > p.Total/4 {
			return p, fmt.Errorf("service %s: bodies of %d and answers of %d bytes are too large: a quarter of the %d bytes that all bodies share expected at most",
				s.Name, s.MaxBody, s.MaxResponse, p.Total)
		}
	}
	return p, nil
}

// IdempotencyName is the word for a repeat rule.
func IdempotencyName(r logic.Idempotency) string {
	return [...]string{logic.Idempotent: "safe", logic.IdempotentByKey: "keyed", logic.NonIdempotent: "unsafe"}[r]
}
