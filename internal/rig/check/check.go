// Package check judges the history of a run. It is pure: every verdict follows from the events alone, and names what it
// rests on. A check that a fault excuses says by which event it is excused, so that no fault excuses more than it causes.
package check

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/rig/actor"
	"fernlanding/internal/rig/history"
	"fernlanding/internal/rig/scenario"
)

// Verdict is one thing that is wrong.
type Verdict struct {
	Check string `json:"check"`
	At    int64  `json:"at"` // microseconds from the run's beginning
	What  string `json:"what"`
}

// String is the verdict in a line.
func (v Verdict) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Check, float64(v.At)/second, v.What)
}

// The checks.
const (
	OneAnswer = "one-answer" // a request taken gets one whole answer of its own, before its client stops waiting
	Effects   = "effects"    // no effect happens twice
	Drains    = "drains"     // nothing new goes to a backend later than 250 ms after its end could be read
	Cold      = "cold"       // no cold backend is pushed over
	Strays    = "strays"     // what may not be repeated does not go to what has become another service's address
	Processes = "processes"  // no process ends by itself, and none is left
	Bounds    = "bounds"     // what the scenario holds the run to
)

// Names are the names of all checks.
func Names() []string { return []string{OneAnswer, Effects, Drains, Cold, Strays, Processes, Bounds} }

const (
	second = 1_000_000

	lateLeeway  = 500_000 // after its client's time an answer earns nothing and is not lost yet
	drainGrace  = 250_000
	drainSlack  = 100_000 // a relay sees a byte this much later than it was sent, where the machine is busy
	afterFault  = 500_000 // a fault is felt this much longer: what was held comes late
	mostOfCheck = 20      // verdicts of one check that are listed
)

// Run judges a history, sorted by time.
func Run(sc *scenario.Scenario, all []history.Event) (out []Verdict) {
	r := read(all)
	for _, f := range []func(*scenario.Scenario, *record) []Verdict{answers, effects, drains, cold, strays, processes, bounds} {
		v := f(sc, r)
		if n := len(v); n > mostOfCheck {
			v = append(v[:mostOfCheck:mostOfCheck], Verdict{v[0].Check, v[mostOfCheck].At, fmt.Sprintf("and %d more", n-mostOfCheck)})
		}
		out = append(out, v...)
	}
	return out
}

// span is a stretch of time.
type span struct{ from, to int64 }

func (s span) meets(from, to int64) bool { return s.from <= to && from <= s.to }

const forever = int64(1) << 62

// record is a history by what it is about.
type record struct {
	all   []history.Event
	away  map[string][]span // of processes: from their end, or the word to end, until they are ready again
	stops map[string][]span // while they were stopped
	links map[string][]span // of processes: while a fault held on their link to clients
	sent  map[sending]history.Event
}

// sending is a request's place on a connection.
type sending struct {
	conn string
	n    int64
}

func read(all []history.Event) *record {
	r := &record{all: all, away: map[string][]span{}, stops: map[string][]span{}, links: map[string][]span{}, sent: map[sending]history.Event{}}
	open := func(m map[string][]span, who string, at int64) {
		if s := m[who]; len(s) == 0 || s[len(s)-1].to != forever {
			m[who] = append(s, span{at, forever})
		}
	}
	shut := func(m map[string][]span, who string, at int64) {
		if s := m[who]; len(s) > 0 && s[len(s)-1].to == forever {
			s[len(s)-1].to = at
		}
	}
	for _, e := range all {
		switch e.Kind {
		case history.Told, history.Gone:
			open(r.away, e.Who, e.At)
		case history.Ready:
			shut(r.away, e.To, e.At)
		case history.Stopped:
			open(r.stops, e.Who, e.At)
		case history.Continued:
			shut(r.stops, e.Who, e.At)
		case history.Sent:
			r.sent[sending{e.Conn, e.N}] = e
		case history.Fault:
			if e.To != scenario.OnClients+"-"+scenario.OnSidecars {
				continue
			}
			for _, n := range e.Names {
				if e.N == 1 {
					r.links[n] = append(r.links[n], span{e.At, forever})
					continue
				}
				for i := range r.links[n] { // faults of one link may overlap: the first that is open ends
					if r.links[n][i].to == forever {
						r.links[n][i].to = e.At
						break
					}
				}
			}
		}
	}
	return r
}

// excused tells whether a sidecar, or its link to clients, was disturbed while a request was under way.
func (r *record) excused(who string, from, to int64) bool {
	for _, m := range []map[string][]span{r.away, r.stops, r.links} {
		if slices.ContainsFunc(m[who], func(s span) bool { return s.meets(from-afterFault, to) }) {
			return true
		}
	}
	return false
}

