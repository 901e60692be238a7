package check

import (
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout/plan"
	"fmt"
	"math"
	"slices"
)

// Metrics are what a run measured.
type Metrics struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Faults   int     `json:"faults"`

	Puts       int `json:"puts"`
	Unanswered int `json:"puts_unanswered"`
	Twins      int `json:"puts_within_1ms"` // begun so soon after another one to the same resource
	InForce    int `json:"in_force"`        // updates that followers put in force
	Wholes     int `json:"whole_updates"`   // of those
	Refused    int `json:"refused"`
	Resumed    int `json:"resumed"` // subscriptions that began with a version
	Reports    int `json:"reports"`

	Judged    int     `json:"urgent_judged"`                    // followers and urgent versions where no fault touches the way
	Lagged    int     `json:"urgent_late_by_waits_for_a_core"`  // late, by no more than the processes on the way waited for a core
	Unsettled bool    `json:"last_report_while_machine_lagged"` // not judged: followers may count at two relays
	LagMax    float64 `json:"lag_max_ms"`
	UrgentP50 float64 `json:"urgent_p50_ms"`
	UrgentP99 float64 `json:"urgent_p99_ms"`
	UrgentMax float64 `json:"urgent_max_ms"`
	QuietP50  float64 `json:"quiet_p50_ms"` // all versions where no fault touches the way
	QuietP99  float64 `json:"quiet_p99_ms"`
	QuietMax  float64 `json:"quiet_max_ms"`
	WorstP99  float64 `json:"all_p99_s"` // all versions, faults or not
	WorstMax  float64 `json:"all_max_s"`
	RestBytes float64 `json:"rest_bytes_per_s"` // of a follower
	RestReads float64 `json:"rest_reads_per_s"`
	Resident  float64 `json:"resident_mb"` // of the source or a relay, the largest
	Sessions  float64 `json:"sessions"`    // of a relay, the most
	Cache     float64 `json:"cache_bytes"` // of the source or a relay, the most
	Store     float64 `json:"store_bytes"`
}

// Measure works the figures out.
func Measure(sc *plan.Scenario, all []history.Event) Metrics { return measure(sc, read(sc, all)) }

func measure(sc *plan.Scenario, r *record) Metrics {
	f := Metrics{Scenario: sc.Name, Seed: sc.Seed, Seconds: seconds(r.end), Faults: len(r.faults)}
	f.count(r)
	f.times(sc, r)
	f.Unsettled = r.moved(sc, r.end)
	f.rest(sc, r)
	for _, s := range r.lags {
		f.LagMax = max(f.LagMax, float64(s.to-s.from)/1000)
	}
	for _, events := range r.used {
		for _, e := range events {
			f.Sessions = max(f.Sessions, e.Figures[history.UsedSessions])
			f.Cache = max(f.Cache, e.Figures[history.UsedCache])
			f.Store = max(f.Store, e.Figures[history.UsedStore])
			f.Resident = max(f.Resident, e.Figures[history.UsedResident]/(1<<20))
		}
	}
	return f
}

func (f *Metrics) count(r *record) {
	for _, e := range r.all {
		switch e.Kind {
		case history.Put:
			f.Puts++
			if e.Version.IsZero() {
				f.Unanswered++
			}
		case history.InForce:
			f.InForce++
			if e.From.IsZero() {
				f.Wholes++
			}
		case history.Refused:
			f.Refused++
		case history.Subscribed:
			if !e.Version.IsZero() {
				f.Resumed++
			}
		case history.Reported:
			f.Reports++
		}
	}
	const twin = 1000 // microseconds
	for _, writes := range r.writes {
		for i := 1; i < len(writes); i++ {
			if gap := (writes[i].At - writes[i].Took) - (writes[i-1].At - writes[i-1].Took); -twin < gap && gap < twin {
				f.Twins++
			}
		}
	}
}

// times works out how long versions take.
func (f *Metrics) times(sc *plan.Scenario, r *record) {
	var urgent, quiet, all []float64
	for _, key := range pairs(sc) {
		for _, d := range r.duties(key) {
			took := float64(max(0, r.upTo(r.has(key, d.version, d.from))-d.since)) / 1000
			all = append(all, took)
			if !r.undisturbed(key.follower, d.since, d.since+sc.Bounds.Urgent.Microseconds()) {
				continue
			}
			quiet = append(quiet, took)
			if !d.urgent {
				continue
			}
			bound := sc.Bounds.Urgent.Microseconds()
			longer, us := r.waited(sc, key.follower, d.since), int64(took*1000)
			switch {
			case us > bound && !r.undisturbed(key.follower, d.since, d.since+bound+longer):
				continue // a fault came before the waits were over
			case us > bound && us <= bound+longer:
				f.Lagged++
			}
			urgent = append(urgent, took)
		}
	}
	f.Judged = len(urgent)
	f.UrgentP50, f.UrgentP99, f.UrgentMax = quantiles(urgent)
	f.QuietP50, f.QuietP99, f.QuietMax = quantiles(quiet)
	_, f.WorstP99, f.WorstMax = quantiles(all)
	f.WorstP99, f.WorstMax = f.WorstP99/1000, f.WorstMax/1000
}

// quantiles are the median, the 99th percentile and the most; 0 where there is nothing.
func quantiles(all []float64) (p50, p99, most float64) {
	if len(all) == 0 {
		return 0, 0, 0
	}
	slices.Sort(all)
	at := func(q float64) float64 { return all[min(len(all)-1, int(math.Ceil(q*float64(len(all))))-1)] }
	return at(0.5), at(0.99), all[len(all)-1]
}

// rest works out what followers use in the second half of the time without puts and faults.
func (f *Metrics) rest(sc *plan.Scenario, r *record) {
	from := r.end - sc.Settle.Microseconds()/2
	for _, process := range sc.Names(plan.OnFollowers) {
		var first, last history.Event
		for _, e := range r.used[process] {
			if e.At < from {
				continue
			}
			if first.At == 0 {
				first = e
			}
			last = e
		}
		if took := seconds(last.At - first.At); took > 0 {
			n := max(last.Figures[history.UsedFollowers], 1)
			f.RestBytes = max(f.RestBytes, (last.Figures[history.UsedBytes]-first.Figures[history.UsedBytes])/took/n)
			f.RestReads = max(f.RestReads, (last.Figures[history.UsedReads]-first.Figures[history.UsedReads])/took/n)
		}
	}
}

func bounds(sc *plan.Scenario, r *record) (out []Verdict) {
	b, f := sc.Bounds, measure(sc, r)
	hold := func(got, most float64, what string) {
		if most > 0 && got > most {
			out = append(out, Verdict{Check: Bounds, At: r.end, What: fmt.Sprintf("%s: %.1f, %.1f at most expected", what, got, most)})
		}
	}
	hold(f.RestBytes, b.RestBytes, "bytes a second of a follower at rest")
	hold(f.RestReads, b.RestReads, "messages a second of a follower at rest")
	hold(f.Resident, b.RelayMB, "MB of a source or relay")
	hold(f.Sessions, b.Sessions, "sessions of a source or relay")
	hold(f.Cache, b.CacheBytes, "bytes of encoded updates of a source or relay")
	hold(f.Store, b.StoreBytes, "bytes of resources of a source or relay")
	return out
}
