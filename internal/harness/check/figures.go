package check

import (
	"slices"
	"time"
)

// Figures are the measurements of a run. The JSON keys are part of the stored format.
type Figures struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`

	// Ready is the time in seconds from each start of a sidecar until the sidecar was ready,
	// sorted.
	Ready  []float64 `json:"-"`
	Starts int       `json:"lives"` // number of starts of sidecars
	// ReadyP50, ReadyP95 and ReadyAll are the median, the 95th percentile and the maximum of Ready,
	// in seconds.
	ReadyP50   float64 `json:"ready_p50_s"`
	ReadyP95   float64 `json:"ready_p95_s"`
	ReadyAll   float64 `json:"ready_all_s"`
	NeverReady int     `json:"never_ready"` // starts after which the sidecar never became ready
	// FirstAll is the time in seconds from the first start until every sidecar has been ready once;
	// -1 means that a sidecar never became ready.
	FirstAll float64 `json:"first_all_s"`

	Snapshots          Rate `json:"reads"`          // polls of list services for snapshots
	Updates            Rate `json:"watches"`        // other polls of list services
	PollsRejected      int  `json:"calls_refused"`  // polls that were rejected with 503
	SnapshotsAbandoned int  `json:"reads_given_up"` // polls for snapshots that the caller abandoned

	PeakConnects    float64 `json:"connects_peak_s"`  // most connections to one backend in one second
	OverloadSeconds float64 `json:"pushed_s"`         // total time for which cold backends were overloaded
	LongestOverload float64 `json:"pushed_longest_s"` // longest overload of a cold backend in seconds

	Requests    int     `json:"asked"`
	Served      float64 `json:"served"`
	Late        int     `json:"late"` // requests served after their latency objective
	Rejected    int     `json:"turned_away"`
	Failed      int     `json:"failed"`
	Unanswered  int     `json:"nothing"`
	Attempts    int     `json:"attempts"`     // attempts that backends executed
	EarlyServed float64 `json:"early_served"` // share of the requests of the first 30 s that were served

	Losses []Loss `json:"losses,omitempty"` // losses of sites
	// ListRecoveries is, for each fault of list services, the time in seconds from its end until
	// all sidecars have been ready; -1 means that a sidecar never became ready.
	ListRecoveries []float64 `json:"list_back_s"`
}

// Rate is the rate of events over a run.
type Rate struct {
	Total  int     `json:"total"`
	Peak   float64 `json:"peak_s"`   // most events in one second
	Steady float64 `json:"steady_s"` // events per second in the last quarter of the run
}

// ReadyWithin returns the share of the sidecars' starts that led to readiness within d.
func (f Figures) ReadyWithin(d time.Duration) float64 {
	n, _ := slices.BinarySearch(f.Ready, d.Seconds()+1e-9)
	return float64(n) / float64(max(1, f.Starts))
}
