package sidecar

import (
	"context"
	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/logic"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	upstream "fernlanding/internal/upstream/http1"
)

// HollowOptions says how a sidecar runs that has the control half alone: its configuration is in force, its sources follow their
// lists and its pools decide, but it has neither listeners nor connections to backends.
type HollowOptions struct {
	// Dial opens the connections to list services; nil: the usual way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// InForce, where given, is called when a service's pool has put a list in force, on the goroutine of its source.
	InForce func(service string, list *membership.List)
}

// NewHollow returns a sidecar without listeners. Run follows its lists until the context ends.
func NewHollow(app *config.App, log *slog.Logger, how HollowOptions) (*Sidecar, error) {
	return open(app, log, &how)
}

// Call has a service's pool take a request, as a front would.
func (s *Sidecar) Call(service string, r *core.Request) (core.Answer, error) {
	v := s.world.Load().services[service]
	if v == nil {
		return core.Answer{}, fmt.Errorf("service %s: not in the configuration", service)
	}
	return v.pool.Do(r), nil
}

// Clock is the time by which requests give up.
func (s *Sidecar) Clock() core.Clock { return s.with.clock }

// dial is how connections to list services are opened; nil: the usual way.
func (h *HollowOptions) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if h == nil {
		return nil
	}
	return h.Dial
}

// sink is what takes the lists of a service.
func (h *HollowOptions) sink(service string, next membership.Sink) membership.Sink {
	if h == nil || h.InForce == nil {
		return next
	}
	return told{Sink: next, service: service, inForce: h.InForce}
}

// upstream is what carries the attempts of a pool out.
func (h *HollowOptions) upstream(real *upstream.Upstream) core.Upstream {
	if h == nil {
		return real
	}
	return instant{real}
}

// told is a sink that says when a list is in force.
type told struct {
	membership.Sink
	service string
	inForce func(service string, list *membership.List)
}

// UpdateEndpoints implements membership.Sink.
func (t told) UpdateEndpoints(l *membership.List) {
	t.Sink.UpdateEndpoints(l)
	t.inForce(t.service, l)
}

// instant is an upstream whose backends answer in the moment in which they are sent a request. It keeps the books of the
// real one and opens no connection.
type instant struct{ *upstream.Upstream }

// RoundTripper implements core.Upstream.
func (u instant) RoundTripper(server string) core.RoundTripper {
	if u.Upstream.RoundTripper(server) == nil {
		return nil
	}
	return answered{}
}

// answered is the way to a backend that has answered already.
type answered struct{}

// RoundTrip implements core.RoundTripper.
func (answered) RoundTrip(*core.Attempt) core.AttemptResult {
	return core.AttemptResult{Status: logic.OK, Response: &core.Response{StatusCode: http.StatusOK}}
}
