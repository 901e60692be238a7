// Package sidecar joins the parts of a running proxy: fronts, pools, upstreams and the sources of
// their endpoint lists. It starts them, applies new configurations, drains them and stops them.
//
// The parts: a Sidecar owns the fronts, the services and what services share (sharedResources). An
// activeConfig is an immutable snapshot of the configuration in force, by which fronts resolve
// requests; a reload replaces it. A service is one pool with its upstream and its endpoint source.
//
// A configuration is applied in steps (see Sidecar.Reload): it is validated, everything that it
// needs is built, one pointer is swapped, and services that it replaces drain. See
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

// Sidecar is a proxy with its listeners open. Its methods may be called from any goroutine.
type Sidecar struct {
	log                 *slog.Logger
	shared              sharedResources
	fronts              []*http1.Front
	active              atomic.Pointer[activeConfig]
	startRecord         *record.Record // nil: no record of starts is kept
	notReadyLogInterval time.Duration
	remote              *remoteConfiguration

	stopping       chan struct{} // closed, with mu held, when Run begins to drain
	drains         sync.WaitGroup
	drainsCanceled chan struct{} // closed by cancelDrains
	cancelDrains   func()        // ends the wait of drains for their services' last requests

	// reloadSlot holds one while a configuration is applied. It is taken before mu, since a wait
	// for it can be given up.
	reloadSlot chan struct{}

	mu               sync.Mutex // guards what follows; one configuration is applied at a time
	app              *config.App
	services         map[string]*service
	started          bool
	drainingServices map[*service]bool // that the configuration no longer names
}

// New opens the listeners; clients are served from Run on.
func New(app *config.App, log *slog.Logger) (*Sidecar, error) { return open(app, log, nil) }

// open returns a sidecar; hollow is nil for one with listeners and connections.
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

// recordStart records this start, where there is a state directory, and reads how many there were
// lately.
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

// Close closes the listeners of a sidecar that is not to run.
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

// Trace has every service log its module's stats for some time; see core.Pool.Trace.
func (s *Sidecar) Trace(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		svc.pool.Trace(span)
	}
}

// oneLine returns an error's text as one line, for the log.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// serviceError is an error of one service.
type serviceError struct {
	service string
	err     error
}

// Error implements error.
func (e *serviceError) Error() string { return fmt.Sprintf("service %s: %v", e.service, e.err) }

// Unwrap returns the cause.
func (e *serviceError) Unwrap() error { return e.err }
