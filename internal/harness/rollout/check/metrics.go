package check

import (
	"math"
	"slices"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// Metrics are what a run measured. Latencies are from a put's answer until the version is in force
// at a follower.
type Metrics struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Faults   int     `json:"faults"`

	Puts           int `json:"puts"`
	Unanswered     int `json:"puts_unanswered"`
	ConcurrentPuts int `json:"puts_within_1ms"` // begun so soon after another one to the same resource
	InForce        int `json:"in_force"`        // updates that followers put in force
	Snapshots      int `json:"whole_updates"`   // of these
	Rejected       int `json:"refused"`
	Resumed        int `json:"resumed"` // subscriptions that began with a version
	Reports        int `json:"reports"`

	// UrgentEvaluated is how many latencies of urgent versions there are, where no fault affects a
	// path of the follower.
	UrgentEvaluated int `json:"urgent_judged"`
	// UrgentDelayedByCPU is how many of these were late, by no more than the processes on the path
	// waited for a core.
	UrgentDelayedByCPU int `json:"urgent_late_by_waits_for_a_core"`
	// Unsettled says that the last reports are not checked: followers may be counted at two relays.
	Unsettled   bool    `json:"last_report_while_machine_lagged"`
	MaxLagMs    float64 `json:"lag_max_ms"`
	UrgentP50Ms float64 `json:"urgent_p50_ms"`
	UrgentP99Ms float64 `json:"urgent_p99_ms"`
	UrgentMaxMs float64 `json:"urgent_max_ms"`
	// FaultFree are the latencies of all versions where no fault affects a path of the follower.
	FaultFreeP50Ms float64 `json:"quiet_p50_ms"`
	FaultFreeP99Ms float64 `json:"quiet_p99_ms"`
	FaultFreeMaxMs float64 `json:"quiet_max_ms"`
	// All are the latencies of all versions, with faults or without.
	AllP99Seconds float64 `json:"all_p99_s"`
	AllMaxSeconds float64 `json:"all_max_s"`

	IdleBytesPerSecond float64 `json:"rest_bytes_per_s"` // of a follower, the most of any process of followers
	IdleReadsPerSecond float64 `json:"rest_reads_per_s"`
	ResidentMB         float64 `json:"resident_mb"` // of the source or a relay, the most
	MaxSessions        float64 `json:"sessions"`    // of the source or a relay, the most
	MaxCacheBytes      float64 `json:"cache_bytes"`
	MaxStoreBytes      float64 `json:"store_bytes"`
}

// twinMicroseconds is how close two puts to one resource begin that count as twins.
const twinMicroseconds = 1000

// Measure returns the metrics of a history, which is sorted by time.
func Measure(sc *plan.Scenario, all []history.Event) Metrics { return measure(sc, newRecord(sc, all)) }

// measure returns the metrics of a record.
func measure(sc *plan.Scenario, r *record) Metrics {
	m := Metrics{Scenario: sc.Name, Seed: sc.Seed, Seconds: seconds(r.end), Faults: len(r.faults)}
	m.countEvents(r)
	m.countTwins(r)
	m.measureLatencies(sc, r)
	m.Unsettled = r.mayHaveSwitched(sc, r.end)
	m.measureRest(sc, r)
	for _, s := range r.lags {
		m.MaxLagMs = max(m.MaxLagMs, float64(s.to-s.from)/1000)
	}
	for _, events := range r.usage {
		for _, e := range events {
			m.MaxSessions = max(m.MaxSessions, e.Figures[history.UsageSessions])
			m.MaxCacheBytes = max(m.MaxCacheBytes, e.Figures[history.UsageCache])
			m.MaxStoreBytes = max(m.MaxStoreBytes, e.Figures[history.UsageStore])
			m.ResidentMB = max(m.ResidentMB, e.Figures[history.UsageResident]/(1<<20))
		}
	}
	return m
}

// countEvents counts what happened.
func (m *Metrics) countEvents(r *record) {
	for _, e := range r.all {
		switch e.Kind {
		case history.Put:
			m.Puts++
			if e.Version.IsZero() {
				m.Unanswered++
			}
		case history.InForce:
			m.InForce++
			if e.From.IsZero() {
				m.Snapshots++
			}
		case history.UpdateRejected:
			m.Rejected++
		case history.Subscribed:
			if !e.Version.IsZero() {
				m.Resumed++
			}
		case history.StatusReported:
			m.Reports++
		default: // not counted
		}
	}
}

// countTwins counts puts that began at the same time as another one to the same resource.
func (m *Metrics) countTwins(r *record) {
	for _, writes := range r.writes {
		for i := 1; i < len(writes); i++ {
			gap := (writes[i].At - writes[i].Took) - (writes[i-1].At - writes[i-1].Took)
			if -twinMicroseconds < gap && gap < twinMicroseconds {
				m.ConcurrentPuts++
			}
		}
	}
}

