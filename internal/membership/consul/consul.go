// Package consul follows the endpoint list of a service with blocking queries to Consul's health
// API. GET /v1/health/service/NAME?index=N&wait=T returns when the index exceeds N or the wait has
// passed. The response has the index in X-Consul-Index ("Blocking Queries" in Consul's
// documentation).
//
// While the registry does not respond or has no leader, the last list stays in use and the source
// counts as silent. The source retries with a bounded, jittered backoff. After the index decreases,
// because the registry restarted or was restored, the queries restart without an index.
package consul

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
	"fernlanding/internal/membership/staleness"
	"fernlanding/internal/sleep"
)

const (
	// A backoff is drawn between 0 and a bound that doubles from firstBackoff up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// minPause is the pause after a response without a change. It limits the rate of queries if the
	// registry wakes them without a change.
	minPause = 50 * time.Millisecond
)

// Config is the configuration of a Source.
type Config struct {
	Address string // host:port of the API
	Service string
	Token   string // sent as X-Consul-Token; may be empty
	// Dial dials connections to the API. If Dial is nil, the dialer is that of net/http.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *slog.Logger
}

// Source is a membership.Source for one service of a Consul registry.
type Source struct {
	cfg      Config
	client   *http.Client
	notifier *staleness.Notifier

	// Only Run uses these fields.
	index   uint64        // index of the next query; with 0 it does not block
	backoff time.Duration // bound of the next backoff
	failing bool          // whether the last query failed
}

// New returns a Source for the service of cfg.
func New(cfg Config) *Source {
	cfg.Log = cfg.Log.With("source", "consul")
	transport := &http.Transport{DialContext: cfg.Dial, MaxConnsPerHost: 2, DisableCompression: true}
	return &Source{
		cfg: cfg, client: &http.Client{Transport: transport},
		notifier: staleness.NewNotifier(cfg.Log), backoff: firstBackoff,
	}
}

// Health implements membership.Source.
func (s *Source) Health() membership.Health { return s.notifier.Health() }

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, sink membership.Sink) {
	defer s.client.CloseIdleConnections()
	for ctx.Err() == nil {
		next, entries, err := s.query(ctx, s.index)
		if ctx.Err() != nil {
			return
		}
		if !sleep.For(ctx, s.handleResult(sink, next, entries, err)) {
			return
		}
	}
}

// handleResult handles the result of a query and returns the pause before the next query.
func (s *Source) handleResult(sink membership.Sink, next uint64, entries []reconcile.Entry, err error) time.Duration {
	if err != nil {
		return s.handleFailure(sink, err)
	}
	if next < s.index { // not an update: the next query has no index, and its response is the list
		s.cfg.Log.Warn("index went back, reading anew", "from", s.index, "to", next)
		s.notifier.Failed()
		s.index = 0
		return rand.N(minPause)
	}
	changed, err := s.notifier.Update(sink, entries)
	if err != nil {
		return s.handleFailure(sink, err)
	}
	s.index, s.backoff, s.failing = next, firstBackoff, false
	if changed {
		return 0
	}
	return minPause
}

// handleFailure records that a query failed and returns the backoff. The backoff is random, so that
// many sources that lose the same registry return at different times.
func (s *Source) handleFailure(sink membership.Sink, err error) time.Duration {
	s.notifier.Failed()
	s.cfg.Log.Warn("endpoint list not read, the last one stands", "error", err)
	if !s.failing {
		s.failing = true
		sink.UpdateFailed()
	}
	pause := rand.N(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
	return pause
}
