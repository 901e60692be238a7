// Package result defines the file format of the measurements of fernctl scale run, and reads,
// validates and writes these files. Result files are versioned and committed. Fits, predictions and
// docs/CAPACITY.md are computed from result files alone.
//
// The package does no I/O except through the writer passed to Write. Its functions are safe for
// concurrent use.
package result

// Format is the version of the file format.
const Format = 1

// Source is the mechanism that delivers endpoint lists to proxies.
type Source string

// The measured sources of endpoint lists.
const (
	SourceStatic  Source = "static"  // lists in the configuration
	SourceConsul  Source = "consul"  // long polls for snapshots, one connection per service
	SourceCatalog Source = "catalog" // discovery of the platform, one stream per service
	SourceRelay   Source = "relay"   // package distribution: one stream per proxy, deltas only
)

// Dimension is the quantity that a sweep varies.
type Dimension string

// The dimensions of a sweep.
const (
	Proxies  Dimension = "proxies"
	Services Dimension = "services" // services followed by each proxy
	Backends Dimension = "backends" // backends per service
	Changes  Dimension = "changes"  // changes per second, over all services
	Calls    Dimension = "calls"    // calls per second and proxy
)

// Result holds the measurements of one sweep.
type Result struct {
	Format     int       `json:"format"`
	Scenario   string    `json:"scenario"` // name of the scenario
	Source     Source    `json:"source"`
	Dimension  Dimension `json:"dimension"`
	Hollow     bool      `json:"hollow"`  // proxies without a data path, many per process; false: one process per proxy
	Date       string    `json:"date"`    // RFC 3339
	Program    string    `json:"program"` // source revision of the program
	GoVersion  string    `json:"go_version"`
	Cores      int       `json:"cores"`
	LoadBefore float64   `json:"load_before"` // 1-minute load average of the machine before the first round
	Points     []Point   `json:"points"`      // ascending by size
}

// Point holds the measurements at one size.
type Point struct {
	Size    Size    `json:"size"`
	HeldOut bool    `json:"held_out,omitempty"` // excluded from fits, to check predictions
	Rounds  []Round `json:"rounds"`
}

// Size is the size and the load of the fleet at a point.
type Size struct {
	Proxies          int     `json:"proxies"`
	Services         int     `json:"services"`           // followed by each proxy
	TotalServices    int     `json:"services_in_all"`    // from which each proxy selects
	Backends         int     `json:"backends"`           // per service
	ChangesPerSecond float64 `json:"changes_per_second"` // over all services; each change affects one backend
	CallsPerSecond   float64 `json:"calls_per_second"`   // per proxy
}

// Round is one measured period at a size, after the warm-up.
type Round struct {
	Seconds     float64     `json:"seconds"`
	Proxies     Cost        `json:"proxies"` // all proxies together
	Lists       Cost        `json:"lists"`   // the list services, or the source of distribution
	Relays      Cost        `json:"relays"`  // zero if there are no relays
	Propagation TimeSummary `json:"in_force"`
	// Late is the number of changes that had not been applied when the settle time of the scenario
	// (2.5 s by default) after the round had passed. Each change counts once for each proxy that
	// follows its service.
	Late int64       `json:"late,omitempty"`
	Call TimeSummary `json:"call"` // decision and bookkeeping of one call; zero if no calls are made
}

// Cost is the resource usage of the processes of one role in a round. Bytes and messages are
// control traffic.
type Cost struct {
	Processes      int     `json:"processes"`
	CPUSeconds     float64 `json:"cpu_seconds"`
	RSSBytes       int64   `json:"rss_bytes"`  // at the end of the round
	HeapBytes      int64   `json:"heap_bytes"` // live after a garbage collection at the end of the round
	AllocatedBytes int64   `json:"allocated_bytes"`
	Allocations    int64   `json:"allocations"`
	Goroutines     int     `json:"goroutines"` // at the end of the round
	Connections    int     `json:"connections"`
	BytesIn        int64   `json:"bytes_in"`
	BytesOut       int64   `json:"bytes_out"`
	MessagesIn     int64   `json:"messages_in"`
	MessagesOut    int64   `json:"messages_out"`
}

// TimeSummary summarizes a distribution of times, in seconds. The times of Round.Propagation run
// from the write of a change at its origin until a proxy has applied the change.
type TimeSummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}