// measureLatencies measures how long versions take.
func (m *Metrics) measureLatencies(sc *plan.Scenario, r *record) {
	bound := sc.Bounds.UrgentLatency.Microseconds()
	var urgent, faultFree, all []float64 // milliseconds
	for _, key := range followings(sc) {
		for _, x := range r.expectations(key) {
			took := float64(max(0, r.metAt(x)-x.since)) / 1000
			all = append(all, took)
			if !r.isFaultFree(key.follower, span{from: x.since, to: x.since + bound}) {
				continue
			}
			faultFree = append(faultFree, took)
			if !x.urgent {
				continue
			}
			evaluated, delayedByCPU := r.evaluateUrgent(sc, x, int64(took*1000))
			if delayedByCPU {
				m.UrgentDelayedByCPU++
			}
			if evaluated {
				urgent = append(urgent, took)
			}
		}
	}
	m.UrgentEvaluated = len(urgent)
	m.UrgentP50Ms, m.UrgentP99Ms, m.UrgentMaxMs = quantiles(urgent)
	m.FaultFreeP50Ms, m.FaultFreeP99Ms, m.FaultFreeMaxMs = quantiles(faultFree)
	_, p99, longest := quantiles(all)
	m.AllP99Seconds = p99 / 1000
	m.AllMaxSeconds = longest / 1000
}

// evaluateUrgent reports whether the latency of an urgent version counts, which it does not if a
// fault came before the waits for a core were over, and whether such waits explain why it is beyond
// the bound.
func (r *record) evaluateUrgent(sc *plan.Scenario, x expectation, tookUs int64) (evaluated, delayedByCPU bool) {
	bound := sc.Bounds.UrgentLatency.Microseconds()
	if tookUs <= bound {
		return true, false
	}
	extended := bound + r.cpuDelay(sc, x.follower, x.since)
	if !r.isFaultFree(x.follower, span{from: x.since, to: x.since + extended}) {
		return false, false
	}
	return true, tookUs <= extended
}

// quantiles returns the median, the 99th percentile and the maximum; 0 if there are no values. It
// sorts the values.
func quantiles(values []float64) (p50, p99, longest float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	slices.Sort(values)
	at := func(q float64) float64 { return values[min(len(values)-1, int(math.Ceil(q*float64(len(values))))-1)] }
	return at(0.5), at(0.99), values[len(values)-1]
}

// measureRest measures what followers use in the second half of the time without puts and faults.
func (m *Metrics) measureRest(sc *plan.Scenario, r *record) {
	from := r.end - sc.Settle.Microseconds()/2
	for _, process := range sc.Names(plan.OnFollowers) {
		var first, last history.Event
		for _, e := range r.usage[process] {
			if e.At < from {
				continue
			}
			if first.At == 0 {
				first = e
			}
			last = e
		}
		took := seconds(last.At - first.At)
		if took <= 0 {
			continue
		}
		followers := max(last.Figures[history.UsageFollowers], 1)
		bytes := last.Figures[history.UsageBytes] - first.Figures[history.UsageBytes]
		reads := last.Figures[history.UsageReads] - first.Figures[history.UsageReads]
		m.IdleBytesPerSecond = max(m.IdleBytesPerSecond, bytes/took/followers)
		m.IdleReadsPerSecond = max(m.IdleReadsPerSecond, reads/took/followers)
	}
}

// checkBounds checks the metrics against the scenario's bounds.
func checkBounds(sc *plan.Scenario, r *record) (verdicts []Verdict) {
	bounds := sc.Bounds
	m := measure(sc, r)
	for _, c := range []struct {
		what         string
		found, limit float64
	}{
		{"bytes a second of a follower at rest", m.IdleBytesPerSecond, bounds.IdleBytes},
		{"messages a second of a follower at rest", m.IdleReadsPerSecond, bounds.IdleReads},
		{"MB of a source or relay", m.ResidentMB, bounds.RelayMB},
		{"sessions of a source or relay", m.MaxSessions, bounds.Sessions},
		{"bytes of encoded updates of a source or relay", m.MaxCacheBytes, bounds.CacheBytes},
		{"bytes of resources of a source or relay", m.MaxStoreBytes, bounds.StoreBytes},
	} {
		if c.limit > 0 && c.found > c.limit {
			verdicts = append(verdicts, verdict(Bounds, r.end,
				"%s: %.1f, %.1f at most expected", c.what, c.found, c.limit))
		}
	}
	return verdicts
}
