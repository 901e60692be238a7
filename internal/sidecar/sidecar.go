// Package sidecar assembles a running proxy from fronts, pools, upstreams and endpoint sources. It
// starts, drains and stops them, and applies new configurations.
//
// A Sidecar owns the fronts, the services and the resources that services share (sharedResources).
// An activeConfig is an immutable snapshot of the active configuration, with which fronts resolve
// requests; a reload replaces it. A service is one pool with its upstream and its endpoint source.
//
// A configuration is applied in steps (see Sidecar.Reload): the configuration is validated,
// everything that it needs is built, one pointer is swapped, and replaced services drain. See
// docs/design/routing.md.
package sidecar

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/front/http1"
	"fernlanding/internal/start/record"
)

// Sidecar is a proxy with open listeners. It is safe for concurrent use.
type Sidecar struct {
	log                 *slog.Logger
	shared              sharedResources
	fronts              []*http1.Front
	active              atomic.Pointer[activeConfig]
	startRecord         *record.Record // nil if there is no record of starts
	notReadyLogInterval time.Duration
	remote              *remoteConfiguration

	stopping       chan struct{} // closed, with mu held, when Run begins to drain
	drains         sync.WaitGroup
	drainsCanceled chan struct{} // closed by cancelDrains
	cancelDrains   func()        // makes drains stop their services without waiting for open requests

	// reloadSlot is a semaphore that is held while a configuration is applied. It is acquired
	// before mu, since a wait for a channel can be abandoned.
	reloadSlot chan struct{}

	mu               sync.Mutex // guards the fields below
	app              *config.App
	services         map[string]*service // of the active configuration, by name
	started          bool
	drainingServices map[*service]bool // replaced and removed services
}

// New returns a sidecar with open listeners. Run serves the clients.
func New(app *config.App, log *slog.Logger) (*Sidecar, error) { return open(app, log, nil) }

// open returns a sidecar, which is hollow if the options are not nil.
func open(app *config.App, log *slog.Logger, hollow *HollowOptions) (*Sidecar, error) {
	remote := &remoteConfiguration{log: log}
	app = remote.restore(app)
	drainsCanceled := make(chan struct{})
	s := &Sidecar{
		log:                 log,
		shared:              newSharedResources(app, log, hollow, newRelayFollower(log, hollow.dial(), remote)),
		notReadyLogInterval: notReadyLogInterval,
		remote:              remote,
		stopping:            make(chan struct{}),
		drainsCanceled:      drainsCanceled,
		cancelDrains:        sync.OnceFunc(func() { close(drainsCanceled) }),
		reloadSlot:          make(chan struct{}, 1),
		services:            map[string]*service{},
		drainingServices:    map[*service]bool{},
	}
	remote.sidecar = s
	if err := s.shared.allocate(app); err != nil {
		return nil, err
	}
	s.recordStart(app)
	next, err := s.build(app)
	if err != nil {
		return nil, err
	}
	if hollow == nil {
		if err := s.listen(app); err != nil {
			return nil, err
		}
	}
	s.install(app, next)
	return s, nil
}

// recordStart records this start and reads the number of recent starts. It does nothing if there is
// no state directory.
func (s *Sidecar) recordStart(app *config.App) {
	if app.StateDir == "" {
		return
	}
	s.startRecord = record.Open(app.StateDir)
	recentStarts, err := s.startRecord.RecordStart(time.Now())
	s.shared.recentStarts = recentStarts
	if err != nil {
		s.log.Warn("start record unavailable", "error", oneLine(err))
	}
}

// Close closes the listeners and stops the services of a sidecar whose Run is never called.
func (s *Sidecar) Close() {
	for _, f := range s.fronts {
		f.Close()
	}
	s.stop()
}

// Addr returns the address of the first listener.
func (s *Sidecar) Addr() string { return s.fronts[0].Addr() }

// Addrs returns the addresses of all listeners, in the order of the configuration.
func (s *Sidecar) Addrs() []string {
	var addresses []string
	for _, f := range s.fronts {
		addresses = append(addresses, f.Addr())
	}
	return addresses
}

// Trace makes every service log the stats of its module for a time span; see core.Pool.Trace.
func (s *Sidecar) Trace(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		svc.pool.Trace(span)
	}
}

// oneLine returns the text of an error as one line for the log.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// serviceError is an error in the configuration of one service.
type serviceError struct {
	service string
	err     error
}

// Error implements error.
func (e *serviceError) Error() string { return fmt.Sprintf("service %s: %v", e.service, e.err) }

// Unwrap returns the underlying error.
func (e *serviceError) Unwrap() error { return e.err }
