package fleetsim

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that TOML files state in Go's notation, such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("found %q, a time such as \"1.5s\" expected", text)
	}
	*d = Duration(parsed)
	return nil
}

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// String returns the duration in Go's notation.
func (d Duration) String() string { return time.Duration(d).String() }

// micros returns the duration in microseconds.
func (d Duration) micros() int64 { return time.Duration(d).Microseconds() }

// within reports whether the duration lies in the closed range from lo to hi.
func (d Duration) within(lo, hi time.Duration) bool {
	return time.Duration(d) >= lo && time.Duration(d) <= hi
}

// seconds returns a duration of n seconds.
func seconds(n float64) Duration { return Duration(n * float64(time.Second)) }

// Day describes a day to simulate. If the comment of a field ends with a value after a semicolon,
// the value is the default, which replaces the zero value.
type Day struct {
	Name   string   `toml:"name"`
	Seed   uint64   `toml:"seed"`
	Length Duration `toml:"length"` // time in which requests arrive; 40s
	Warmup Duration `toml:"warmup"` // initial time without measurement; 3s
	// Rate is the number of client requests per second. If Rate is 0, Load states the rate as a
	// fraction of the capacity of the tier with the lowest capacity.
	Rate            float64  `toml:"rate"`
	Load            float64  `toml:"load"`
	RateAmplitude   float64  `toml:"wave"`       // relative amplitude of a sine of the rate with a period of 11 s
	Noise           float64  `toml:"noise"`      // standard deviation of the logarithm of an attempt's work
	OverQuotaWeight float64  `toml:"over_worth"` // priority weight of a request beyond its tenant's quota; 0.05
	Quota           float64  `toml:"quota"`      // sum of all quotas, as a fraction of the capacity; 0.6
	Classes         []Class  `toml:"classes"`
	Tenants         []Tenant `toml:"tenants"`
	Tiers           []Tier   `toml:"tiers"`
	Clients         Clients  `toml:"clients"`
	Network         Network  `toml:"network"`
	Faults          []Fault  `toml:"trouble"`
}

// The values of [Class.Idempotency].
const (
	idempotent      = "safe"
	idempotentByKey = "keyed"
	nonIdempotent   = "unsafe"
)

// Class is a class of requests.
type Class struct {
	Name               string   `toml:"name"`
	Share              float64  `toml:"share"` // relative share of all requests
	Work               Duration `toml:"work"`  // mean work over all tiers, in time of one core of speed 1
	CV                 float64  `toml:"cv"`    // coefficient of variation of the work: 0 constant, 1 exponential
	LatencyObjective   Duration `toml:"aim"`
	Deadline           Duration `toml:"deadline"`
	LatePriorityFactor float64  `toml:"late_worth"`
	Idempotency        string   `toml:"repeat"` // safe, keyed or unsafe
	DedupWindow        Duration `toml:"window"` // dedup window of a keyed class
}

// Tenant is a customer with its own quota.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // relative share of the sum of all quotas
	Usage float64 `toml:"usage"` // requests sent as a fraction of the quota, before scaling to the rate; 1
}

// Tier is a tier of backends. Each inner tier is called through one replica beside each backend of
// the previous tier.
type Tier struct {
	Name     string         `toml:"name"`
	Replicas int            `toml:"copies"` // number of replicas, for the first tier only; 2
	Work     float64        `toml:"work"`   // fraction of a class's work that each call takes
	Calls    float64        `toml:"calls"`  // mean of sequential calls for each request of the previous tier; 1
	Cells    int            `toml:"cells"`  // groups of backends that share the removal of duplicates; 2
	Groups   []BackendGroup `toml:"kinds"`

	// The following fields describe overload. A backend becomes overloaded when the mean number of
	// requests at the backend over OverloadWindow exceeds cores + OverloadAt * sqrt(cores). An
	// overloaded backend is slower by the factor Slowdown. It recovers when less than the fraction
	// RecoverBelow of its cores has been busy for RecoverFor, at the latest after MaxOverload. A
	// Slowdown of 0 means that backends never become overloaded.
	OverloadAt     float64  `toml:"over_at"`
	OverloadWindow Duration `toml:"over_for"`
	Slowdown       float64  `toml:"slower"`
	RecoverBelow   float64  `toml:"below"`
	RecoverFor     Duration `toml:"rest"`
	MaxOverload    Duration `toml:"most"`

	SlowStartCapacity float64  `toml:"cold_from"` // fraction of the capacity that a new backend starts with; 0.35
	SlowStartWindow   Duration `toml:"warm"`      // time until a new backend has its full capacity; 6s
}

// BackendGroup describes a group of identical backends.
type BackendGroup struct {
	Count       int     `toml:"count"`
	Cores       int     `toml:"cores"`   // cores per backend; 2
	Speed       float64 `toml:"speed"`   // speed of each core; 1
	Slots       int     `toml:"slots"`   // maximum of concurrent requests, which share the cores; Cores
	QueueLength int     `toml:"waiting"` // requests that may wait for a slot before rejection; 20 per core
}

// Clients describes how clients retry.
type Clients struct {
	Retries                int      `toml:"retries"`
	Backoff                Duration `toml:"backoff"` // wait before a retry, at least 1 ms
	HonorRetryAfter        float64  `toml:"honour"`  // fraction of retries after shedding that respect Retry-After
	AttemptTimeoutFraction float64  `toml:"try"`     // timeout of an attempt as a fraction of the deadline; 1
}

// Network describes message delays. Each delay is drawn uniformly from 0.5 to 1.5 times its mean.
type Network struct {
	Latency     Duration `toml:"hop"`    // mean one-way latency; 200us
	UpdateDelay Duration `toml:"notice"` // mean delay of an endpoint update to a replica; 1.5s
}
