// Package consul follows the endpoint list of a service by blocking queries of Consul's health API:
// GET /v1/health/service/NAME?index=N&wait=T answers when the index is beyond N or the wait is
// over, with the index in X-Consul-Index ("Blocking Queries" of its documentation).
//
// While the registry does not answer, or has no leader, the last list stands and the source counts
// as silent; it retries with a bounded, jittered backoff. An index that falls (a restart, a
// restore) begins the queries anew.
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
	// A backoff is drawn from 0 to a bound that doubles from firstBackoff up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// minPause is the pause after an answer without a change, lest wake-ups without a change become
	// a storm.
	minPause = 50 * time.Millisecond
)

// Config is what a Source is made of.
type Config struct {
	Address string // of the API, host:port
	Service string
	Token   string // sent as X-Consul-Token; may be empty
	// Dial dials connections to the API; nil: as net/http does by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *slog.Logger
}

// Source is a membership.Source of one service of a Consul registry.
type Source struct {
	cfg      Config
	client   *http.Client
	notifier *staleness.Notifier

	// These are Run's.
	index   uint64        // of the next query; 0: it does not block
	backoff time.Duration // bound of the next one
	failing bool          // the last query failed
}

// New returns a source.
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
		if !sleep.For(ctx, s.apply(sink, next, entries, err)) {
			return
		}
	}
}

// apply takes the outcome of a query, and returns the pause before the next one.
func (s *Source) apply(sink membership.Sink, next uint64, entries []reconcile.Entry, err error) time.Duration {
	if err != nil {
		return s.fail(sink, err)
	}
	if next < s.index { // not an update: the next query begins anew, and what it answers holds
		s.cfg.Log.Warn("index went back, reading anew", "from", s.index, "to", next)
		s.notifier.Failed()
		s.index = 0
		return rand.N(minPause)
	}
	changed, err := s.notifier.Update(sink, entries)
	if err != nil {
		return s.fail(sink, err)
	}
	s.index, s.backoff, s.failing = next, firstBackoff, false
	if changed {
		return 0
	}
	return minPause
}

// fail notes that a query failed, and returns the backoff. It is drawn, so that many sources that
// lose one registry come back at different times.
func (s *Source) fail(sink membership.Sink, err error) time.Duration {
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