func answers(_ *scenario.Scenario, r *record) (out []Verdict) {
	for _, e := range r.all {
		if e.Kind != history.Asked {
			continue
		}
		end := e.At + e.Took
		bad := ""
		switch {
		case e.Why == actor.WrongAnswer || e.Why == actor.AfterAnswer:
			bad = e.Why // no fault makes this
		case e.Status == 0 && !r.excused(e.To, e.At, end):
			bad = e.Why
		case e.Status != 0 && end > e.Until+lateLeeway && !r.excused(e.To, e.At, end):
			bad = "its answer came after its client had gone"
		}
		if bad != "" {
			out = append(out, Verdict{OneAnswer, e.At, fmt.Sprintf("%s %s at %s, %d ms: %s", e.Class, e.ID, e.To, e.Took/1000, bad)})
		}
	}
	return out
}

func effects(_ *scenario.Scenario, r *record) (out []Verdict) {
	ran := map[string][]history.Event{}
	for _, e := range r.all {
		if e.Kind != history.Ran || e.Class != "POST" {
			continue
		}
		what := "key " + e.Key
		if e.Key == "" {
			what = "request " + e.ID
		}
		for _, old := range ran[what] {
			if e.Key != "" && old.Pod == e.Pod && e.At-old.At < actor.Window.Microseconds() {
				what = "" // its pod drops it
				break
			}
		}
		if what == "" {
			continue
		}
		if ran[what] = append(ran[what], e); len(ran[what]) > 1 {
			first := ran[what][0]
			out = append(out, Verdict{Effects, e.At, fmt.Sprintf("%s ran at %s, and %d ms before at %s", what, e.Who, (e.At-first.At)/1000, first.Who)})
		}
	}
	return out
}

// answer is a list service's answer as a sidecar could read it.
type answer struct {
	history.Event
	read int64 // when its last byte had been handed on; forever: it was not
}

func drains(sc *scenario.Scenario, r *record) (out []Verdict) {
	delivered := map[string][]history.Event{} // by connection, in order
	calls := map[string][]answer{}            // by sidecar
	sends := map[string][]history.Event{}
	starts := map[string][]int64{}
	for _, e := range r.all {
		switch e.Kind {
		case history.Delivered:
			delivered[e.Conn] = append(delivered[e.Conn], e)
		case history.Sent:
			sends[e.Who] = append(sends[e.Who], e)
		case history.Started:
			starts[e.Who] = append(starts[e.Who], e.At)
		}
	}
	for _, e := range r.all {
		if e.Kind != history.Call || len(e.Names) == 0 && e.Why != history.Whole {
			continue
		}
		a := answer{e, forever}
		if i := slices.IndexFunc(delivered[e.Conn], func(d history.Event) bool { return d.Bytes >= e.Bytes }); i >= 0 {
			a.read = delivered[e.Conn][i].At
		}
		calls[e.To] = append(calls[e.To], a)
	}
	workers := sc.Names(scenario.OnBackends)
	for _, who := range sc.Names(scenario.OnSidecars) {
		// When each backend was last said to be out, as it could be read; told in again clears it at the earliest time at
		// which that could be known.
		var steps []change
		mine := calls[who]
		slices.SortStableFunc(mine, func(a, b answer) int { return int((a.At - a.Took) - (b.At - b.Took)) })
		for i, a := range mine {
			if i+1 < len(mine) && a.read < forever {
				// Who asks for what is newer has read what there was; the relay may have noted that a moment later.
				a.read = min(a.read, mine[i+1].At-mine[i+1].Took)
			}
			said := map[string]bool{}
			for _, n := range a.Names {
				name, in := strings.CutPrefix(n, history.Serves)
				if said[name] = true; in {
					steps = append(steps, change{a.At - a.Took, name, false})
				} else if a.read < forever {
					steps = append(steps, change{a.read, name, true})
				}
			}
			if a.Why == history.Whole && a.read < forever {
				for _, n := range workers {
					if !said[n] {
						steps = append(steps, change{a.read, n, true})
					}
				}
			}
		}
		for _, at := range starts[who] { // a new process knows nothing
			steps = append(steps, change{at, "", false})
		}
		slices.SortStableFunc(steps, func(a, b change) int { return int(a.at - b.at) })
		gone := map[string]int64{}
		i := 0
		for _, s := range sends[who] {
			for ; i < len(steps) && steps[i].at <= s.At; i++ {
				switch c := steps[i]; {
				case c.name == "":
					clear(gone)
				case !c.out:
					delete(gone, c.name)
				case gone[c.name] == 0:
					gone[c.name] = c.at
				}
			}
			if at, out2 := gone[s.To]; out2 {
				if over := s.At - at - r.stopped(who, at, s.At); over > drainGrace+drainSlack {
					out = append(out, Verdict{Drains, s.At, fmt.Sprintf("%s sent to %s %d ms after its end could be read", who, s.To, over/1000)})
				}
			}
		}
	}
	return out
}

