package check

import (
	"net/http"
	"slices"
	"time"

	"fernlanding/internal/rig/actor"
	"fernlanding/internal/rig/history"
	"fernlanding/internal/rig/scenario"
)

// Figures are what a run is measured by.
type Figures struct {
	Scenario string    `json:"scenario"`
	Seed     uint64    `json:"seed"`
	Seconds  float64   `json:"seconds"`
	Ready    []float64 `json:"-"`           // seconds from the start of each life of a sidecar until it was ready, sorted
	Lives    int       `json:"lives"`       // of sidecars
	ReadyP50 float64   `json:"ready_p50_s"` // seconds; of all lives that came to be ready
	ReadyP95 float64   `json:"ready_p95_s"`
	ReadyAll float64   `json:"ready_all_s"`
	Never    int       `json:"never_ready"` // lives that ended before they were
	FirstAll float64   `json:"first_all_s"` // from the first start until every sidecar had been ready once; -1: one never was

	Reads    Rate    `json:"reads"`   // whole readings
	Watches  Rate    `json:"watches"` // further calls
	Refused  int     `json:"calls_refused"`
	GivenUp  int     `json:"reads_given_up"`
	Connects float64 `json:"connects_peak_s"` // connections a second to one backend, at most
	Pushed   float64 `json:"pushed_s"`        // seconds that cold backends held more than they bear
	Longest  float64 `json:"pushed_longest_s"`

	Asked     int     `json:"asked"`
	Served    float64 `json:"served"`
	Late      int     `json:"late"` // of those served: after the objective
	Turned    int     `json:"turned_away"`
	Failed    int     `json:"failed"`
	Nothing   int     `json:"nothing"` // no answer
	Attempts  int     `json:"attempts"`
	EarlyPart float64 `json:"early_served"` // part of those asked in the first 30 s that was served

	Losses   []Loss    `json:"losses,omitempty"` // of sites
	ListBack []float64 `json:"list_back_s"`      // from the end of each fault of list services until all sidecars were ready; -1: never
}

// Rate is calls a second over seconds.
type Rate struct {
	Total  int     `json:"total"`
	Peak   float64 `json:"peak_s"`   // in the worst second
	Steady float64 `json:"steady_s"` // in the mean of the last quarter
}

const earlyPart = 30 * second

// Measure takes the figures of a history, sorted by time.
func Measure(sc *scenario.Scenario, all []history.Event) Figures { return figures(sc, read(all)) }

// ReadyWithin is the part of the sidecars' lives that were ready so soon.
func (f Figures) ReadyWithin(d time.Duration) float64 {
	n, _ := slices.BinarySearch(f.Ready, d.Seconds()+1e-9)
	return float64(n) / float64(max(1, f.Lives))
}

// span of a series: events a second.
type series map[int64]int

func (s series) rate(end int64) (r Rate) {
	last := end / second
	from := last - last/4
	steady := 0
	for at, n := range s {
		r.Total += n
		r.Peak = max(r.Peak, float64(n))
		if at >= from && at < last {
			steady += n
		}
	}
	r.Steady = float64(steady) / float64(max(1, last-from))
	return r
}

