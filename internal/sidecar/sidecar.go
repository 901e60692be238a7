// Package sidecar joins the parts of a running proxy: fronts, pools, upstreams and the sources of their lists. It
// starts them, gives them new configurations, drains them, and ends them.
package sidecar

import (
	"context"
	"errors"
	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/front"
	"fernlanding/internal/front/http1"
	"fernlanding/internal/start/record"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	killAfter     = 3 * time.Second        // SIGKILL comes the longest deadline, or this, after SIGTERM
	killLeeway    = 500 * time.Millisecond // and somewhat more
	notReadyEvery = 5 * time.Second        // says a sidecar that is not ready why
	readyPoll     = 50 * time.Millisecond  // looks it whether it is

	sameIDWait = 300 * time.Millisecond // within which a client that has left is seen to, also after a stall

	answerTime = time.Second // beyond the cutoff, for answers to be written by a process that is stalled or slow

	servePart = 0.7 // of the time between: requests are taken; the rest is for their answers
)

// Sidecar is a proxy with its listeners open.
type Sidecar struct {
	log    *slog.Logger
	with   parted
	fronts []*http1.Front
	world  atomic.Pointer[world]
	ended  chan struct{}
	record *record.Record // of its starts; nil: none is kept
	remind time.Duration  // between two words that it is not ready

	remote    *remoteConfiguration
	reloading chan struct{} // holds one while a configuration takes hold, before mu: waiting for it can be given up

	mu       sync.Mutex // one configuration takes hold at a time
	app      *config.App
	services map[string]*service
	started  bool
	leaving  map[*service]bool // those that the configuration names no more, while they drain
	draining sync.WaitGroup
	halt     context.Context
	halted   context.CancelFunc // ends their wait
}

// New opens the listeners; clients are served from Run on.
func New(app *config.App, log *slog.Logger) (*Sidecar, error) { return open(app, log, nil) }

func open(app *config.App, log *slog.Logger, hollow *HollowOptions) (*Sidecar, error) {
	remote := &remoteConfiguration{log: log}
	app = remote.recall(app)
	s := &Sidecar{
		log: log, ended: make(chan struct{}), remind: notReadyEvery, services: map[string]*service{}, leaving: map[*service]bool{},
		remote: remote, reloading: make(chan struct{}, 1),
		with: parted{
			clock: core.NewClock(), log: log, memoryMB: app.Process.MemoryMB, paced: app.Kind == config.Application,
			stateDir: app.StateDir, listAge: app.ListAge, hollow: hollow, relays: newRelays(log, hollow.dial(), remote),
		},
	}
	remote.sidecar = s
	s.halt, s.halted = context.WithCancel(context.Background())
	parts, err := app.Descriptors()
	if err != nil {
		return nil, err
	}
	if s.with.sockets, err = newShares(s.with.clock, parts.Total); err != nil {
		return nil, err
	}
	if app.Kind == config.Application {
		s.with.sameID = sameIDWait
		parts, err := app.Memory()
		if err != nil {
			return nil, err
		}
		if s.with.memory, err = newShares(s.with.clock, parts.Total); err != nil {
			return nil, err
		}
	}
	if app.StateDir != "" {
		s.record = record.Open(app.StateDir)
		if s.with.starts, err = s.record.RecordStart(time.Now()); err != nil {
			log.Warn("earlier starts are not known", "error", strings.ReplaceAll(err.Error(), "\n", "; "))
		}
	}
	w, _, err := s.prepare(app)
	if err != nil {
		return nil, err
	}
	if hollow == nil {
		if err := s.listen(app); err != nil {
			return nil, err
		}
	}
	s.adopt(app, w)
	return s, nil
}

