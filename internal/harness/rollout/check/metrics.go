package check

import (
	"math"
	"slices"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
)

// Metrics are the measurements of a run. A latency is the time from the answer to a put until the
// version is in force at a follower.
type Metrics struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Faults   int     `json:"faults"`

	Puts           int `json:"puts"`
	Unanswered     int `json:"puts_unanswered"`
	ConcurrentPuts int `json:"puts_within_1ms"` // puts begun within 1 ms of another put to the same resource
	InForce        int `json:"in_force"`        // updates that followers put in force
	Snapshots      int `json:"whole_updates"`   // those of InForce that were snapshots
	Rejected       int `json:"refused"`
	Resumed        int `json:"resumed"` // subscriptions that started with a version
	Reports        int `json:"reports"`

	// UrgentEvaluated is the number of latencies of urgent versions that were measured while no
	// fault affected a path of the follower.
	UrgentEvaluated int `json:"urgent_judged"`
	// UrgentDelayedByCPU is the number of those latencies that exceeded the bound by no more than
	// the time for which the processes on the path waited for a core.
	UrgentDelayedByCPU int `json:"urgent_late_by_waits_for_a_core"`
	// Unsettled is set if the last reports are not checked because followers may be counted at two
	// relays.
	Unsettled   bool    `json:"last_report_while_machine_lagged"`
	MaxLagMs    float64 `json:"lag_max_ms"`
	UrgentP50Ms float64 `json:"urgent_p50_ms"`
	UrgentP99Ms float64 `json:"urgent_p99_ms"`
	UrgentMaxMs float64 `json:"urgent_max_ms"`
	// FaultFreeP50Ms, FaultFreeP99Ms and FaultFreeMaxMs are of the latencies of all versions that
	// were measured while no fault affected a path of the follower.
	FaultFreeP50Ms float64 `json:"quiet_p50_ms"`
	FaultFreeP99Ms float64 `json:"quiet_p99_ms"`
	FaultFreeMaxMs float64 `json:"quiet_max_ms"`
	// AllP99Seconds and AllMaxSeconds are of the latencies of all versions, with and without
	// faults.
	AllP99Seconds float64 `json:"all_p99_s"`
	AllMaxSeconds float64 `json:"all_max_s"`

	IdleBytesPerSecond float64 `json:"rest_bytes_per_s"` // per follower; the largest value of all processes
	IdleReadsPerSecond float64 `json:"rest_reads_per_s"`
	ResidentMB         float64 `json:"resident_mb"` // largest resident memory of the source or a relay
	MaxSessions        float64 `json:"sessions"`    // most sessions of the source or a relay
	MaxCacheBytes      float64 `json:"cache_bytes"`
	MaxStoreBytes      float64 `json:"store_bytes"`
}

// concurrentPutMicroseconds is the distance between the beginnings of two puts to one resource
// below which the puts count as concurrent.
const concurrentPutMicroseconds = 1000

// Measure returns the metrics of a history, which must be sorted by time.
func Measure(sc *plan.Scenario, all []history.Event) Metrics { return measure(sc, newRecord(sc, all)) }

// measure returns the metrics of a record.
func measure(sc *plan.Scenario, r *record) Metrics {
	m := Metrics{Scenario: sc.Name, Seed: sc.Seed, Seconds: seconds(r.end), Faults: len(r.faults)}
	m.countEvents(r)
	m.countConcurrentPuts(r)
	m.measureLatencies(sc, r)
	m.Unsettled = r.mayHaveSwitched(sc, r.end)
	m.measureIdle(sc, r)
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

// countEvents counts the events of a record by kind.
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
		default: // other kinds are not counted
		}
	}
}

// countConcurrentPuts counts puts that began within 1 ms of another put to the same resource.
func (m *Metrics) countConcurrentPuts(r *record) {
	for _, writes := range r.writes {
		for i := 1; i < len(writes); i++ {
			gap := (writes[i].At - writes[i].Took) - (writes[i-1].At - writes[i-1].Took)
			if -concurrentPutMicroseconds < gap && gap < concurrentPutMicroseconds {
				m.ConcurrentPuts++
			}
		}
	}
}

// measureLatencies measures the latencies of versions.
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

// evaluateUrgent evaluates the latency of an urgent version. evaluated is false if the latency does
// not count because a fault affected a path before the end of the bound, which waits for a core
// extend. delayedByCPU reports whether such waits explain that the latency exceeds the bound.
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

// quantiles returns the median, the 99th percentile and the maximum of values, or zeros if there
// are no values. It sorts values.
func quantiles(values []float64) (p50, p99, longest float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	slices.Sort(values)
	at := func(q float64) float64 { return values[min(len(values)-1, int(math.Ceil(q*float64(len(values))))-1)] }
	return at(0.5), at(0.99), values[len(values)-1]
}

// measureIdle measures the traffic of followers in the second half of the period without puts and
// faults.
func (m *Metrics) measureIdle(sc *plan.Scenario, r *record) {
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
