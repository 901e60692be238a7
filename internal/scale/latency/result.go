package latency

import (
	"time"
)

// Format is the version of the formats of plans and results.
const Format = 1

// MaxResultBytes is the maximum size of a result file.
const MaxResultBytes = 1 << 20

const (
	minPositive = 1e-6     // minimum of values that cannot be zero
	maxMS       = 60_000.0 // maximum of any time in milliseconds
	maxUS       = 1e9      // maximum of any time in microseconds
	maxLoad     = 1e6      // maximum of a load average
	tolerance   = 1e-6     // rounding error of a computed difference, in milliseconds
)

// Result holds the measurements of a run. Times are in milliseconds unless the field name has
// another unit.
type Result struct {
	Format          int          `json:"format"`
	Plan            string       `json:"plan"`
	Date            time.Time    `json:"date"`
	GoVersion       string       `json:"go_version"`
	Cores           int          `json:"cores"`
	Seed            uint64       `json:"seed"`
	Spacing         Spacing      `json:"spacing"`
	SidecarCores    float64      `json:"sidecar_cores"`
	SidecarMemoryMB float64      `json:"sidecar_memory_mb"`
	TargetMS        float64      `json:"target_added_p99_ms"`
	Cases           []CaseResult `json:"cases"`
}

// CaseResult holds the measurements of one case.
type CaseResult struct {
	Name           string  `json:"name"`
	RatePerSecond  float64 `json:"rate_per_second"`
	Hops           int     `json:"hops"`
	Connections    int     `json:"connections"`
	Backends       int     `json:"backends"`
	SegmentSeconds float64 `json:"segment_seconds"`
	// SidecarCPUPerCallUS is the time on a core of all threads of all sidecars of the chain, per call
	// through the chain. SidecarWaitPerCallUS is their time runnable without a core, which is caused
	// by the machine and not by the sidecars.
	SidecarCPUPerCallUS  float64 `json:"sidecar_cpu_per_call_us"`
	SidecarWaitPerCallUS float64 `json:"sidecar_wait_per_call_us"`
	AddedP50             Spread  `json:"added_p50_ms"` // spreads are over the rounds
	AddedP99             Spread  `json:"added_p99_ms"`
	CoupledP99           Spread  `json:"coupled_p99_ms"`
	DirectDifferenceP99  Spread  `json:"same_p99_ms"`
	All                  Stats   `json:"all"` // of the calls of all rounds
	Rounds               []Stats `json:"rounds"`
}

// Stats holds the statistics of the calls of one round, or of all rounds.
type Stats struct {
	DirectCalls  int       `json:"direct_calls"`
	ThroughCalls int       `json:"through_calls"`
	Rejected     int       `json:"refused_calls"` // both paths, answered with 503; excluded from the distributions
	Failed       int       `json:"failed_calls"`  // both paths, without a complete response of status 200 or 503
	Failure      string    `json:"first_failure,omitempty"`
	Waited       int       `json:"waited_calls"` // both paths, due while no connection was idle
	Direct       Quantiles `json:"direct"`
	Through      Quantiles `json:"through"`
	// AddedP50, AddedP90 and AddedP99 are the quantiles through the sidecars minus the direct
	// quantiles.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP90 float64 `json:"added_p90_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// CoupledP99 is the 99th percentile of the differences of calls paired by rank.
	CoupledP99 float64 `json:"coupled_p99_ms"`
	// DirectDifferenceP50 and DirectDifferenceP99 are the quantiles of the second direct segments
	// minus those of the first: the error of the method and the machine.
	DirectDifferenceP50 float64 `json:"same_p50_ms"`
	DirectDifferenceP99 float64 `json:"same_p99_ms"`
	// SendLatenessP50 and SendLatenessP99 are quantiles of the time from the intended to the actual
	// send time. ReceiveLatenessP99 is the 99th percentile of an upper bound of the time from the
	// arrival of a response to its detection. All three include both paths.
	SendLatenessP50    float64    `json:"send_lateness_p50_ms"`
	SendLatenessP99    float64    `json:"send_lateness_p99_ms"`
	ReceiveLatenessP99 float64    `json:"receive_lateness_p99_ms"`
	LoadAverage        [3]float64 `json:"load_average"` // over 1, 5 and 15 minutes, at the end of the round
}

// roundSpread is a value of each round and the spread of the values.
type roundSpread struct {
	field  string
	spread *Spread
	value  func(*Stats) float64
}

func (s roundSpread) values(rounds []Stats) []float64 {
	out := make([]float64, len(rounds))
	for i := range rounds {
		out[i] = s.value(&rounds[i])
	}
	return out
}

// spreads returns the spreads over the rounds that are part of the result of a case.
func (cr *CaseResult) spreads() []roundSpread {
	return []roundSpread{
		{"added_p50_ms", &cr.AddedP50, func(f *Stats) float64 { return f.AddedP50 }},
		{"added_p99_ms", &cr.AddedP99, func(f *Stats) float64 { return f.AddedP99 }},
		{"coupled_p99_ms", &cr.CoupledP99, func(f *Stats) float64 { return f.CoupledP99 }},
		{"same_p99_ms", &cr.DirectDifferenceP99, func(f *Stats) float64 { return f.DirectDifferenceP99 }},
	}
}

// fillSpreads sets the spreads over the rounds.
func (cr *CaseResult) fillSpreads() {
	for _, s := range cr.spreads() {
		*s.spread = spreadOf(s.values(cr.Rounds))
	}
}
