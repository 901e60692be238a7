package main

import (
	"encoding/json"
	"fmt"

	"fernlanding/logic"
)

// event is one line of input: an object with a single key, the event's name. A pointer in an event
// is a value that may not lack. Times are in microseconds.
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
	ProbeDone       *instanceEvent        `json:"probe_done"` // the module sends no probes
	PeerMessage     *instanceEvent        `json:"message"`    // nor messages to peers
}

// markEvent begins a batch.
type markEvent struct {
	Time *int64 `json:"time_us"`
}

// instanceEvent is an event of which only the instance counts.
type instanceEvent struct {
	Instance *string `json:"who"`
}

// cancelEvent says that the client of a request has gone.
type cancelEvent struct {
	Instance *string `json:"who"`
	Request  *string `json:"ticket"`
}

// startInstanceEvent starts a proxy.
type startInstanceEvent struct {
	Instance *string         `json:"who"`
	Seed     *uint64         `json:"salt"`
	Settings json.RawMessage `json:"options"` // see package settings
}

// endpointListEvent defines an endpoint list, to which updateEndpointsEvents refer by its number.
type endpointListEvent struct {
	Number    *int        `json:"roster_id"`
	Endpoints *[]endpoint `json:"elements"`
}

// endpoint is an entry of an endpoint list.
type endpoint struct {
	ID        *string  `json:"backend"`
	Zone      *int     `json:"dc"`
	Cell      int      `json:"pack"`
	State     *int     `json:"state"`      // as logic.State
	Weight    *float64 `json:"power_hint"` // nil: 1
	StartedAt int64    `json:"launched_us"`
}

// updateEndpointsEvent gives an instance an endpoint list.
type updateEndpointsEvent struct {
	Instance   *string `json:"who"`
	Kind       *int    `json:"how"` // as logic.UpdateKind
	ListNumber *int    `json:"roster_id"`
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

// outcomeEvent is the end of an attempt, or the start of its response.
type outcomeEvent struct {
	Instance    *string `json:"who"`
	Request     *string `json:"ticket"`
	Attempt     *int    `json:"go"`
	Status      *int    `json:"verdict"` // a key of statuses
	Latency     int64   `json:"took_us"`
	RequestDone bool    `json:"terminal"`
}

// timerEvent says that a timer of an instance is due.
type timerEvent struct {
	Instance *string `json:"who"`
	Token    *string `json:"nonce"`
}

// statuses are the values of "verdict".
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

// convert converts the list to the module's endpoints.
func (l *endpointListEvent) convert() ([]logic.Endpoint, error) {
	converted := make([]logic.Endpoint, 0, len(*l.Endpoints))
	for i, e := range *l.Endpoints {
		if e.ID == nil || e.State == nil || e.Zone == nil {
			return nil, fmt.Errorf("elements[%d]: backend, dc or state is missing", i)
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

// eventError is the error of an event that can't be applied.
type eventError struct {
	event string // its name on the wire
	cause error
}

// Error implements error.
func (e *eventError) Error() string { return e.event + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *eventError) Unwrap() error { return e.cause }

// eventErrorf returns an eventError with a formatted cause.
func eventErrorf(event, format string, args ...any) error {
	return &eventError{event: event, cause: fmt.Errorf(format, args...)}
}
