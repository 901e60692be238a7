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

// HollowOptions configures a hollow sidecar, which has the control plane of a sidecar only: it
// applies its configuration, its sources follow their endpoint lists and its pools choose
// endpoints, but it has neither listeners nor connections to backends.
type HollowOptions struct {
	// Dial opens the connections to list services. Nil means the usual dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnListApplied, if not nil, is called after a service's pool has applied a list, on the
	// goroutine of the service's source.
	OnListApplied func(service string, list *membership.List)
}

// NewHollow returns a sidecar without listeners. Run follows the sidecar's endpoint lists until the
// context ends.
func NewHollow(app *config.App, log *slog.Logger, options HollowOptions) (*Sidecar, error) {
	return open(app, log, &options)
}

// Do passes a request to a service's pool, as a front does, and returns the pool's answer.
func (s *Sidecar) Do(service string, r *core.Request) (core.Answer, error) {
	svc := s.active.Load().services[service]
	if svc == nil {
		return core.Answer{}, fmt.Errorf("unknown service %q", service)
	}
	return svc.pool.Do(r), nil
}

// Clock returns the clock of the deadlines of requests.
func (s *Sidecar) Clock() core.Clock { return s.shared.clock }

// dial returns the function that opens connections to list services. Nil means the usual dialer.
func (h *HollowOptions) dial() dialFunc {
	if h == nil {
		return nil
	}
	return h.Dial
}

// sink returns the sink for a service's endpoint lists, which forwards them to next.
func (h *HollowOptions) sink(service string, next membership.Sink) membership.Sink {
	if h == nil || h.OnListApplied == nil {
		return next
	}
	return notifyingSink{Sink: next, service: service, onListApplied: h.OnListApplied}
}

// upstream returns the upstream that carries out the attempts of a pool.
func (h *HollowOptions) upstream(network *upstream.Upstream) core.Upstream {
	if h == nil {
		return network
	}
	return instantUpstream{network}
}

// notifyingSink is a sink that calls onListApplied after a list has been applied.
type notifyingSink struct {
	membership.Sink
	service       string
	onListApplied func(service string, list *membership.List)
}

// UpdateEndpoints implements membership.Sink.
func (s notifyingSink) UpdateEndpoints(list *membership.List) {
	s.Sink.UpdateEndpoints(list)
	s.onListApplied(s.service, list)
}

// instantUpstream is an upstream whose backends respond at once. It keeps the state of the embedded
// upstream and opens no connection.
type instantUpstream struct{ *upstream.Upstream }

// RoundTripper implements core.Upstream.
func (u instantUpstream) RoundTripper(server string) core.RoundTripper {
	if u.Upstream.RoundTripper(server) == nil {
		return nil
	}
	return instantRoundTripper{}
}

// instantRoundTripper is the round tripper of a backend that responds at once.
type instantRoundTripper struct{}

// RoundTrip implements core.RoundTripper.
func (instantRoundTripper) RoundTrip(*core.Attempt) core.AttemptResult {
	return core.AttemptResult{Status: logic.OK, Response: &core.Response{StatusCode: http.StatusOK}}
}
