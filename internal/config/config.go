// Package config is the configuration of a sidecar: its listeners, services, routes and limits. The
// configuration comes either from an application's TOML file or from the file that the platform's
// LB_CONFIG names. The package is pure: it does no I/O, and callers pass in the bytes of a file.
//
// [Decode] reads an application's file for a sidecar. [Read] reads an application's file with all
// diagnostics, for tools. [DecodePlatform] reads the platform's file. A file is accepted as a whole
// or rejected as a whole, and all violations are reported at once. Package rules has the rules.
// Each table of the format is decoded in a Go file named after the table (decode_*.go).
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

// FormatVersion is the newest version of the application's format that this program reads. The
// program also reads all earlier versions.
const FormatVersion = 2

// ProgramVersion is the version of this program, major.minor. ProgramVersion is raised when files
// may require a feature that earlier programs lack.
const ProgramVersion = "0.4"

// Limits of a file.
const (
	MaxFile     = tomldoc.MaxFile // size of the file in bytes
	MaxServices = 256
	MaxRoutes   = 20_000
	MaxDeadline = 60 * time.Second // deadline of a class
	MaxBody     = 8 << 20          // size of a request or response body in bytes
)

// Kind is the kind of a sidecar. The kind decides how the class of a request is determined.
type Kind int

// The kinds of sidecars.
const (
	Application Kind = iota // routes determine the service and the class
	Platform                // one service; Request-Class and the path determine the class
)

// App is the configuration of one sidecar.
type App struct {
	Version    int // version of the format of the file
	Name       string
	Team       string   // team that runs the application; may be empty
	Host       string   // host of the application; empty means unknown
	Serves     []string // services of which the application itself is a backend
	Provenance Provenance
	Kind       Kind
	Seed       uint64 // seed of all random draws; 0 means that the sidecar draws a seed
	Process    Process
	StateDir   string // directory for data that outlives the process; empty means none
	// MaxListAge is the age from which on an endpoint list cached in StateDir is not used; 0 means
	// that no list is cached.
	MaxListAge time.Duration
	Listeners  []Listener
	Services   []*Service
	Routes     []Route
	// Distribution is disabled if it has no relays. The platform has no distribution.
	Distribution Distribution
}

// Provenance is the origin of a generated file. Provenance has no effect in a sidecar.
type Provenance struct {
	GeneratedBy string // generator of the file
	Requires    string // oldest version of the program that can read the file
	Sources     string // digest of the catalogue
	Environment string
}

// Process is the limits of the process.
type Process struct {
	Cores    float64 // 0 means unknown
	MemoryMB float64 // 0 means unknown
	Sockets  int     // number of file descriptors
}

// Distribution is the relays that provide the endpoint lists of services with membership = "relay",
// and optionally the configuration itself.
type Distribution struct {
	Relays []string // addresses as host:port; empty means that distribution is disabled
	// Name is the name of this sidecar among all followers. Empty means the names of the
	// application and the host.
	Name string
	// Configuration is the name under which the relays provide a configuration that replaces this
	// file; empty means none. Replicas of an application that have the same file share the name.
	Configuration string
}

// Listener is an address on which clients connect.
type Listener struct {
	Name    string
	Address string // host:port
}

// Service is one service that the application calls.
type Service struct {
	Name   string
	Owner  string // team that owns the service; may be empty
	Source Source
	settings.Deployment
	ClassPolicies     []ClassPolicy // policies of Classes, in the same order; none on the platform
	StatusCodes       StatusCodes   // status codes of the sidecar's own responses
	SlowStartMultiple float64       // load that a warming backend can take, as a multiple of its present capacity
	CapacityFraction  float64       // fraction of the service that this application may use; 0 means unknown
	Trusted           bool          // backends send nothing after a response, so connections are reused at once
	// PassAllStatuses is set if responses of every status are passed on with their header.
	// Otherwise only the bodies of responses with status 200 are passed on.
	PassAllStatuses bool
	Connections     int64            // guaranteed connections to backends; 0 means an equal part
	MaxBody         int64            // maximum size of a request body in bytes
	MaxResponse     int64            // maximum size of a response body in bytes
	KnownList       *membership.List // last known endpoint list; may be nil
}

