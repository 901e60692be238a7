package main

import (
	"encoding/json"
	"fmt"

	"fernlanding/logic"
)

// event is one line of input: an object with a single key, which is the event's name. Exactly one
// field is set. In the types of the events, a pointer field is required unless its comment says
// otherwise. Times are in microseconds.
type event struct {
	Mark            *markEvent            `json:"mark"`
	EndOfBatch      *struct{}             `json:"your_turn"`
	StartInstance   *startInstanceEvent   `json:"new_instance"`
	StopInstance    *instanceEvent        `json:"power_off"`
	EndpointList    *endpointListEvent    `json:"ledger"`
	UpdateEndpoints *updateEndpointsEvent `json:"membership"`
	Request         *requestEvent         `json:"job_in"`
	ResponseStarted *outcomeEvent         `json:"established"`
	Outcome         *outcomeEvent         `json:"completed"`
	Cancel          *cancelEvent          `json:"withdrawn"`
	Timer           *timerEvent           `json:"tick_due"`
	ProbeDone       *instanceEvent        `json:"probe_done"` // ignored: package logic sends no probes
	PeerMessage     *instanceEvent        `json:"message"`    // ignored: package logic sends no messages to peers
}

// markEvent starts a batch and sets its time.
type markEvent struct {
	Time *int64 `json:"time_us"`
}

// instanceEvent is an event of which only the instance is read.
type instanceEvent struct {
	Instance *string `json:"who"`
}

// cancelEvent reports that the client of a request is gone.
type cancelEvent struct {
	Instance *string `json:"who"`
	Request  *string `json:"ticket"`
}

// startInstanceEvent starts an instance of the proxy.
type startInstanceEvent struct {
	Instance *string         `json:"who"`
	Seed     *uint64         `json:"salt"`
	Settings json.RawMessage `json:"options"` // see package settings
}

// endpointListEvent defines a numbered endpoint list. updateEndpointsEvent refers to the list by
// its number.
type endpointListEvent struct {
	Number    *int        `json:"roster_id"`
	Endpoints *[]endpoint `json:"elements"`
}

// endpoint is an entry of an endpoint list.
type endpoint struct {
	ID        *string  `json:"backend"`
	Zone      *int     `json:"dc"`
	Cell      int      `json:"pack"`
	State     *int     `json:"state"`      // a logic.State
	Weight    *float64 `json:"power_hint"` // optional; nil means 1
	StartedAt int64    `json:"launched_us"`
}

// updateEndpointsEvent passes an endpoint list, or the failure to get one, to an instance.
type updateEndpointsEvent struct {
	Instance   *string `json:"who"`
	Kind       *int    `json:"how"`       // a logic.UpdateKind
	ListNumber *int    `json:"roster_id"` // not read for logic.UpdateFailed
}

// requestEvent is a client's request.
type requestEvent struct {
	Instance       *string `json:"who"`
	ID             *string `json:"ticket"`
	Class          *int    `json:"band"`
	Tenant         int     `json:"owner"`
	Key            string  `json:"affinity"`
	ClientDeadline *int64  `json:"give_up_at_us"`
}

// outcomeEvent reports the end of an attempt or the start of its response. At the start of a
// response, only the instance and the request are read.
type outcomeEvent struct {
	Instance    *string `json:"who"`
	Request     *string `json:"ticket"`
	Attempt     *int    `json:"go"`
	Status      *int    `json:"verdict"` // one of the keys of statuses
	Latency     int64   `json:"took_us"`
	RequestDone bool    `json:"terminal"`
}

// timerEvent reports that a timer of an instance has expired.
type timerEvent struct {
	Instance *string `json:"who"`
	Token    *string `json:"nonce"`
}

// statuses maps the values of "verdict" to the statuses of attempts.
var statuses = map[int]logic.Status{
	200: logic.OK,
	410: logic.NotSent,
	499: logic.Canceled,
	500: logic.Error,
	502: logic.ConnectFailed,
	503: logic.Overloaded,
	504: logic.TimedOut,
	598: logic.Reset,
}

// toEndpoints converts the list to endpoints of package logic.
func (l *endpointListEvent) toEndpoints() ([]logic.Endpoint, error) {
	converted := make([]logic.Endpoint, 0, len(*l.Endpoints))
	for i, e := range *l.Endpoints {
		if e.ID == nil || e.State == nil || e.Zone == nil {
			return nil, fmt.Errorf("elements[%d]: missing backend, dc or state", i)
		}
		if *e.State < int(logic.Removed) || *e.State > int(logic.Draining) {
			return nil, fmt.Errorf("elements[%d].state: unknown state %d", i, *e.State)
		}
		weight := 1.0
		if e.Weight != nil {
			weight = *e.Weight
		}
		converted = append(converted, logic.Endpoint{
			ID:        *e.ID,
			Zone:      *e.Zone,
			Cell:      e.Cell,
			State:     logic.State(*e.State),
			Weight:    weight,
			StartedAt: e.StartedAt,
		})
	}
	return converted, nil
}

// eventError reports an event that cannot be applied.
type eventError struct {
	event string // name of the event on the wire
	cause error
}

// Error implements error.
func (e *eventError) Error() string { return e.event + ": " + e.cause.Error() }

// Unwrap returns the cause of the error.
func (e *eventError) Unwrap() error { return e.cause }

// eventErrorf returns an eventError with a formatted cause.
func eventErrorf(event, format string, args ...any) error {
	return &eventError{event: event, cause: fmt.Errorf(format, args...)}
}
