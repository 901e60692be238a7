package check

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
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

// ReadyWithin is the part of the sidecars' lives that were ready so soon.
func (f Figures) ReadyWithin(d time.Duration) float64 {
	n, _ := slices.BinarySearch(f.Ready, d.Seconds()+1e-9)
	return float64(n) / float64(max(1, f.Lives))
}

// series counts events by the second of the run.
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

// measurement is what has been seen of a history so far.
type measurement struct {
	Figures
	sidecars   map[string]bool
	reads      series
	watches    series
	opened     map[string]series // connections, by backend
	starting   map[string]int64  // sidecars that are not ready yet, since when
	firstReady map[string]int64  // sidecars, when they were ready for the first time
	pushed     map[string]int64  // cold backends that hold more than they bear, since when
	objective  map[string]int64  // of classes, in microseconds
	probed     bool              // the first life of the first sidecar, which only measures what a process takes, has begun
	began      int64             // the first life after that; -1: none yet
	ended      int64
	early      int // requests asked in the first 30 s, and those of them that were served
	earlyOK    int
}

func newMeasurement(sc *scenario.Scenario) *measurement {
	m := &measurement{
		Figures: Figures{Scenario: sc.Name, Seed: sc.Seed, FirstAll: -1}, sidecars: map[string]bool{}, reads: series{}, watches: series{},
		opened: map[string]series{}, starting: map[string]int64{}, firstReady: map[string]int64{}, pushed: map[string]int64{}, objective: map[string]int64{}, began: -1,
	}
	for _, n := range sc.Names(scenario.OnSidecars) {
		m.sidecars[n] = true
	}
	return m
}

// figures takes the figures of a history.
func figures(sc *scenario.Scenario, r *record) Figures {
	m := newMeasurement(sc)
	for _, e := range r.all {
		m.ended = max(m.ended, e.At)
		m.take(e)
	}
	m.finish()
	m.Losses = losses(sc, r)
	m.ListBack = listBack(sc, r, m.firstReady)
	return m.Figures
}

// take takes in the next event.
func (m *measurement) take(e history.Event) {
	switch e.Kind {
	case history.Started:
		m.started(e)
	case history.Ready:
		m.ready(e)
	case history.ListPolled:
		m.called(e)
	case history.Opened:
		m.connected(e)
	case history.WarmupOverload:
		if e.N == 1 {
			m.pushed[e.Who] = e.At
		} else if at, ok := m.pushed[e.Who]; ok {
			m.push(e.At - at)
			delete(m.pushed, e.Who)
		}
	case history.Executed:
		m.Attempts++
	case history.Requested:
		m.asked(e)
	}
}

// started takes in the beginning of a sidecar's life.
func (m *measurement) started(e history.Event) {
	if !m.sidecars[e.Who] {
		return
	}
	if !m.probed {
		m.probed = true
		return
	}
	if m.began < 0 {
		m.began = e.At
	}
	if _, was := m.starting[e.Who]; was {
		m.Never++
	}
	m.starting[e.Who] = e.At
	m.Lives++
}

// ready takes in that a sidecar is ready.
func (m *measurement) ready(e history.Event) {
	if at, ok := m.starting[e.To]; ok {
		m.Ready = append(m.Ready, float64(e.At-at)/second)
		delete(m.starting, e.To)
	}
	if m.firstReady[e.To] != 0 {
		return
	}
	if m.firstReady[e.To] = e.At; len(m.firstReady) == len(m.sidecars) {
		m.FirstAll = float64(e.At-m.began) / second
	}
}

// called takes in a call of a list service, by when it was made.
func (m *measurement) called(e history.Event) {
	at := (e.At - e.Took) / second
	if e.N < 0 {
		m.reads[at]++
		if e.Why == history.CallerLeft {
			m.GivenUp++
		}
	} else {
		m.watches[at]++
	}
	if e.Status == http.StatusServiceUnavailable {
		m.Refused++
	}
}

// connected takes in a connection from a sidecar to a backend.
func (m *measurement) connected(e history.Event) {
	if !m.sidecars[e.Who] || !isBackend(e.To) {
		return
	}
	if m.opened[e.To] == nil {
		m.opened[e.To] = series{}
	}
	m.opened[e.To][e.At/second]++
}

// asked takes in a client's request and its answer.
func (m *measurement) asked(e history.Event) {
	m.Asked++
	if m.objective[e.Class] == 0 {
		m.objective[e.Class] = objectiveOf(e.Class)
	}
	ok := e.Status == http.StatusOK
	switch {
	case ok:
		if m.Served++; e.Took > m.objective[e.Class] {
			m.Late++
		}
	case e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests:
		m.Turned++
	case e.Status == 0:
		m.Nothing++
	default:
		m.Failed++
	}
	if m.began < 0 || e.At-m.began >= earlyPart {
		return
	}
	if m.early++; ok {
		m.earlyOK++
	}
}

// push takes in that a cold backend held more than it bears, for so many microseconds.
func (m *measurement) push(us int64) {
	m.Pushed += float64(us) / second
	m.Longest = max(m.Longest, float64(us)/second)
}

// finish works out what follows from the whole history.
func (m *measurement) finish() {
	for _, who := range slices.Sorted(maps.Keys(m.pushed)) { // in order, so that the sum is rounded alike each time
		m.push(m.ended - m.pushed[who])
	}
	m.Never += len(m.starting)
	m.Seconds = float64(m.ended) / second
	m.Reads, m.Watches = m.reads.rate(m.ended), m.watches.rate(m.ended)
	for _, s := range m.opened {
		m.Connects = max(m.Connects, s.rate(m.ended).Peak)
	}
	if m.early > 0 {
		m.EarlyPart = float64(m.earlyOK) / float64(m.early)
	}
	if slices.Sort(m.Ready); len(m.Ready) > 0 {
		at := func(q float64) float64 { return m.Ready[min(len(m.Ready)-1, int(q*float64(len(m.Ready))))] }
		m.ReadyP50, m.ReadyP95, m.ReadyAll = at(0.5), at(0.95), m.Ready[len(m.Ready)-1]
	}
}

// isBackend and isSidecar tell by a process's name what it is.
func isBackend(name string) bool { return strings.HasPrefix(name, "backend-") }
func isSidecar(name string) bool { return strings.HasPrefix(name, "sidecar-") }

// objectiveOf is a class's objective in microseconds.
func objectiveOf(class string) int64 {
	for _, c := range worker.Classes() {
		if c.Name == class {
			return c.Objective.Microseconds()
		}
	}
	return forever
}

// listBack is how long after each fault of the list services the last of those sidecars was ready that were not before.
func listBack(sc *scenario.Scenario, r *record, firstReady map[string]int64) (out []float64) {
	for i, x := range sc.Schedule() {
		if x.Group != scenario.OnLists {
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