func figures(sc *scenario.Scenario, r *record) Figures {
	f := Figures{Scenario: sc.Name, Seed: sc.Seed, FirstAll: -1}
	reads, watches := series{}, series{}
	opened := map[string]series{}
	started := map[string]int64{}
	firstReady := map[string]int64{}
	pushed := map[string]int64{}
	var began, end int64 = -1, 0
	sidecars := sc.Names(scenario.OnSidecars)
	mine := map[string]bool{}
	for _, n := range sidecars {
		mine[n] = true
	}
	early, earlyServed := 0, 0
	probe := true // the first life of the first sidecar only measures what a process takes
	objective := map[string]int64{}
	for _, e := range r.all {
		end = max(end, e.At)
		switch e.Kind {
		case history.Started:
			if !mine[e.Who] {
				continue
			}
			if probe {
				probe = false
				continue
			}
			if began < 0 {
				began = e.At
			}
			if _, was := started[e.Who]; was {
				f.Never++
			}
			started[e.Who] = e.At
			f.Lives++
		case history.Ready:
			if at, ok := started[e.To]; ok {
				f.Ready = append(f.Ready, float64(e.At-at)/second)
				delete(started, e.To)
			}
			if firstReady[e.To] == 0 {
				if firstReady[e.To] = e.At; len(firstReady) == len(sidecars) {
					f.FirstAll = float64(e.At-began) / second
				}
			}
		case history.Call:
			if e.N < 0 {
				reads[(e.At-e.Took)/second]++
				if e.Why == history.GivenUp {
					f.GivenUp++
				}
			} else {
				watches[(e.At-e.Took)/second]++
			}
			if e.Status == http.StatusServiceUnavailable {
				f.Refused++
			}
		case history.Opened:
			if mine[e.Who] && len(e.To) > 8 && e.To[:8] == "backend-" {
				if opened[e.To] == nil {
					opened[e.To] = series{}
				}
				opened[e.To][e.At/second]++
			}
		case history.Pushed:
			if e.N == 1 {
				pushed[e.Who] = e.At
			} else if at, ok := pushed[e.Who]; ok {
				f.push(e.At - at)
				delete(pushed, e.Who)
			}
		case history.Ran:
			f.Attempts++
		case history.Asked:
			f.Asked++
			if objective[e.Class] == 0 {
				objective[e.Class] = objectiveOf(e.Class)
			}
			ok := e.Status == http.StatusOK
			switch {
			case ok:
				if f.Served++; e.Took > objective[e.Class] {
					f.Late++
				}
			case e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests:
				f.Turned++
			case e.Status == 0:
				f.Nothing++
			default:
				f.Failed++
			}
			if began >= 0 && e.At-began < earlyPart {
				if early++; ok {
					earlyServed++
				}
			}
		}
	}
	for _, at := range pushed {
		f.push(end - at)
	}
	for range started {
		f.Never++
	}
	f.Seconds = float64(end) / second
	f.Reads, f.Watches = reads.rate(end), watches.rate(end)
	for _, s := range opened {
		f.Connects = max(f.Connects, s.rate(end).Peak)
	}
	if early > 0 {
		f.EarlyPart = float64(earlyServed) / float64(early)
	}
	if slices.Sort(f.Ready); len(f.Ready) > 0 {
		at := func(q float64) float64 { return f.Ready[min(len(f.Ready)-1, int(q*float64(len(f.Ready))))] }
		f.ReadyP50, f.ReadyP95, f.ReadyAll = at(0.5), at(0.95), f.Ready[len(f.Ready)-1]
	}
	f.Losses = losses(sc, r)
	f.ListBack = listBack(sc, r, firstReady)
	return f
}

// objectiveOf is a class's objective in microseconds.
func objectiveOf(class string) int64 {
	for _, c := range actor.Classes() {
		if c.Name == class {
			return c.Objective.Microseconds()
		}
	}
	return forever
}

func (f *Figures) push(us int64) {
	f.Pushed += float64(us) / second
	f.Longest = max(f.Longest, float64(us)/second)
}

// listBack is how long after each fault of the list services the last of those sidecars was ready that were not before.
func listBack(sc *scenario.Scenario, r *record, firstReady map[string]int64) (out []float64) {
	for i, x := range sc.Schedule() {
		if x.On != scenario.OnLists {
			continue
		}
		name := x.Name(i)
		at := slices.IndexFunc(r.all, func(e history.Event) bool { return e.Kind == history.Fault && e.ID == name && e.N == 0 })
		if at < 0 {
			continue
		}
		last, all := int64(0), true
		for _, s := range sc.Names(scenario.OnSidecars) {
			t, ok := firstReady[s]
			all = all && ok
			last = max(last, t-r.all[at].At)
		}
		if !all {
			out = append(out, -1)
		} else {
			out = append(out, float64(last)/second)
		}
	}
	return out
}