// ClassPolicy is the statement of a class's owner about repeated runs of a request.
// Service.Balancer.Classes has the configuration of the module, which differs if RetryScope is
// narrower than the idempotency allows.
type ClassPolicy struct {
	Idempotency logic.Idempotency
	DedupScope  logic.DedupScope // backends that drop each other's duplicates; only for IdempotentByKey
	DedupWindow time.Duration    // time for which duplicates are dropped; only for IdempotentByKey
	Key         string           // canonical name of the field with the key; only for IdempotentByKey
	RetryScope  RetryScope
	EarlyData   bool     // whether requests in early data are accepted (RFC 8470)
	FormerNames []string // former names of the class
}

// RetryScope is the set of backends at which a request that may have run may be retried. A request
// that has certainly not run may always be retried.
type RetryScope int

// The retry scopes.
const (
	RetryNever        RetryScope = iota
	RetryInDedupScope            // backends that drop the request's duplicates, within the dedup window
	RetryAnywhere
)

// String returns the word for the retry scope in a file.
func (r RetryScope) String() string { return [...]string{"never", "scope", "any"}[r] }

// StatusCodes are the status codes of the sidecar's own responses; 0 means the default.
type StatusCodes struct {
	Shed    int // nothing has run, or the request is idempotent: 503 or 429
	Failed  int // the request may have run: 502 or 500
	Expired int // the deadline is over, and the request may have run: 504, 502 or 500
}

// WithDefaults returns the codes with 0 replaced by the default.
func (c StatusCodes) WithDefaults() StatusCodes {
	return StatusCodes{
		Shed:    cmp.Or(c.Shed, http.StatusServiceUnavailable),
		Failed:  cmp.Or(c.Failed, http.StatusBadGateway),
		Expired: cmp.Or(c.Expired, http.StatusGatewayTimeout),
	}
}

// Source is the source of the endpoint list of a service.
type Source struct {
	Kind       SourceKind
	Address    string                // host:port of a Catalog or Consul source
	Path       string                // path of a File source
	RemoteName string                // name of the service or list at a Consul or Relay source
	TokenFile  string                // file with the token of a Consul source; may be empty
	Endpoints  []membership.Endpoint // endpoints of a Static source
}

// SourceKind is the kind of a source.
type SourceKind int

// The kinds of sources.
const (
	Static  SourceKind = iota // list in the configuration
	Catalog                   // discovery of the platform
	File                      // file that another program keeps up to date
	Consul                    // health API with blocking queries
	Relay                     // list of a source of distribution, through the relays of [distribution]
)

// Route is a match and the targets of the requests that match.
type Route struct {
	Name          string
	Listeners     []string // names of listeners; empty means all
	CausedBy      []string // classes in Serves that cause the requests, as service/class; empty means any
	Match         route.Match
	Targets       []Target
	StickyHeader  string        // canonical name of the field that selects the arm of a split; empty means none
	RewritePrefix string        // prefix that replaces the matched one; empty means none
	Timeout       time.Duration // 0 means the deadline of the class
	Mirror        *Target       // target of a copy of each request; may be nil
}

// Target is the service and class of a route or of one arm of a split.
type Target struct {
	Service string
	Class   string
	Weight  int
}

// Service returns the service with a name, or nil if there is none.
func (a *App) Service(name string) *Service {
	for _, s := range a.Services {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Class returns the index of the service's class with a name, or -1 if there is none.
func (s *Service) Class(name string) int {
	for i, class := range s.Classes {
		if class == name {
			return i
		}
	}
	return -1
}

// Deadline returns the maximum duration of a request of a route at one of the route's targets: the
// shorter of the route's timeout and the class's deadline.
func (a *App) Deadline(r *Route, t Target) time.Duration {
	s := a.Service(t.Service)
	deadline := deadlineOf(s.Balancer.Classes[s.Class(t.Class)])
	if r.Timeout > 0 {
		deadline = min(deadline, r.Timeout)
	}
	return deadline
}

// LongestDeadline returns the longest deadline among the classes of the service.
func (s *Service) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Balancer.Classes {
		longest = max(longest, deadlineOf(class))
	}
	return longest
}

// deadlineOf returns the deadline of a class, which the module keeps in microseconds.
func deadlineOf(class logic.Class) time.Duration {
	return time.Duration(class.Deadline) * time.Microsecond
}

// class returns the configuration of the module for a target's class, and the policy of the class's
// owner. The boolean reports whether the class exists.
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
