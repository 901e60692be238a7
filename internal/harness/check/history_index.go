package check

import (
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// indexedHistory is a history with indexes for the checks.
type indexedHistory struct {
	events      []history.Event
	unavailable intervals // by process, from its exit or the signal to exit until it is ready again
	paused      intervals // by process, while it was stopped by SIGSTOP
	linkFaults  intervals // by process, while a fault acted on its link to clients
	sent        map[requestKey]history.Event
}

// requestKey identifies a request by its connection and its number on the connection.
type requestKey struct {
	conn string
	n    int64
}

// clientLink is the name of the link between clients and sidecars in Fault events.
const clientLink = scenario.OnClients + "-" + scenario.OnSidecars

// indexEvents indexes a history that is sorted by time.
func indexEvents(events []history.Event) *indexedHistory {
	h := &indexedHistory{
		events:      events,
		unavailable: intervals{},
		paused:      intervals{},
		linkFaults:  intervals{},
		sent:        map[requestKey]history.Event{},
	}
	for _, e := range events {
		switch e.Kind {
		case history.Terminating, history.Exited:
			h.unavailable.open(e.Who, e.At)
		case history.Ready:
			h.unavailable.end(e.To, e.At)
		case history.Stopped:
			h.paused.open(e.Who, e.At)
		case history.Continued:
			h.paused.end(e.Who, e.At)
		case history.Sent:
			h.sent[requestKey{conn: e.Conn, n: e.N}] = e
		case history.Fault:
			if e.To == clientLink {
				h.addLinkFault(e)
			}
		default: // other kinds are not indexed
		}
	}
	return h
}

// addLinkFault indexes the beginning or the end of a fault on links to clients. Faults on one link
// may overlap; an end closes the first open interval.
func (h *indexedHistory) addLinkFault(e history.Event) {
	for _, process := range e.Names {
		if e.N == 1 {
			h.linkFaults.openAnother(process, e.At)
		} else {
			h.linkFaults.endFirst(process, e.At)
		}
	}
}

// isExcused reports whether a fault affected a sidecar or its link to clients while a request was
// in flight, or within faultAftermath before.
func (h *indexedHistory) isExcused(sidecar string, from, to int64) bool {
	inFlight := interval{from: from - faultAftermath, to: to}
	return h.unavailable.overlap(sidecar, inFlight) || h.paused.overlap(sidecar, inFlight) ||
		h.linkFaults.overlap(sidecar, inFlight)
}

// pausedDuration returns the time in microseconds for which a process was stopped within a period.
func (h *indexedHistory) pausedDuration(process string, from, to int64) int64 {
	total := int64(0)
	for _, pause := range h.paused[process] {
		total += max(0, min(to, pause.to)-max(from, pause.from))
	}
	return total
}

// end returns the time of the last event, or 0 if the history is empty.
func (h *indexedHistory) end() int64 {
	if len(h.events) == 0 {
		return 0
	}
	return h.events[len(h.events)-1].At
}