// change is what a sidecar could read of a backend.
type change struct {
	at   int64
	name string // empty: the process has started anew
	out  bool
}

// stopped is how long a process was stopped in a stretch of time.
func (r *record) stopped(who string, from, to int64) (sum int64) {
	for _, s := range r.stops[who] {
		sum += max(0, min(to, s.to)-max(from, s.from))
	}
	return sum
}

func cold(_ *scenario.Scenario, r *record) (out []Verdict) {
	for _, e := range r.all {
		if e.Kind == history.Pushed && e.N == 1 {
			out = append(out, Verdict{Cold, e.At, fmt.Sprintf("%s was cold and held %d requests, more than it bears", e.Who, e.Took)})
		}
	}
	return out
}

// strays judges lives that began after the address had changed hands and the list had said so: whoever was there before may
// have sent in the same moment.
func strays(_ *scenario.Scenario, r *record) (out []Verdict) {
	gone := map[string]int64{}  // backends, since the list lacks them
	began := map[string]int64{} // sidecars' present lives
	for _, e := range r.all {
		switch e.Kind {
		case history.Member:
			if delete(gone, e.Who); e.Why == "DELETED" {
				gone[e.Who] = e.At
			}
		case history.Started:
			began[e.Who] = e.At
		case history.Strayed:
			s, ok := r.sent[sending{e.Conn, e.N}]
			if at, out2 := gone[e.Who]; ok && out2 && e.Class == "POST" && e.Key == "" && at < began[s.Who] {
				out = append(out, Verdict{Strays, e.At, fmt.Sprintf("%s, started %d ms after the list lost %s, sent it request %s, which may not be repeated", s.Who, (began[s.Who]-at)/1000, e.Who, e.ID)})
			}
		}
	}
	return out
}

func processes(_ *scenario.Scenario, r *record) (out []Verdict) {
	ended := false
	for _, e := range r.all {
		switch {
		case e.Kind == history.Gone && (strings.HasPrefix(e.Why, "by itself") || strings.Contains(e.Why, "exit status")):
			out = append(out, Verdict{Processes, e.At, fmt.Sprintf("%s has ended: %s", e.Who, e.Why)})
		case e.Kind == history.Ended:
			if ended = true; e.N > 0 {
				out = append(out, Verdict{Processes, e.At, fmt.Sprintf("%d processes are left", e.N)})
			}
		}
	}
	if !ended {
		out = append(out, Verdict{Processes, 0, "the history breaks off before the run's end"})
	}
	return out
}

func bounds(sc *scenario.Scenario, r *record) (out []Verdict) {
	b, f := sc.Bounds, figures(sc, r)
	hold := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, Verdict{Bounds, 0, fmt.Sprintf(format, args...)})
		}
	}
	hold(b.Reads == 0 || f.Reads.Peak <= b.Reads, "%.0f whole readings in a second, %.0f at most expected", f.Reads.Peak, b.Reads)
	hold(b.Connects == 0 || f.Connects <= b.Connects, "%.0f connections to a backend in a second, %.0f at most expected", f.Connects, b.Connects)
	hold(b.ReadyIn == 0 || f.ReadyWithin(b.ReadyIn) >= b.ReadyFor, "%.3f of the sidecars ready within %v, %.3f expected", f.ReadyWithin(b.ReadyIn), b.ReadyIn, b.ReadyFor)
	hold(b.ServedMin == 0 || f.Served >= b.ServedMin*float64(f.Asked), "%.0f of %d requests served, a part of %.3f expected", f.Served, f.Asked, b.ServedMin)
	for _, l := range f.Losses {
		hold(b.LossIn == 0 || l.Within >= 0 && l.Within <= b.LossIn.Seconds(), "%s: 95%% of what can be served after %.1f s (-1: never), %v at most expected", l.Fault, l.Within, b.LossIn)
		hold(l.Back >= b.BackMin, "%s: %.3f of the worth served from its end on, %.3f expected", l.Fault, l.Back, b.BackMin)
	}
	return out
}
