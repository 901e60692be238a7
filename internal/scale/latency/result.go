package latency

import (
	"time"
)

// Format is the version of plans and results.
const Format = 1

// MaxResultBytes is the size of a result's file in bytes.
const MaxResultBytes = 1 << 20

const (
	leastPositive = 1e-6     // of figures that can't be zero
	maxMS         = 60_000.0 // of any time in a result
	maxUS         = 1e9
	maxLoad       = 1e6
	tolerance     = 1e-6 // milliseconds by which a difference may miss its terms
)

// Result is what a run measured. Times are in milliseconds unless the name says otherwise.
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

// CaseResult is what one case measured.
type CaseResult struct {
	Name           string  `json:"name"`
	RatePerSecond  float64 `json:"rate_per_second"`
	Hops           int     `json:"hops"`
	Connections    int     `json:"connections"`
	Backends       int     `json:"backends"`
	SegmentSeconds float64 `json:"segment_seconds"`
	// Of all threads of all sidecars of the chain, per call that goes through them: their time on a
	// core, and their time runnable without a core. The second is due to the machine, not the
	// sidecar.
	SidecarCPUPerCallUS  float64 `json:"sidecar_cpu_per_call_us"`
	SidecarWaitPerCallUS float64 `json:"sidecar_wait_per_call_us"`
	AddedP50             Spread  `json:"added_p50_ms"` // of the rounds' figures
	AddedP99             Spread  `json:"added_p99_ms"`
	CoupledP99           Spread  `json:"coupled_p99_ms"`
	DirectDifferenceP99  Spread  `json:"same_p99_ms"`
	All                  Stats   `json:"all"` // of the calls of all rounds together
	Rounds               []Stats `json:"rounds"`
}

// Stats are what the calls of one round, or of all rounds, measured.
type Stats struct {
	DirectCalls  int       `json:"direct_calls"`
	ThroughCalls int       `json:"through_calls"`
	Rejected     int       `json:"refused_calls"` // on both paths, answered with 503; part of no distribution
	Failed       int       `json:"failed_calls"`  // on both paths, without a complete response of status 200 or 503
	Failure      string    `json:"first_failure,omitempty"`
	Waited       int       `json:"waited_calls"` // on both paths, due while no connection was idle
	Direct       Quantiles `json:"direct"`
	Through      Quantiles `json:"through"`
	// Through less direct, quantile by quantile.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP90 float64 `json:"added_p90_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// The 99th percentile of the differences of calls that are paired by rank.
	CoupledP99 float64 `json:"coupled_p99_ms"`
	// The second direct segments less the first: the error of the method and the machine.
	DirectDifferenceP50 float64 `json:"same_p50_ms"`
	DirectDifferenceP99 float64 `json:"same_p99_ms"`
	// From the intended moments to the sending, and the upper bound of how late responses were
	// noticed, on both paths.
	SendLatenessP50    float64    `json:"send_lateness_p50_ms"`
	SendLatenessP99    float64    `json:"send_lateness_p99_ms"`
	ReceiveLatenessP99 float64    `json:"receive_lateness_p99_ms"`
	LoadAverage        [3]float64 `json:"load_average"` // of the machine over 1, 5 and 15 minutes, at the end
}

// roundSpread is a figure of rounds, and its spread.
type roundSpread struct {
	field  string
	spread *Spread
	figure func(*Stats) float64
}

func (s roundSpread) values(rounds []Stats) []float64 {
	out := make([]float64, len(rounds))
	for i := range rounds {
		out[i] = s.figure(&rounds[i])
	}
	return out
}

// spreads returns the figures whose spread over the rounds is part of a case's result.
func (cr *CaseResult) spreads() []roundSpread {
	return []roundSpread{
		{"added_p50_ms", &cr.AddedP50, func(f *Stats) float64 { return f.AddedP50 }},
		{"added_p99_ms", &cr.AddedP99, func(f *Stats) float64 { return f.AddedP99 }},
		{"coupled_p99_ms", &cr.CoupledP99, func(f *Stats) float64 { return f.CoupledP99 }},
		{"same_p99_ms", &cr.DirectDifferenceP99, func(f *Stats) float64 { return f.DirectDifferenceP99 }},
	}
}

// fillSpreads fills in what follows from the rounds.
func (cr *CaseResult) fillSpreads() {
	for _, s := range cr.spreads() {
		*s.spread = spreadOf(s.values(cr.Rounds))
	}
}
