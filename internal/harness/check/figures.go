package check

import (
	"slices"
	"time"
)

// Figures are the measurements of a run. Its JSON keys are stored.
type Figures struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`

	// Ready has, for each start of a sidecar, the seconds until it was ready, sorted.
	Ready  []float64 `json:"-"`
	Starts int       `json:"lives"` // of sidecars
	// ReadyP50 to ReadyAll are quantiles of Ready and its maximum, in seconds.
	ReadyP50   float64 `json:"ready_p50_s"`
	ReadyP95   float64 `json:"ready_p95_s"`
	ReadyAll   float64 `json:"ready_all_s"`
	NeverReady int     `json:"never_ready"` // starts of which the sidecar never became ready
	// FirstAll is from the first start until each sidecar had been ready once, in seconds; -1: one
	// never was.
	FirstAll float64 `json:"first_all_s"`

	Snapshots          Rate `json:"reads"`          // polls of list services for snapshots
	Updates            Rate `json:"watches"`        // further polls
	PollsRejected      int  `json:"calls_refused"`  // with 503
	SnapshotsAbandoned int  `json:"reads_given_up"` // the caller left before the response

	PeakConnects    float64 `json:"connects_peak_s"`  // connections to one backend in the worst second
	OverloadSeconds float64 `json:"pushed_s"`         // that cold backends were overloaded, in all
	LongestOverload float64 `json:"pushed_longest_s"` // of one cold backend, in seconds

	Requests    int     `json:"asked"`
	Served      float64 `json:"served"`
	Late        int     `json:"late"` // served after their objective
	Rejected    int     `json:"turned_away"`
	Failed      int     `json:"failed"`
	Unanswered  int     `json:"nothing"`
	Attempts    int     `json:"attempts"`     // at backends
	EarlyServed float64 `json:"early_served"` // served share of the requests of the first 30 s

	Losses []Loss `json:"losses,omitempty"` // of sites
	// ListRecoveries are the seconds from the end of each fault of list services until all sidecars
	// were ready; -1: one never was.
	ListRecoveries []float64 `json:"list_back_s"`
}

// Rate is the rate of events over a run.
type Rate struct {
	Total  int     `json:"total"`
	Peak   float64 `json:"peak_s"`   // in the worst second
	Steady float64 `json:"steady_s"` // a second, in the last quarter of the run
}

// ReadyWithin returns the share of the sidecars' starts that were ready within a duration.
func (f Figures) ReadyWithin(d time.Duration) float64 {
	n, _ := slices.BinarySearch(f.Ready, d.Seconds()+1e-9)
	return float64(n) / float64(max(1, f.Starts))
}