// listen opens the listeners, all or none.
func (s *Sidecar) listen(app *config.App) error {
	var open []net.Listener
	for _, l := range app.Listeners {
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			for _, o := range open {
				o.Close()
			}
			return fmt.Errorf("listen: %w", err)
		}
		open = append(open, listener)
	}
	longest := config.MaxDeadline
	if app.Kind == config.Platform {
		longest = app.Services[0].LongestDeadline()
	}
	for i, l := range app.Listeners {
		s.fronts = append(s.fronts, http1.New(http1.Config{
			Listener: open[i], Resolver: &resolver{s, l.Name}, IsHealthy: s.healthy,
			MaxTimeout: longest, Quota: descriptors{s.with.sockets, config.Clients}, Log: s.log,
		}))
	}
	s.with.sockets.shedBy(config.Clients, func() bool {
		for _, f := range s.fronts {
			if f.CloseIdleConnection() {
				return true
			}
		}
		return false
	})
	return nil
}

// Close closes the listeners of a sidecar that is not to run.
func (s *Sidecar) Close() {
	for _, f := range s.fronts {
		f.Close()
	}
	s.end()
}

// Addr is where clients connect to the first listener.
func (s *Sidecar) Addr() string { return s.fronts[0].Addr() }

// Addrs is where clients connect, in the order of the configuration's listeners.
func (s *Sidecar) Addrs() (out []string) {
	for _, f := range s.fronts {
		out = append(out, f.Addr())
	}
	return out
}

// healthy tells whether the sidecar can serve. One service that has no list yet holds up neither the others nor this:
// it is enough that one has, or that none waits for its first.
func (s *Sidecar) healthy() bool {
	w := s.world.Load()
	for _, v := range w.services {
		if v.ready() {
			return true
		}
	}
	return len(w.services) == 0
}

// WaitReady waits until every service has a list, but no longer than a time.
func (s *Sidecar) WaitReady(ctx context.Context, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for name, v := range s.world.Load().services {
		select {
		case <-v.pool.Ready():
		case <-ctx.Done():
			return fmt.Errorf("service %s has no list of backends: %w", name, ctx.Err())
		}
	}
	return nil
}

// prepare makes all that a configuration needs and that is not there, and starts none of it. An error changes
// nothing.
func (s *Sidecar) prepare(app *config.App) (w *world, fresh []*service, err error) {
	seed := app.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	services := map[string]*service{}
	for i, cfg := range app.Services {
		old := s.services[cfg.Name]
		if old != nil && same(old.cfg, cfg) {
			services[cfg.Name] = old
			continue
		}
		if old != nil && reflect.DeepEqual(old.listSource(), cfg.Source) { // it begins with what its predecessor knows
			cfg.KnownList = old.roster.list()
		}
		v, err := newService(cfg, seed+uint64(i), s.with)
		if err != nil {
			return nil, nil, fmt.Errorf("service %s: %w", cfg.Name, err)
		}
		services[cfg.Name] = v
		fresh = append(fresh, v)
	}
	w, err = newWorld(app, services, s.world.Load(), s.with)
	return w, fresh, err
}

// adopt has a configuration take hold. It can't fail.
func (s *Sidecar) adopt(app *config.App, w *world) {
	if parts, err := app.Descriptors(); err == nil { // has been checked
		_ = s.with.sockets.divide(parts)
	}
	if s.with.memory != nil {
		if parts, err := app.Memory(); err == nil {
			_ = s.with.memory.divide(parts)
		}
	}
	s.with.relays.use(app)
	old := s.services
	s.app, s.services = app, w.services
	for name, v := range w.services {
		if old[name] == v {
			v.plug(app.Service(name).Source, s.log)
			continue
		}
		s.with.sockets.shedBy(name, v.up.CloseOldestIdle)
		if s.started {
			v.start(s.log)
		}
	}
	s.world.Store(w)
	for name, v := range old {
		if w.services[name] == v {
			continue
		}
		if w.services[name] == nil {
			s.with.sockets.shedBy(name, nil)
		}
		s.leaving[v] = true
		s.draining.Go(func() {
			v.drain(s.halt)
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.leaving, v)
		})
	}
}

var errFixed = errors.New("can't change while the program runs")

