package check

import (
	"cmp"
	"slices"
	"strings"

	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// checkDrains checks that no sidecar sends requests to a backend later than drainGrace plus
// drainSlack after the sidecar could read that the backend is draining or deleted. The time for
// which the sidecar was paused since then does not count.
func checkDrains(spec *scenario.Scenario, h *indexedHistory) []Verdict {
	var verdicts []Verdict
	traffic := collectTraffic(h.events)
	backends := spec.Names(scenario.OnBackends)
	for _, sidecar := range spec.Names(scenario.OnSidecars) {
		changes := listChanges(traffic.responses[sidecar], traffic.starts[sidecar], backends)
		verdicts = append(verdicts, h.checkSentAfterDrain(sidecar, traffic.sends[sidecar], changes)...)
	}
	return verdicts
}

// listResponse is a response of a list service to a sidecar.
type listResponse struct {
	history.Event
	readAt int64 // time at which the last byte had been delivered; openEnd means never
}

// polledAt returns the time at which the request was sent.
func (r listResponse) polledAt() int64 { return r.At - r.Took }

// sidecarTraffic is the traffic of the sidecars, by sidecar name.
type sidecarTraffic struct {
	responses map[string][]listResponse
	sends     map[string][]history.Event
	starts    map[string][]int64
}

// collectTraffic returns the traffic of a history that is sorted by time.
func collectTraffic(events []history.Event) sidecarTraffic {
	traffic := sidecarTraffic{
		responses: map[string][]listResponse{},
		sends:     map[string][]history.Event{},
		starts:    map[string][]int64{},
	}
	delivered := map[string][]history.Event{} // by connection, in order
	for _, e := range events {
		switch e.Kind {
		case history.Delivered:
			delivered[e.Conn] = append(delivered[e.Conn], e)
		case history.Sent:
			traffic.sends[e.Who] = append(traffic.sends[e.Who], e)
		case history.Started:
			traffic.starts[e.Who] = append(traffic.starts[e.Who], e.At)
		default: // other kinds are not part of the traffic of sidecars
		}
	}
	for _, e := range events {
		if e.Kind != history.ListPolled || len(e.Names) == 0 && e.Reason != history.Snapshot {
			continue
		}
		response := listResponse{Event: e, readAt: openEnd}
		onConn := delivered[e.Conn]
		last := slices.IndexFunc(onConn, func(d history.Event) bool { return d.Bytes >= e.Bytes })
		if last >= 0 {
			response.readAt = onConn[last].At
		}
		traffic.responses[e.To] = append(traffic.responses[e.To], response)
	}
	return traffic
}

// listChange is a change of a backend's state as a sidecar could read it, or a start of the
// sidecar.
type listChange struct {
	at    int64
	name  string // name of the backend; empty means that the sidecar has started and knows no backends
	isOut bool   // no request may be sent to the backend
}

// listChanges returns the changes of backends that a sidecar could read, sorted by time. A change
// to out has the latest time at which the sidecar can have read it. A change to in has the earliest
// time at which the sidecar can have learned of it.
func listChanges(responses []listResponse, starts []int64, backends []string) []listChange {
	slices.SortStableFunc(responses, func(a, b listResponse) int { return cmp.Compare(a.polledAt(), b.polledAt()) })
	var changes []listChange
	for i, response := range responses {
		if i+1 < len(responses) && response.readAt < openEnd {
			// A sidecar that polls again has read the previous response. The relay may have
			// recorded the delivery slightly later.
			response.readAt = min(response.readAt, responses[i+1].polledAt())
		}
		changes = append(changes, response.changes(backends)...)
	}
	for _, at := range starts {
		changes = append(changes, listChange{at: at})
	}
	slices.SortStableFunc(changes, func(a, b listChange) int { return cmp.Compare(a.at, b.at) })
	return changes
}

// changes returns the changes of backends in one response. A snapshot changes all backends that it
// does not name to out.
func (r listResponse) changes(backends []string) []listChange {
	var changes []listChange
	isNamed := map[string]bool{}
	for _, marked := range r.Names {
		name, isServing := strings.CutPrefix(marked, history.ServingMark)
		isNamed[name] = true
		if isServing {
			changes = append(changes, listChange{at: r.polledAt(), name: name})
		} else if r.readAt < openEnd {
			changes = append(changes, listChange{at: r.readAt, name: name, isOut: true})
		}
	}
	if r.Reason != history.Snapshot || r.readAt == openEnd {
		return changes
	}
	for _, name := range backends {
		if !isNamed[name] {
			changes = append(changes, listChange{at: r.readAt, name: name, isOut: true})
		}
	}
	return changes
}

// checkSentAfterDrain checks the requests that one sidecar sent against the changes of backends
// that the sidecar could read. sends and changes are sorted by time.
func (h *indexedHistory) checkSentAfterDrain(sidecar string, sends []history.Event, changes []listChange) []Verdict {
	var verdicts []Verdict
	outSince := map[string]int64{} // by backend that is out, the time at which the sidecar could read that
	for _, send := range sends {
		for len(changes) > 0 && changes[0].at <= send.At {
			changes[0].apply(outSince)
			changes = changes[1:]
		}
		since, isOut := outSince[send.To]
		if !isOut {
			continue
		}
		late := send.At - since - h.pausedDuration(sidecar, since, send.At)
		if late > drainGrace+drainSlack {
			verdicts = append(verdicts, verdictf(Drains, send.At,
				"%s sent to %s %d ms after its end could be read", sidecar, send.To, late/1000))
		}
	}
	return verdicts
}

// apply updates the set of backends that are out.
func (c listChange) apply(outSince map[string]int64) {
	switch {
	case c.name == "":
		clear(outSince)
	case !c.isOut:
		delete(outSince, c.name)
	case outSince[c.name] == 0:
		outSince[c.name] = c.at
	}
}
