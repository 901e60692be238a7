// Package config is the configuration of a sidecar: one description of listeners, services, routes
// and limits, whether it comes from an application's TOML file or from the platform's LB_CONFIG. It
// is pure: bytes come in as an argument.
//
// [Decode] reads an application's file as a sidecar does, [Read] with all diagnostics for tools,
// [DecodePlatform] the platform's. A file is accepted as a whole or not at all; all violations are
// reported at once. The rules are those of package rules; each table of the file is decoded in a
// file named after it (decode_*.go).
package config

import (
	"cmp"
	"net/http"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/route"
	"fernlanding/internal/settings"
	"fernlanding/internal/tomldoc"
	"fernlanding/logic"
)

// FormatVersion is the newest version of the application's format that this program reads. It reads all
// earlier ones as well.
const FormatVersion = 2

// ProgramVersion is the version of this program, major.minor. It is raised when a file may ask for what an
// earlier one lacks.
const ProgramVersion = "0.4"

// Bounds of a file.
const (
	MaxFile     = tomldoc.MaxFile // bytes
	MaxServices = 256
	MaxRoutes   = 20_000
	MaxDeadline = 60 * time.Second // of a class
	MaxBody     = 8 << 20          // bytes of a request's or a response's body
)

// Kind is the kind of a sidecar: how requests say what they are for.
type Kind int

// The kinds.
const (
	Application Kind = iota // routes say what a request is for
	Platform                // one service; Request-Class and the path say the class
)

// App is the configuration of one sidecar.
type App struct {
	Version    int // of the format that it was written in
	Name       string
	Team       string   // that runs the application; may be empty
	Host       string   // that it runs on; empty: not known
	Serves     []string // services that the application itself is a backend of
	Provenance Provenance
	Kind       Kind
	Seed       uint64 // of all random draws; 0: the sidecar draws one
	Process    Process
	StateDir   string // a directory for what outlives the process; empty: none
	// MaxListAge is the age from which on a cached list is not used, with StateDir; 0: none is cached.
	MaxListAge time.Duration
	Listeners  []Listener
	Services   []*Service
	Routes     []Route
	// Distribution is off without relays; the platform has none.
	Distribution Distribution
}

// Provenance says where a generated file comes from. It changes nothing in a sidecar.
type Provenance struct {
	GeneratedBy string // what wrote it
	Requires    string // the oldest program that can read it
	Sources     string // digest of the catalogue
	Environment string
}

// Process is what the process may use.
type Process struct {
	Cores    float64 // 0: not known
	MemoryMB float64 // 0: not known
	Sockets  int     // file descriptors
}

// Distribution says which relays bring the lists of services with membership = "relay", and whether
// they bring the configuration itself.
type Distribution struct {
	Relays []string // host:port; none: distribution is off
	Name   string   // of this sidecar among all followers; empty: the application's name and the host's
	// Configuration is the name of the file that the relays bring, and that replaces this one;
	// empty: none. Replicas of an application that have the same file share the name.
	Configuration string
}

// Listener is an address on which clients connect.
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
	ClassPolicies     []ClassPolicy // of its classes, in their order; none on the platform
	StatusCodes       StatusCodes   // of the sidecar's own responses
	SlowStartMultiple float64       // of its present capacity that a warming backend can take
	CapacityFraction  float64       // of the service that this application may use; 0: not known
	Trusted           bool          // backends send nothing after their responses: connections are reused at once
	// PassAllStatuses: responses of every status are passed on with their header; otherwise bodies
	// of 200 alone.
	PassAllStatuses bool
	Connections     int64            // to backends that it can have at any time; 0: an even part
	MaxBody         int64            // bytes of a request's body
	MaxResponse     int64            // bytes of a response's
	KnownList       *membership.List // the list as last known; may be nil
}

// ClassPolicy is what a class's owner states about running a request again.
// Service.Balancer.Classes has what the module is configured with, which differs where Resend is
// narrower than the idempotency.
type ClassPolicy struct {
	Idempotency logic.Idempotency
	DedupScope  logic.DedupScope // of IdempotentByKey: which backends drop each other's duplicates
	DedupWindow time.Duration    // of IdempotentByKey: for how long
	Key         string           // of IdempotentByKey: the field that carries the key, in canonical form
	RetryScope  RetryScope
	EarlyData   bool     // accepted in early data (RFC 8470)
	FormerNames []string // names that the class had
}

