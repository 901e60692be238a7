package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"

	"fernlanding/internal/config"
)

var (
	errImmutable = errors.New("can't change while the program runs")
	errStopping  = errors.New("the sidecar is ending")
	errRemote    = errors.New("the configuration comes by relays: " +
		"its file is taken again once distribution.configuration or the relays differ")
)

// Reload applies a new configuration as a whole, or not at all, and then returns an error. Open
// requests are not affected: a service that is no longer named accepts nothing new and ends with
// its last answer. Listeners and process limits can't change. Where relays have brought the
// configuration in force, a file replaces it only if it says something else about relays.
func (s *Sidecar) Reload(app *config.App) error {
	s.reloadSlot <- struct{}{}
	defer func() { <-s.reloadSlot }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if app.Kind != s.app.Kind {
		return immutableError("wording")
	}
	if app.Kind == config.Platform {
		s.reloadPlatformLocked(app)
		return nil
	}
	if reflect.DeepEqual(app.Distribution, s.app.Distribution) && !s.remote.version().IsZero() {
		return errRemote
	}
	if err := checkReload(s.app, app); err != nil {
		return err
	}
	return s.replaceLocked(app)
}

// reloadPlatformLocked applies the discovery of the platform's file; the rest of the file applies
// from the next start on.
func (s *Sidecar) reloadPlatformLocked(app *config.App) {
	if s.started {
		s.services[config.PlatformService].setSource(context.Background(), app.Services[0].Source, s.log)
	}
}

// reloadRemote applies a configuration that relays have brought, unless followerStopped is closed
// before its turn comes: the follower that has brought it is to end.
func (s *Sidecar) reloadRemote(app *config.App, followerStopped <-chan struct{}) error {
	select {
	case s.reloadSlot <- struct{}{}:
	case <-followerStopped: // by a reload that waits for this one's follower
		return errStopping
	}
	defer func() { <-s.reloadSlot }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := checkRemoteReload(s.app, app); err != nil {
		return err
	}
	return s.replaceLocked(app)
}

// immutableError returns the error of a part of the configuration that can't change.
func immutableError(part string) error { return fmt.Errorf("%s: %w", part, errImmutable) }

// checkReload returns an error if a configuration differs from another in what can't change while
// the program runs.
func checkReload(from, to *config.App) error {
	switch {
	case to.Kind != from.Kind:
		return immutableError("wording")
	case !reflect.DeepEqual(to.Listeners, from.Listeners):
		return immutableError("listeners")
	case to.Process != from.Process || to.StateDir != from.StateDir || to.ListAge != from.ListAge:
		return immutableError("process")
	}
	return nil
}

// checkRemoteReload returns an error, beyond those of checkReload, if a configuration differs from
// another in what can't change by relays: the follower that brings a configuration can't be
// replaced by it, and its name follows from the application's where none is configured.
func checkRemoteReload(from, to *config.App) error {
	if !reflect.DeepEqual(to.Distribution, from.Distribution) || followerName(to) != followerName(from) {
		return immutableError("distribution")
	}
	return checkReload(from, to)
}

// replaceLocked builds a configuration and swaps it for the one in force; s.mu is held.
func (s *Sidecar) replaceLocked(app *config.App) error {
	next, err := s.build(app)
	if err != nil {
		return err
	}
	select {
	case <-s.stopping:
		return errStopping
	default:
	}
	s.swap(app, next)
	return nil
}

// build builds all that a configuration needs and that is not there, and starts none of it. An
// error changes nothing.
func (s *Sidecar) build(app *config.App) (*activeConfig, error) {
	services, err := s.buildServices(app)
	if err != nil {
		return nil, err
	}
	return newActiveConfig(app, services, s.active.Load(), &s.shared)
}

// buildServices returns the services of a configuration by name. One whose settings have not
// changed is the present one, with its pool and what that has learned.
func (s *Sidecar) buildServices(app *config.App) (map[string]*service, error) {
	seed := app.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	services := map[string]*service{}
	for i, cfg := range app.Services {
		present := s.services[cfg.Name]
		if present != nil && sameButSource(present.cfg, cfg) {
			services[cfg.Name] = present
			continue
		}
		if present != nil && reflect.DeepEqual(present.currentSource(), cfg.Source) {
			cfg.KnownList = present.endpoints.snapshot() // the new pool begins with what its predecessor knows
		}
		built, err := newService(cfg, seed+uint64(i), &s.shared)
		if err != nil {
			return nil, &serviceError{service: cfg.Name, err: err}
		}
		services[cfg.Name] = built
	}
	return services, nil
}

// install puts the first configuration in force, before Run.
func (s *Sidecar) install(app *config.App, next *activeConfig) {
	s.shared.setFloors(app)
	s.shared.relays.configure(app)
	s.app, s.services = app, next.services
	for name, svc := range next.services {
		s.shared.descriptors.setShedder(name, svc.upstream.CloseOldestIdle)
	}
	s.active.Store(next)
}

// swap puts a configuration in force in place of another, starts its new services and drains those
// that it replaces. It can't fail. s.mu is held.
func (s *Sidecar) swap(app *config.App, next *activeConfig) {
	ctx := context.Background() // services and followers end when they are stopped, and not with a caller
	s.shared.setFloors(app)
	s.shared.relays.reconfigure(ctx, app)
	previous := s.services
	s.app, s.services = app, next.services
	for name, svc := range next.services {
		if previous[name] == svc {
			svc.setSource(ctx, app.Service(name).Source, s.log)
			continue
		}
		s.shared.descriptors.setShedder(name, svc.upstream.CloseOldestIdle)
		if s.started {
			svc.start(ctx, s.log)
		}
	}
	s.active.Store(next)
	for name, svc := range previous {
		if next.services[name] == svc {
			continue
		}
		if next.services[name] == nil {
			s.shared.descriptors.setShedder(name, nil)
		}
		s.drainService(svc)
	}
}

// drainService drains a service that the configuration no longer names, in the background. s.mu is
// held.
func (s *Sidecar) drainService(svc *service) {
	s.drainingServices[svc] = true
	s.drains.Go(func() {
		svc.drain(s.drainsCanceled)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.drainingServices, svc)
	})
}
