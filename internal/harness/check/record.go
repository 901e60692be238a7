package check

import (
	"slices"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// forever is the end of a span that is open.
const forever = int64(1) << 62

// span is a stretch of time.
type span struct{ from, to int64 }

// overlaps tells whether a span has a moment in common with the time from from to to, both included.
func (s span) overlaps(from, to int64) bool { return s.from <= to && from <= s.to }

// spans are stretches of time by the process that they are about, in order.
type spans map[string][]span

// open begins a span of a process, unless its last one is open.
func (s spans) open(who string, at int64) {
	if of := s[who]; len(of) == 0 || of[len(of)-1].to != forever {
		s[who] = append(of, span{at, forever})
	}
}

// end ends the last span of a process, if it is open.
func (s spans) end(who string, at int64) {
	if of := s[who]; len(of) > 0 && of[len(of)-1].to == forever {
		of[len(of)-1].to = at
	}
}

// endFirst ends the first span of a process that is open.
func (s spans) endFirst(who string, at int64) {
	of := s[who]
	if i := slices.IndexFunc(of, func(one span) bool { return one.to == forever }); i >= 0 {
		of[i].to = at
	}
}

// record is a history with an index.
type record struct {
	all   []history.Event
	away  spans // of processes: from their end, or the word to end, until they are ready again
	stops spans // while they were stopped
	links spans // of processes: while a fault held on their link to clients
	sent  map[request]history.Event
}

// request is a request's place on a connection.
type request struct {
	conn string
	n    int64
}

// clientLink is what faults on the links from clients to sidecars are told of.
const clientLink = scenario.OnClients + "-" + scenario.OnSidecars

// index reads a history, sorted by time, once.
func index(all []history.Event) *record {
	r := &record{all: all, away: spans{}, stops: spans{}, links: spans{}, sent: map[request]history.Event{}}
	for _, e := range all {
		switch e.Kind {
		case history.Terminating, history.Exited:
			r.away.open(e.Who, e.At)
		case history.Ready:
			r.away.end(e.To, e.At)
		case history.Stopped:
			r.stops.open(e.Who, e.At)
		case history.Continued:
			r.stops.end(e.Who, e.At)
		case history.Sent:
			r.sent[request{e.Conn, e.N}] = e
		case history.Fault:
			if e.To == clientLink {
				r.linkFault(e)
			}
		}
	}
	return r
}

// linkFault takes in that a fault on links to clients begins or ends. Faults of one link may overlap: the first that is
// open ends.
func (r *record) linkFault(e history.Event) {
	for _, who := range e.Names {
		if e.N == 1 {
			r.links[who] = append(r.links[who], span{e.At, forever})
		} else {
			r.links.endFirst(who, e.At)
		}
	}
}

// excused tells whether a sidecar, or its link to clients, was disturbed while a request was under way.
func (r *record) excused(who string, from, to int64) bool {
	for _, s := range []spans{r.away, r.stops, r.links} {
		if slices.ContainsFunc(s[who], func(one span) bool { return one.overlaps(from-afterFault, to) }) {
			return true
		}
	}
	return false
}

// stopped is how long a process was stopped in a stretch of time.
func (r *record) stopped(who string, from, to int64) (sum int64) {
	for _, s := range r.stops[who] {
		sum += max(0, min(to, s.to)-max(from, s.from))
	}
	return sum
}

// end is when the history ends; 0 for one in which nothing has happened.
func (r *record) end() int64 {
	if len(r.all) == 0 {
		return 0
	}
	return r.all[len(r.all)-1].At
}