// RetryScope says where a request that may have run may be retried. One that has certainly not run
// always may.
type RetryScope int

// The values of Resend.
const (
	RetryNever        RetryScope = iota
	RetryInDedupScope            // at backends that drop its duplicates, within their window
	RetryAnywhere
)

// String returns the word for it in a file.
func (r RetryScope) String() string { return [...]string{"never", "scope", "any"}[r] }

// StatusCodes are the status codes of the sidecar's own responses; 0 is the default.
type StatusCodes struct {
	Shed    int // nothing has run, or it is idempotent: 503 or 429
	Failed  int // it may have run: 502 or 500
	Expired int // its deadline is over, and it may have run: 504, 502 or 500
}

// WithDefaults returns the codes with the defaults for those that are 0.
func (c StatusCodes) WithDefaults() StatusCodes {
	return StatusCodes{
		Shed:    cmp.Or(c.Shed, http.StatusServiceUnavailable),
		Failed:  cmp.Or(c.Failed, http.StatusBadGateway),
		Expired: cmp.Or(c.Expired, http.StatusGatewayTimeout),
	}
}

// Source is where the endpoint list of a service comes from.
type Source struct {
	Kind       SourceKind
	Address    string // of Catalog and Consul: host:port
	Path       string // of File
	RemoteName string // of Consul and Relay: the service's or the list's name there
	TokenFile  string // of Consul: holds the token; may be empty
	Endpoints  []membership.Endpoint
}

// SourceKind is the kind of a source.
type SourceKind int

// The kinds of sources.
const (
	Static  SourceKind = iota // the list is in the configuration
	Catalog                   // the platform's discovery
	File                      // a file that something else keeps up to date
	Consul                    // blocking queries of a health API
	Relay                     // what a source of distribution publishes, by the relays of [distribution]
)

// Route is one rule and its targets.
type Route struct {
	Name          string
	Listeners     []string // empty: all
	CausedBy      []string // classes of services that the application serves, as service/class, that cause it; empty: any
	Match         route.Match
	Targets       []Target
	StickyHeader  string        // the field by which the arm of a split is chosen, in canonical form; empty: none
	RewritePrefix string        // the prefix that replaces the matched one; empty: none
	Timeout       time.Duration // 0: the class's deadline
	Mirror        *Target       // gets a copy of each request; may be nil
}

// Target is the service and class of a route, or of one arm of its split.
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

// Class returns the index of the service's class of a name, or -1.
func (s *Service) Class(name string) int {
	for i, class := range s.Classes {
		if class == name {
			return i
		}
	}
	return -1
}

// Deadline returns how long a request of a route may take at one of its targets: the shorter of the
// route's timeout and the class's deadline.
func (a *App) Deadline(r *Route, t Target) time.Duration {
	s := a.Service(t.Service)
	deadline := deadlineOf(s.Balancer.Classes[s.Class(t.Class)])
	if r.Timeout > 0 {
		deadline = min(deadline, r.Timeout)
	}
	return deadline
}

// LongestDeadline returns the longest deadline of all classes of the service.
func (s *Service) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Balancer.Classes {
		longest = max(longest, deadlineOf(class))
	}
	return longest
}

// deadlineOf returns the deadline of a class, which the module has in microseconds.
func deadlineOf(class logic.Class) time.Duration {
	return time.Duration(class.Deadline) * time.Microsecond
}

// class returns what the module is configured with for a target's class, and the policy of its
// owner; false where there is no such class.
func (a *App) class(t Target) (logic.Class, ClassPolicy, bool) {
	if s := a.Service(t.Service); s != nil {
		if i := s.Class(t.Class); i >= 0 {
			return s.Balancer.Classes[i], s.ClassPolicies[i], true
		}
	}
	return logic.Class{}, ClassPolicy{}, false
}

// IdempotencyName returns the word for an idempotency in a file.
func IdempotencyName(i logic.Idempotency) string {
	return [...]string{logic.Idempotent: "safe", logic.IdempotentByKey: "keyed", logic.NonIdempotent: "unsafe"}[i]
}

// DedupScopeName returns the word for a dedup scope in a file.
func DedupScopeName(scope logic.DedupScope) string {
	return [...]string{logic.DedupTier: "service", logic.DedupZone: "zone", logic.DedupCell: "cell"}[scope]
}
