package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// drains judges what was sent to a backend after its sidecar could read that the backend drains or has ended.
func drains(sc *scenario.Scenario, r *record) (out []Verdict) {
	t := trafficOf(r.all)
	backends := sc.Names(scenario.OnBackends)
	for _, who := range sc.Names(scenario.OnSidecars) {
		steps := listChanges(t.answers[who], t.starts[who], backends)
		out = append(out, r.sentAfterDrain(who, t.sends[who], steps)...)
	}
	return out
}

// answer is a list service's answer as a sidecar could read it.
type answer struct {
	history.Event
	read int64 // when its last byte had been handed on; forever: it was not
}

// asked is when the call that is answered was made.
func (a answer) asked() int64 { return a.At - a.Took }

// traffic is what sidecars were told and what they sent, by sidecar.
type traffic struct {
	answers map[string][]answer
	sends   map[string][]history.Event
	starts  map[string][]int64
}

func trafficOf(all []history.Event) traffic {
	t := traffic{map[string][]answer{}, map[string][]history.Event{}, map[string][]int64{}}
	delivered := map[string][]history.Event{} // by connection, in order
	for _, e := range all {
		switch e.Kind {
		case history.Delivered:
			delivered[e.Conn] = append(delivered[e.Conn], e)
		case history.Sent:
			t.sends[e.Who] = append(t.sends[e.Who], e)
		case history.Started:
			t.starts[e.Who] = append(t.starts[e.Who], e.At)
		}
	}
	for _, e := range all {
		if e.Kind != history.ListPolled || len(e.Names) == 0 && e.Why != history.Snapshot {
			continue
		}
		a := answer{e, forever}
		of := delivered[e.Conn]
		if i := slices.IndexFunc(of, func(d history.Event) bool { return d.Bytes >= e.Bytes }); i >= 0 {
			a.read = of[i].At
		}
		t.answers[e.To] = append(t.answers[e.To], a)
	}
	return t
}

// listChange is what a sidecar could read of a backend.
type listChange struct {
	at   int64
	name string // empty: the process has started anew, and knows nothing
	out  bool   // not to be sent to
}

// listChanges are what a sidecar could read of backends, by time: that one is out, when it could be read at the latest;
// that one is in again, at the earliest time at which that could be known.
func listChanges(answers []answer, starts []int64, backends []string) (steps []listChange) {
	slices.SortStableFunc(answers, func(a, b answer) int { return cmp.Compare(a.asked(), b.asked()) })
	for i, a := range answers {
		if i+1 < len(answers) && a.read < forever {
			// Who asks for what is newer has read what there was; the relay may have noted that a moment later.
			a.read = min(a.read, answers[i+1].asked())
		}
		steps = append(steps, a.changes(backends)...)
	}
	for _, at := range starts {
		steps = append(steps, listChange{at: at})
	}
	slices.SortStableFunc(steps, func(a, b listChange) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// changes are what one answer says of backends; a whole list takes out those that it does not name.
func (a answer) changes(backends []string) (steps []listChange) {
	named := map[string]bool{}
	for _, n := range a.Names {
		name, serves := strings.CutPrefix(n, history.ServingMark)
		named[name] = true
		if serves {
			steps = append(steps, listChange{a.asked(), name, false})
		} else if a.read < forever {
			steps = append(steps, listChange{a.read, name, true})
		}
	}
	if a.Why != history.Snapshot || a.read == forever {
		return steps
	}
	for _, name := range backends {
		if !named[name] {
			steps = append(steps, listChange{a.read, name, true})
		}
	}
	return steps
}

// sentAfterDrain judges the requests that one sidecar sent by what it could read of the backends, both by time.
func (r *record) sentAfterDrain(who string, sends []history.Event, steps []listChange) (out []Verdict) {
	gone := map[string]int64{} // backends that are out, with when that could be read first
	for _, s := range sends {
		for len(steps) > 0 && steps[0].at <= s.At {
			steps[0].apply(gone)
			steps = steps[1:]
		}
		at, isOut := gone[s.To]
		if !isOut {
			continue
		}
		if over := s.At - at - r.stopped(who, at, s.At); over > drainGrace+drainSlack {
			out = append(out, Verdict{Drains, s.At, fmt.Sprintf("%s sent to %s %d ms after its end could be read", who, s.To, over/1000)})
		}
	}
	return out
}

// apply takes a change into the backends that are out.
func (c listChange) apply(gone map[string]int64) {
	switch {
	case c.name == "":
		clear(gone)
	case !c.out:
		delete(gone, c.name)
	case gone[c.name] == 0:
		gone[c.name] = c.at
	}
}
