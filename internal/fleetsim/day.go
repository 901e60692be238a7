package fleetsim

import (
	"fmt"
	"time"
)

// Duration is a length of time, in TOML as Go writes it: "1.5s".
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

// String returns the duration as Go writes it.
func (d Duration) String() string { return time.Duration(d).String() }

// micros returns the duration in microseconds.
func (d Duration) micros() int64 { return time.Duration(d).Microseconds() }

// within reports whether the duration lies between lo and hi, both included.
func (d Duration) within(lo, hi time.Duration) bool {
	return time.Duration(d) >= lo && time.Duration(d) <= hi
}

// seconds returns n seconds.
func seconds(n float64) Duration { return Duration(n * float64(time.Second)) }

// Day describes a day. The zero value of a field that has a default, named in its comment, stands
// for it.
type Day struct {
	Name   string   `toml:"name"`
	Seed   uint64   `toml:"seed"`
	Length Duration `toml:"length"` // 40s
	Warmup Duration `toml:"warmup"` // what comes before is not counted; 3s
	// Rate is client requests per second; if it is 0, Load gives it as a fraction of the capacity
	// of the narrowest tier.
	Rate            float64  `toml:"rate"`
	Load            float64  `toml:"load"`
	Wave            float64  `toml:"wave"`       // the rate swings by this fraction, with a period of 11 s
	Noise           float64  `toml:"noise"`      // of an attempt's work: the deviation of its logarithm
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
	Share              float64  `toml:"share"` // of all requests
	Work               Duration `toml:"work"`  // mean of one core of speed 1, over all tiers
	CV                 float64  `toml:"cv"`    // of the work: 0 is constant, 1 exponential
	LatencyObjective   Duration `toml:"aim"`
	Deadline           Duration `toml:"deadline"`
	LatePriorityFactor float64  `toml:"late_worth"`
	Idempotency        string   `toml:"repeat"` // safe, keyed or unsafe
	DedupWindow        Duration `toml:"window"` // of keyed
}

// Tenant is an origin of requests.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the quotas
	Usage float64 `toml:"usage"` // fraction of its quota that it sends, before the whole is scaled to the rate; 1
}

// Tier is a tier of backends. The replicas before inner tiers stand beside the backends of the tier
// before.
type Tier struct {
	Name     string         `toml:"name"`
	Replicas int            `toml:"copies"` // before the first tier; 2
	Work     float64        `toml:"work"`   // fraction of a class's work for each call
	Calls    float64        `toml:"calls"`  // to this tier for each request of the tier before, one after another; 1
	Cells    int            `toml:"cells"`  // groups of backends that drop duplicates between them; 2
	Groups   []BackendGroup `toml:"kinds"`

	// A backend that holds more than cores + OverloadAt x root of cores requests, in the mean of
	// OverloadWindow, becomes Slowdown times slower until fewer than RecoverBelow of its cores were
	// busy for RecoverFor, or MaxOverload is up. Slowdown 0: never.
	OverloadAt     float64  `toml:"over_at"`
	OverloadWindow Duration `toml:"over_for"`
	Slowdown       float64  `toml:"slower"`
	RecoverBelow   float64  `toml:"below"`
	RecoverFor     Duration `toml:"rest"`
	MaxOverload    Duration `toml:"most"`

	SlowStartCapacity float64  `toml:"cold_from"` // fraction of its capacity that a backend starts with; 0.35
	SlowStartWindow   Duration `toml:"warm"`      // and when it has all of it; 6s
}

// BackendGroup is a number of equal backends.
type BackendGroup struct {
	Count       int     `toml:"count"`
	Cores       int     `toml:"cores"`   // 2
	Speed       float64 `toml:"speed"`   // of a core; 1
	Slots       int     `toml:"slots"`   // requests at once, which share the cores; Cores if 0
	QueueLength int     `toml:"waiting"` // requests that wait for a slot; 20 per core if 0; more are rejected
}

// Clients describes how clients retry.
type Clients struct {
	Retries         int      `toml:"retries"`
	Backoff         Duration `toml:"backoff"` // 0: at once
	HonorRetryAfter float64  `toml:"honour"`  // fraction of the clients that wait as long as Retry-After says
	AttemptFraction float64  `toml:"try"`     // fraction of the deadline after which an attempt is given up; 1
}

// Network is the time that messages take, each drawn evenly from half to one and a half times.
type Network struct {
	Latency     Duration `toml:"hop"`    // one way; 200us
	UpdateDelay Duration `toml:"notice"` // until a replica is notified of a change; 1.5s
}
