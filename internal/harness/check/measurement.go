package check

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
)

// earlyPeriod is the period of EarlyServed, counted from the first start.
const earlyPeriod = 30 * second

// series counts events by the second of the run.
type series map[int64]int

// rate returns the rate over a run that ended at end.
func (s series) rate(end int64) Rate {
	var r Rate
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

// measurement accumulates the figures of a history, event by event.
type measurement struct {
	Figures

	isSidecar       map[string]bool
	snapshots       series
	updates         series
	connections     map[string]series // connections by backend
	starting        map[string]int64  // start times of sidecars that are not ready yet
	firstReady      map[string]int64  // times at which sidecars were ready for the first time
	overloadedSince map[string]int64  // beginnings of overloads, by cold backend
	objectives      map[string]int64  // latency objectives of classes in microseconds
	// hasMeasuredStart is set at the first start of a sidecar, which only measures its memory.
	hasMeasuredStart bool
	firstStart       int64 // time of the first start after the measuring one; -1 means none yet
	lastEvent        int64
	earlyRequests    int
	earlyServed      int
}

// newMeasurement returns a measurement without events.
func newMeasurement(spec *scenario.Scenario) *measurement {
	m := &measurement{
		Figures:         Figures{Scenario: spec.Name, Seed: spec.Seed, FirstAll: -1},
		isSidecar:       map[string]bool{},
		snapshots:       series{},
		updates:         series{},
		connections:     map[string]series{},
		starting:        map[string]int64{},
		firstReady:      map[string]int64{},
		overloadedSince: map[string]int64{},
		objectives:      map[string]int64{},
		firstStart:      -1,
	}
	for _, name := range spec.Names(scenario.OnSidecars) {
		m.isSidecar[name] = true
	}
	return m
}

// measure measures a history.
func measure(spec *scenario.Scenario, h *indexedHistory) Figures {
	m := newMeasurement(spec)
	for _, e := range h.events {
		m.lastEvent = max(m.lastEvent, e.At)
		m.add(e)
	}
	m.finish()
	m.Losses = losses(spec, h)
	m.ListRecoveries = listRecoveries(spec, h, m.firstReady)
	return m.Figures
}

// add adds the next event.
func (m *measurement) add(e history.Event) {
	switch e.Kind {
	case history.Started:
		m.addStart(e)
	case history.Ready:
		m.addReady(e)
	case history.ListPolled:
		m.addPoll(e)
	case history.Opened:
		m.addConnection(e)
	case history.WarmupOverload:
		if e.N == 1 {
			m.overloadedSince[e.Who] = e.At
		} else if at, ok := m.overloadedSince[e.Who]; ok {
			m.addWarmupOverload(e.At - at)
			delete(m.overloadedSince, e.Who)
		}
	case history.Executed:
		m.Attempts++
	case history.Requested:
		m.addRequest(e)
	default: // other kinds are not measured
	}
}

// addStart adds the start of a sidecar.
func (m *measurement) addStart(e history.Event) {
	if !m.isSidecar[e.Who] {
		return
	}
	if !m.hasMeasuredStart {
		m.hasMeasuredStart = true
		return
	}
	if m.firstStart < 0 {
		m.firstStart = e.At
	}
	if _, isStarting := m.starting[e.Who]; isStarting {
		m.NeverReady++
	}
	m.starting[e.Who] = e.At
	m.Starts++
}

// addReady adds a sidecar's change to ready.
func (m *measurement) addReady(e history.Event) {
	if at, ok := m.starting[e.To]; ok {
		m.Ready = append(m.Ready, float64(e.At-at)/second)
		delete(m.starting, e.To)
	}
	if m.firstReady[e.To] != 0 {
		return
	}
	m.firstReady[e.To] = e.At
	if len(m.firstReady) == len(m.isSidecar) {
		m.FirstAll = float64(e.At-m.firstStart) / second
	}
}

// addPoll adds a poll of a list service at the time at which the poll was sent.
func (m *measurement) addPoll(e history.Event) {
	at := (e.At - e.Took) / second
	if e.N < 0 {
		m.snapshots[at]++
		if e.Reason == history.CallerLeft {
			m.SnapshotsAbandoned++
		}
	} else {
		m.updates[at]++
	}
	if e.Status == http.StatusServiceUnavailable {
		m.PollsRejected++
	}
}

// addConnection adds a connection from a sidecar to a backend.
func (m *measurement) addConnection(e history.Event) {
	if !m.isSidecar[e.Who] || !isBackend(e.To) {
		return
	}
	if m.connections[e.To] == nil {
		m.connections[e.To] = series{}
	}
	m.connections[e.To][e.At/second]++
}

// addRequest adds a client's request and its response.
func (m *measurement) addRequest(e history.Event) {
	m.Requests++
	if m.objectives[e.Class] == 0 {
		m.objectives[e.Class] = objectiveOf(e.Class)
	}
	isServed := e.Status == http.StatusOK
	switch {
	case isServed:
		m.Served++
		if e.Took > m.objectives[e.Class] {
			m.Late++
		}
	case e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests:
		m.Rejected++
	case e.Status == 0:
		m.Unanswered++
	default:
		m.Failed++
	}
	if m.firstStart < 0 || e.At-m.firstStart >= earlyPeriod {
		return
	}
	m.earlyRequests++
	if isServed {
		m.earlyServed++
	}
}

// addWarmupOverload adds an overload of a cold backend. The duration is in microseconds.
func (m *measurement) addWarmupOverload(duration int64) {
	m.OverloadSeconds += float64(duration) / second
	m.LongestOverload = max(m.LongestOverload, float64(duration)/second)
}

// finish computes the figures that need the complete history.
func (m *measurement) finish() {
	// A fixed order of summation makes the rounding reproducible.
	for _, name := range slices.Sorted(maps.Keys(m.overloadedSince)) {
		m.addWarmupOverload(m.lastEvent - m.overloadedSince[name])
	}
	m.NeverReady += len(m.starting)
	m.Seconds = float64(m.lastEvent) / second
	m.Snapshots = m.snapshots.rate(m.lastEvent)
	m.Updates = m.updates.rate(m.lastEvent)
	for _, s := range m.connections {
		m.PeakConnects = max(m.PeakConnects, s.rate(m.lastEvent).Peak)
	}
	if m.earlyRequests > 0 {
		m.EarlyServed = float64(m.earlyServed) / float64(m.earlyRequests)
	}
	slices.Sort(m.Ready)
	if len(m.Ready) > 0 {
		m.ReadyP50 = quantile(m.Ready, 0.5)
		m.ReadyP95 = quantile(m.Ready, 0.95)
		m.ReadyAll = m.Ready[len(m.Ready)-1]
	}
}

// quantile returns the q-quantile of sorted, which must not be empty.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// isBackend reports whether name is the name of a backend.
func isBackend(name string) bool { return strings.HasPrefix(name, "backend-") }

// isSidecar reports whether name is the name of a sidecar.
func isSidecar(name string) bool { return strings.HasPrefix(name, "sidecar-") }

// objectiveOf returns the latency objective of a class in microseconds, or openEnd if there is no
// such class.
func objectiveOf(class string) int64 {
	for _, c := range worker.Classes() {
		if c.Name == class {
			return c.Objective.Microseconds()
		}
	}
	return openEnd
}

// listRecoveries returns, for each fault of list services that ended, the time in seconds from its
// end until every sidecar has been ready once. The value is 0 if all sidecars were ready before the
// end, and -1 if a sidecar never became ready.
func listRecoveries(spec *scenario.Scenario, h *indexedHistory, firstReady map[string]int64) []float64 {
	var recoveries []float64
	for i, fault := range spec.Schedule() {
		if fault.Group != scenario.OnLists {
			continue
		}
		name := fault.Name(i)
		end := slices.IndexFunc(h.events, func(e history.Event) bool {
			return e.Kind == history.Fault && e.ID == name && e.N == 0
		})
		if end < 0 {
			continue
		}
		last := int64(0)
		areAllReady := true
		for _, sidecar := range spec.Names(scenario.OnSidecars) {
			readyAt, isReady := firstReady[sidecar]
			areAllReady = areAllReady && isReady
			last = max(last, readyAt-h.events[end].At)
		}
		if areAllReady {
			recoveries = append(recoveries, float64(last)/second)
		} else {
			recoveries = append(recoveries, -1)
		}
	}
	return recoveries
}
