// Package check judges the history of a run. It is pure: every verdict follows from the events alone, and names what it
// rests on. A check that a fault excuses says by which event it is excused, so that no fault excuses more than it causes.
package check

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
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

	unsafeMethod = "POST" // the Class of those events of backends that are effects
)

// Result is how a run is judged, and what it is measured by.
type Result struct {
	Figures
	Verdicts []Verdict `json:"verdicts"`
}

// Judge judges and measures a history, sorted by time.
func Judge(sc *scenario.Scenario, all []history.Event) Result {
	r := index(all)
	f := figures(sc, r)
	return Result{Figures: f, Verdicts: verdicts(sc, r, f)}
}

// Run judges a history, sorted by time.
func Run(sc *scenario.Scenario, all []history.Event) []Verdict { return Judge(sc, all).Verdicts }

// Measure takes the figures of a history, sorted by time.
func Measure(sc *scenario.Scenario, all []history.Event) Figures { return figures(sc, index(all)) }

// verdicts runs all checks.
func verdicts(sc *scenario.Scenario, r *record, f Figures) (out []Verdict) {
	for _, found := range [][]Verdict{answers(r), effects(r), drains(sc, r), cold(r), strays(r), processes(r), bounds(sc, f)} {
		out = append(out, shortened(found)...)
	}
	return out
}

// shortened are the first verdicts of a check, and how many more there are.
func shortened(found []Verdict) []Verdict {
	more := len(found) - mostOfCheck
	if more <= 0 {
		return found
	}
	rest := Verdict{found[0].Check, found[mostOfCheck].At, fmt.Sprintf("and %d more", more)}
	return append(found[:mostOfCheck:mostOfCheck], rest)
}

// answers judges whether each request got one whole answer of its own in time, unless a fault excuses that it did not.
func answers(r *record) (out []Verdict) {
	for _, e := range r.all {
		if e.Kind != history.Requested {
			continue
		}
		end := e.At + e.Took
		bad := ""
		switch {
		case e.Why == worker.WrongResponse || e.Why == worker.TrailingBytes:
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

// effects judges whether a request, or a key, ran twice where nothing drops its repeat.
func effects(r *record) (out []Verdict) {
	ran := map[string][]history.Event{}
	for _, e := range r.all {
		if e.Kind != history.Executed || e.Class != unsafeMethod {
			continue
		}
		what := "key " + e.Key
		if e.Key == "" {
			what = "request " + e.ID
		}
		if slices.ContainsFunc(ran[what], func(old history.Event) bool { return dropsRepeat(old, e) }) {
			continue
		}
		if ran[what] = append(ran[what], e); len(ran[what]) > 1 {
			first := ran[what][0]
			out = append(out, Verdict{Effects, e.At, fmt.Sprintf("%s ran at %s, and %d ms before at %s", what, e.Who, (e.At-first.At)/1000, first.Who)})
		}
	}
	return out
}

// dropsRepeat tells whether the pod that ran a key first drops its repeat.
func dropsRepeat(first, repeat history.Event) bool {
	return repeat.Key != "" && first.Pod == repeat.Pod && repeat.At-first.At < worker.DedupWindow.Microseconds()
}

// cold judges whether a cold backend held more than it bears.
func cold(r *record) (out []Verdict) {
	for _, e := range r.all {
		if e.Kind == history.WarmupOverload && e.N == 1 {
			out = append(out, Verdict{Cold, e.At, fmt.Sprintf("%s was cold and held %d requests, more than it bears", e.Who, e.Took)})
		}
	}
	return out
}

// strays judges lives that began after the address had changed hands and the list had said so: whoever was there before may
// have sent in the same moment.
func strays(r *record) (out []Verdict) {
	gone := map[string]int64{}  // backends, since the list lacks them
	began := map[string]int64{} // sidecars' present lives
	for _, e := range r.all {
		switch e.Kind {
		case history.MemberStatus:
			if delete(gone, e.Who); e.Why == "DELETED" {
				gone[e.Who] = e.At
			}
		case history.Started:
			began[e.Who] = e.At
		case history.Misrouted:
			s, ok := r.sent[request{e.Conn, e.N}]
			if at, lost := gone[e.Who]; ok && lost && e.Class == unsafeMethod && e.Key == "" && at < began[s.Who] {
				out = append(out, Verdict{Strays, e.At, fmt.Sprintf("%s, started %d ms after the list lost %s, sent it request %s, which may not be repeated", s.Who, (began[s.Who]-at)/1000, e.Who, e.ID)})
			}
		}
	}
	return out
}

// processes judges how processes ended.
func processes(r *record) (out []Verdict) {
	ended := false
	for _, e := range r.all {
		switch {
		case e.Kind == history.Exited && (strings.HasPrefix(e.Why, "by itself") || strings.Contains(e.Why, "exit status")):
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

// bounds judges the figures by what the scenario holds the run to.
func bounds(sc *scenario.Scenario, f Figures) (out []Verdict) {
	b := sc.Bounds
	hold := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, Verdict{Bounds, 0, fmt.Sprintf(format, args...)})
		}
	}
	hold(b.MaxSnapshotRate == 0 || f.Reads.Peak <= b.MaxSnapshotRate, "%.0f whole readings in a second, %.0f at most expected", f.Reads.Peak, b.MaxSnapshotRate)
	hold(b.MaxConnectRate == 0 || f.Connects <= b.MaxConnectRate, "%.0f connections to a backend in a second, %.0f at most expected", f.Connects, b.MaxConnectRate)
	hold(b.ReadyWithin == 0 || f.ReadyWithin(b.ReadyWithin) >= b.MinReady, "%.3f of the sidecars ready within %v, %.3f expected", f.ReadyWithin(b.ReadyWithin), b.ReadyWithin, b.MinReady)
	hold(b.MinServed == 0 || f.Served >= b.MinServed*float64(f.Asked), "%.0f of %d requests served, a part of %.3f expected", f.Served, f.Asked, b.MinServed)
	for _, l := range f.Losses {
		hold(b.LossRecoveryWithin == 0 || l.Within >= 0 && l.Within <= b.LossRecoveryWithin.Seconds(), "%s: 95%% of what can be served after %.1f s (-1: never), %v at most expected", l.Fault, l.Within, b.LossRecoveryWithin)
		hold(l.Back >= b.MinServedAfterLoss, "%s: %.3f of the worth served from its end on, %.3f expected", l.Fault, l.Back, b.MinServedAfterLoss)
	}
	return out
}
