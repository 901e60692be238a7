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
	errImmutable           = errors.New("can't change while the process runs")
	errStopping            = errors.New("the sidecar or its relay follower is being stopped")
	errRemoteConfiguration = errors.New("the configuration comes from relays: " +
		"a file replaces it only if distribution.configuration or the relays differ")
)

// Reload applies a new configuration completely. On error it changes nothing. Open requests are not
// affected: a removed service accepts no new requests and stops after its last response. Listeners
// and process limits can't change. A configuration from a file replaces one from relays only if its
// distribution part differs.
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
		return errRemoteConfiguration
	}
	if err := checkReload(s.app, app); err != nil {
		return err
	}
	return s.replaceLocked(app)
}

// reloadPlatformLocked applies the source of endpoints in a platform file. The rest of the file
// takes effect at the next start. s.mu must be held.
func (s *Sidecar) reloadPlatformLocked(app *config.App) {
	if s.started {
		s.services[config.PlatformService].setSource(context.Background(), app.Services[0].Source, s.log)
	}
}

// reloadRemote applies a configuration from relays. The follower calls it. If another reload is in
// progress and stops the follower, that reload waits for the follower to end. reloadRemote then
// returns errStopping as soon as followerStopped is closed, since waiting would be a deadlock.
func (s *Sidecar) reloadRemote(app *config.App, followerStopped <-chan struct{}) error {
	select {
	case s.reloadSlot <- struct{}{}:
	case <-followerStopped:
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

// immutableError returns the error for a changed part of the configuration that can't change.
func immutableError(part string) error { return fmt.Errorf("%s: %w", part, errImmutable) }

// checkReload returns an error if two configurations differ in a part that can't change while the
// process runs.
func checkReload(from, to *config.App) error {
	switch {
	case to.Kind != from.Kind:
		return immutableError("wording")
	case !reflect.DeepEqual(to.Listeners, from.Listeners):
		return immutableError("listeners")
	case to.Process != from.Process || to.StateDir != from.StateDir || to.MaxListAge != from.MaxListAge:
		return immutableError("process")
	}
	return nil
}

// checkRemoteReload returns the errors of checkReload, and an error if two configurations differ in
// a part that a remote configuration can't change. A remote configuration can't replace the
// follower that delivers it. That includes the follower's name, which is derived from the
// application's name if none is configured.
func checkRemoteReload(from, to *config.App) error {
	if !reflect.DeepEqual(to.Distribution, from.Distribution) || followerName(to) != followerName(from) {
		return immutableError("distribution")
	}
	return checkReload(from, to)
}

// replaceLocked builds a configuration and makes it active. s.mu must be held.
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

// build builds everything that a configuration needs and that does not exist yet, without starting
// it. An error changes nothing.
func (s *Sidecar) build(app *config.App) (*activeConfig, error) {
	services, err := s.buildServices(app)
	if err != nil {
		return nil, err
	}
	return newActiveConfig(app, services, s.active.Load(), &s.shared)
}

// buildServices returns the services of a configuration by name. A service whose settings have not
// changed is the existing one, so that its pool keeps its learned state.
func (s *Sidecar) buildServices(app *config.App) (map[string]*service, error) {
	seed := app.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	services := map[string]*service{}
	for i, cfg := range app.Services {
		present := s.services[cfg.Name]
		if present != nil && equalExceptSource(present.cfg, cfg) {
			services[cfg.Name] = present
			continue
		}
		if present != nil && reflect.DeepEqual(present.currentSource(), cfg.Source) {
			cfg.KnownList = present.endpoints.snapshot() // the new pool starts with the list of the old one
		}
		built, err := newService(cfg, seed+uint64(i), &s.shared)
		if err != nil {
			return nil, &serviceError{service: cfg.Name, err: err}
		}
		services[cfg.Name] = built
	}
	return services, nil
}

// install makes the first configuration active. It must be called before Run.
func (s *Sidecar) install(app *config.App, next *activeConfig) {
	s.shared.setFloors(app)
	s.shared.relays.configure(app)
	s.app, s.services = app, next.services
	for name, svc := range next.services {
		s.shared.descriptors.setReclaimer(name, svc.upstream.CloseOldestIdle)
	}
	s.active.Store(next)
}

// swap replaces the active configuration, starts the new services and drains the replaced and
// removed ones. It can't fail. s.mu must be held.
func (s *Sidecar) swap(app *config.App, next *activeConfig) {
	ctx := context.Background() // services and followers run until they are stopped, independent of any caller
	s.shared.setFloors(app)
	s.shared.relays.reconfigure(ctx, app)
	previous := s.services
	s.app, s.services = app, next.services
	for name, svc := range next.services {
		if previous[name] == svc {
			svc.setSource(ctx, app.Service(name).Source, s.log)
			continue
		}
		s.shared.descriptors.setReclaimer(name, svc.upstream.CloseOldestIdle)
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
			s.shared.descriptors.setReclaimer(name, nil)
		}
		s.drainService(svc)
	}
}

// drainService drains a replaced or removed service in the background. s.mu must be held.
func (s *Sidecar) drainService(svc *service) {
	s.drainingServices[svc] = true
	s.drains.Go(func() {
		svc.drain(s.drainsCanceled)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.drainingServices, svc)
	})
}