// Reload has a new configuration take hold as a whole, or not at all. Requests that are open are not touched: a
// service that is named no more takes nothing new and ends with its last answer. Listeners and process limits can't
// change. Where relays have brought the configuration that holds, only one that says otherwise of relays takes its place.
func (s *Sidecar) Reload(app *config.App) error {
	s.reloading <- struct{}{}
	defer func() { <-s.reloading }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if app.Kind != s.app.Kind {
		return fmt.Errorf("wording: %w", errFixed)
	}
	if app.Kind == config.Platform {
		// Only discovery changes; the rest of the file holds from the next start.
		if s.started {
			s.services[config.PlatformService].plug(app.Services[0].Source, s.log)
		}
		return nil
	}
	if reflect.DeepEqual(app.Distribution, s.app.Distribution) && !s.remote.version().IsZero() {
		return errRemote
	}
	if err := fixed(s.app, app); err != nil {
		return err
	}
	return s.take(app)
}

// take has a configuration take hold; s.mu is held.
func (s *Sidecar) take(app *config.App) error {
	w, _, err := s.prepare(app)
	if err != nil {
		return err
	}
	select {
	case <-s.ended:
		return errEnding
	default:
	}
	s.adopt(app, w)
	return nil
}

// Trace has every service log its module's figures for some time.
func (s *Sidecar) Trace(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		v.pool.Trace(span)
	}
}

// Run serves until the context ends, then finishes what it has taken.
func (s *Sidecar) Run(ctx context.Context) error {
	s.mu.Lock()
	for _, v := range s.services {
		v.start(s.log)
	}
	s.with.relays.start()
	s.started = true
	s.mu.Unlock()
	defer s.end()
	var parts sync.WaitGroup
	defer parts.Wait()
	if s.with.paced {
		watch, unwatch := context.WithCancel(ctx)
		defer unwatch()
		parts.Go(func() { s.watchStart(watch) })
	}
	served := make(chan error, len(s.fronts))
	for _, f := range s.fronts {
		parts.Go(func() { served <- f.Serve() })
	}
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
	}
	s.mu.Lock() // no configuration takes hold from here on
	close(s.ended)
	longest := time.Duration(0)
	for _, v := range s.services {
		longest = max(longest, v.cfg.LongestDeadline())
	}
	told, window := time.Now(), min(longest, killAfter)+killLeeway
	cutoff := told.Add(window)
	for _, v := range s.services {
		v.pool.LimitDeadlines(cutoff)
	}
	for v := range s.leaving {
		v.pool.LimitDeadlines(cutoff)
	}
	s.mu.Unlock()
	var fronts sync.WaitGroup
	for _, f := range s.fronts {
		fronts.Go(func() {
			if err != nil { // one listener has failed: the rest end at once
				f.Close()
			} else {
				f.Drain(told.Add(time.Duration(servePart*float64(window))), cutoff, cutoff.Add(answerTime))
			}
		})
	}
	fronts.Wait()
	return err
}

// watchStart says in the log when the sidecar is ready, and until then now and then why it is not; and it has its start
// forgotten once it has lasted.
func (s *Sidecar) watchStart(ctx context.Context) {
	began, said := time.Now(), time.Now()
	look := time.NewTicker(readyPoll)
	defer look.Stop()
	lasted := time.NewTimer(record.StableAfter)
	defer lasted.Stop()
	for {
		select {
		case now := <-look.C:
			if s.healthy() {
				look.Stop()
				s.log.Info("ready", "after", now.Sub(began).Round(time.Millisecond), "earlier_starts", s.with.starts)
			} else if now.Sub(said) >= s.remind {
				said = now
				s.log.Warn("not ready", "for", now.Sub(began).Round(time.Millisecond), "no_list_of", s.world.Load().unlisted(), "earlier_starts", s.with.starts)
			}
		case <-lasted.C:
			if s.record != nil {
				if err := s.record.Clear(); err != nil {
					s.log.Warn("record of starts", "error", err)
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// end ends all services, those included that drain.
func (s *Sidecar) end() {
	s.halted()
	s.draining.Wait()
	var all sync.WaitGroup
	for _, v := range s.services {
		all.Go(v.end)
	}
	all.Wait()
	s.with.relays.end()
}

// resolver resolves the requests of one listener by the configuration that holds.
type resolver struct {
	of       *Sidecar
	listener string
}

// Resolve implements front.Resolver.
func (r *resolver) Resolve(req *http.Request) (front.Destination, *front.RequestError) {
	return r.of.world.Load().resolve(r.listener, req)
}
