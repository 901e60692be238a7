// Package result defines the file format of what a sweep of fernctl scale measures, and reads and
// writes it strictly. Result files are versioned and committed; fits, predictions and
// docs/CAPACITY.md are computed from them alone.
//
// The package does no I/O but through the writer that it is given. Its functions may be called
// concurrently.
package result

// Format is the version of the file format that this program writes and reads.
const Format = 1

// Source is the way in which endpoint lists reach proxies.
type Source string

// The measured sources of endpoint lists.
const (
	SourceStatic  Source = "static"  // they are part of the configuration
	SourceConsul  Source = "consul"  // long polls for complete lists, one connection per service
	SourceCatalog Source = "catalog" // the platform's discovery, one stream per service
	SourceRelay   Source = "relay"   // distribution: one stream per proxy, deltas only
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
	Hollow     bool      `json:"hollow"`  // proxies without a data path, many in a process; false: real processes
	Date       string    `json:"date"`    // RFC 3339
	Program    string    `json:"program"` // revision of the sources that was built
	GoVersion  string    `json:"go_version"`
	Cores      int       `json:"cores"`
	LoadBefore float64   `json:"load_before"` // the machine's load average over a minute, before the first round
	Points     []Point   `json:"points"`      // by size, ascending
}

// Point is what the rounds at one size measured.
type Point struct {
	Size    Size    `json:"size"`
	HeldOut bool    `json:"held_out,omitempty"` // measured to check predictions: no fit uses it
	Rounds  []Round `json:"rounds"`
}

// Size is the size of the fleet and of its load at a point.
type Size struct {
	Proxies          int     `json:"proxies"`
	Services         int     `json:"services"`           // that each proxy follows
	TotalServices    int     `json:"services_in_all"`    // that the proxies choose from
	Backends         int     `json:"backends"`           // of each service
	ChangesPerSecond float64 `json:"changes_per_second"` // over all services; each affects one backend
	CallsPerSecond   float64 `json:"calls_per_second"`   // of each proxy
}

// Round is one measured span at a size, after a warm-up.
type Round struct {
	Seconds     float64     `json:"seconds"`
	Proxies     Cost        `json:"proxies"` // of all proxies together
	Lists       Cost        `json:"lists"`   // of the list service, or of distribution's source
	Relays      Cost        `json:"relays"`  // zero where there are none
	Propagation TimeSummary `json:"in_force"`
	// Late counts the changes that were not in force once the scenario's settle time (2.5 s by
	// default) after the span had passed, each change once for each proxy that follows its service.
	Late int64       `json:"late,omitempty"`
	Call TimeSummary `json:"call"` // of one call's decision and bookkeeping; zero where no calls are made
}

// Cost is what the processes of one role use in a round. Bytes and messages are those of control
// traffic.
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

// TimeSummary summarizes a distribution of times, in seconds. That of Round.InForce is of the times from
// the write of a change at its origin until a proxy has put it in force.
type TimeSummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}
