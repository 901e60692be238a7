package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/logic"

	upstream "fernlanding/internal/upstream/http1"
)

// dialFunc opens connections, as net.Dialer.DialContext does.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// HollowOptions configures a hollow sidecar, which has the control half alone: its configuration is
// in force, its sources follow their endpoint lists and its pools decide, but it has neither
// listeners nor connections to backends.
type HollowOptions struct {
	// Dial opens the connections to list services; nil: as usual.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// InForce, if not nil, is called when a service's pool has applied a list, on the goroutine of
	// its source.
	OnListApplied func(service string, list *membership.List)
}

// NewHollow returns a sidecar without listeners. Run follows its endpoint lists until the context
// ends.
func NewHollow(app *config.App, log *slog.Logger, options HollowOptions) (*Sidecar, error) {
	return open(app, log, &options)
}

// Do has a service's pool take a request, as a front would.
func (s *Sidecar) Do(service string, r *core.Request) (core.Answer, error) {
	svc := s.active.Load().services[service]
	if svc == nil {
		return core.Answer{}, fmt.Errorf("service %s: not in the configuration", service)
	}
	return svc.pool.Do(r), nil
}

// Clock returns the clock that requests' deadlines are of.
func (s *Sidecar) Clock() core.Clock { return s.shared.clock }

// dial returns what opens connections to list services; nil: as usual.
func (h *HollowOptions) dial() dialFunc {
	if h == nil {
		return nil
	}
	return h.Dial
}

// sink returns the sink for a service's endpoint lists, which passes them on to next.
func (h *HollowOptions) sink(service string, next membership.Sink) membership.Sink {
	if h == nil || h.OnListApplied == nil {
		return next
	}
	return notifyingSink{Sink: next, service: service, inForce: h.OnListApplied}
}

// upstream returns what carries out the attempts of a pool.
func (h *HollowOptions) upstream(network *upstream.Upstream) core.Upstream {
	if h == nil {
		return network
	}
	return instantUpstream{network}
}

// notifyingSink is a sink that calls inForce when a list has been applied.
type notifyingSink struct {
	membership.Sink
	service string
	inForce func(service string, list *membership.List)
}

// UpdateEndpoints implements membership.Sink.
func (s notifyingSink) UpdateEndpoints(list *membership.List) {
	s.Sink.UpdateEndpoints(list)
	s.inForce(s.service, list)
}

// instantUpstream is an upstream whose backends answer at once. It keeps the state of the real one
// and opens no connection.
type instantUpstream struct{ *upstream.Upstream }

// RoundTripper implements core.Upstream.
func (u instantUpstream) RoundTripper(server string) core.RoundTripper {
	if u.Upstream.RoundTripper(server) == nil {
		return nil
	}
	return instantRoundTripper{}
}

// instantRoundTripper reaches a backend that answers at once.
type instantRoundTripper struct{}

// RoundTrip implements core.RoundTripper.
func (instantRoundTripper) RoundTrip(*core.Attempt) core.AttemptResult {
	return core.AttemptResult{Status: logic.OK, Response: &core.Response{StatusCode: http.StatusOK}}
}
