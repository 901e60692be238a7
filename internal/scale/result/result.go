// Package result is the file format of what a sweep of fernctl scale measured. Files are versioned and committed;
// fits, predictions and the page on capacity are worked out from them alone.
package result

// Format is the version of the file format that this program writes and reads.
const Format = 1

// Source says how lists of backends come to proxies.
type Source string

// The sources of lists that are measured.
const (
	SourceStatic  Source = "static"  // they stand in the configuration
	SourceConsul  Source = "consul"  // blocking reads of whole lists, one stream a service
	SourceCatalog Source = "catalog" // the platform's discovery, one stream a service
	SourceRelay   Source = "relay"   // distribution: one stream a proxy, changes only
)

// Dimension is what a sweep varies.
type Dimension string

// The dimensions of a sweep.
const (
	Proxies  Dimension = "proxies"
	Services Dimension = "services" // followed by a proxy
	Backends Dimension = "backends" // of a service
	Changes  Dimension = "changes"  // a second, over all services
	Calls    Dimension = "calls"    // a second, of each proxy
)

// Result is what one sweep measured.
type Result struct {
	Format     int       `json:"format"`
	Scenario   string    `json:"scenario"` // its name
	Source     Source    `json:"source"`
	Dimension  Dimension `json:"dimension"`
	Hollow     bool      `json:"hollow"`  // proxies without data sockets, many in a process; false: real processes
	Date       string    `json:"date"`    // RFC 3339
	Program    string    `json:"program"` // revision of the sources that was built
	GoVersion  string    `json:"go_version"`
	Cores      int       `json:"cores"`
	LoadBefore float64   `json:"load_before"` // the machine's load average over a minute, before the first round
	Points     []Point   `json:"points"`      // by size, ascending
}

// Point is one size with its rounds.
type Point struct {
	Size    Size    `json:"size"`
	HeldOut bool    `json:"held_out,omitempty"` // played to judge predictions: no fit uses it
	Rounds  []Round `json:"rounds"`
}

// Size is what was played.
type Size struct {
	Proxies          int     `json:"proxies"`
	Services         int     `json:"services"`           // that each proxy follows
	ServicesInAll    int     `json:"services_in_all"`    // that the proxies choose from
	Backends         int     `json:"backends"`           // of each service
	ChangesPerSecond float64 `json:"changes_per_second"` // over all services; each changes one backend
	CallsPerSecond   float64 `json:"calls_per_second"`   // of each proxy
}

// Round is one measured span at a size, after a warm-up.
type Round struct {
	Seconds float64 `json:"seconds"`
	Proxies Cost    `json:"proxies"` // of all proxies together
	Lists   Cost    `json:"lists"`   // of the list service, or of distribution's source
	Relays  Cost    `json:"relays"`  // zero where there are none
	InForce Spread  `json:"in_force"`
	Late    int64   `json:"late,omitempty"` // changes, each counted for each proxy that follows its service, that were not in force a while after the span (2.5 s if not said otherwise)
	Call    Spread  `json:"call"`           // of one call's decision and bookkeeping; zero where no calls are made
}

// Cost is what processes of one role used in a round. Bytes and messages are those of control traffic.
type Cost struct {
	Processes      int     `json:"processes"`
	CPUSeconds     float64 `json:"cpu_seconds"`
	RSSBytes       int64   `json:"rss_bytes"`  // at the end
	HeapBytes      int64   `json:"heap_bytes"` // live after a collection, at the end
	AllocatedBytes int64   `json:"allocated_bytes"`
	Allocations    int64   `json:"allocations"`
	Goroutines     int     `json:"goroutines"` // at the end
	Connections    int     `json:"connections"`
	BytesIn        int64   `json:"bytes_in"`
	BytesOut       int64   `json:"bytes_out"`
	MessagesIn     int64   `json:"messages_in"`
	MessagesOut    int64   `json:"messages_out"`
}

// Spread is a distribution of times in seconds: of InForce, from the moment a change was written at its origin until a
// proxy had put it in force.
type Spread struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}
