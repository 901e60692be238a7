package sidecar

import (
	"log/slog"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

// duplicateIDWait is the time within which the disconnect of a client is detected, even after a
// stall; see core.Config.DuplicateIDWait.
const duplicateIDWait = 300 * time.Millisecond

// sharedResources is the state that services share.
type sharedResources struct {
	clock             core.Clock
	log               *slog.Logger
	descriptors       *allocator
	memory            *allocator
	requestMemory     *front.RequestMemory // of all fronts
	recentStarts      int                  // recorded recent starts of this sidecar, without the current one
	duplicateIDWait   time.Duration
	isPlatform        bool           // the sidecar is that of the platform, whose clients send each Request-Id once
	sharedListService bool           // lists come from a service that all replicas share, not from a local agent
	stateDir          string         // directory of cached lists; empty if lists are not cached
	maxListAge        time.Duration  // maximum age of a cached list; 0 means that lists are not cached
	relays            *relayFollower // follower of the relays, for lists that come from relays
	hollow            *HollowOptions // nil if the sidecar is not hollow
}

// newSharedResources returns shared resources without allocators.
func newSharedResources(
	app *config.App, log *slog.Logger, hollow *HollowOptions, relays *relayFollower,
) sharedResources {
	return sharedResources{
		clock:             core.NewClock(),
		log:               log,
		isPlatform:        app.Kind == config.Platform,
		sharedListService: app.Kind == config.Application,
		stateDir:          app.StateDir,
		maxListAge:        app.MaxListAge,
		relays:            relays,
		hollow:            hollow,
	}
}

// allocate creates the allocators with the totals of a configuration.
func (r *sharedResources) allocate(app *config.App) error {
	parts, err := app.Descriptors()
	if err != nil {
		return err
	}
	r.descriptors, err = newAllocator(r.clock, parts.Total)
	if err != nil {
		return err
	}
	bounds := app.RequestMemory()
	r.requestMemory = front.NewRequestMemory(bounds.Total, bounds.Unfinished)
	if app.Kind == config.Application {
		r.duplicateIDWait = duplicateIDWait
	}
	parts, err = app.Memory()
	if err != nil {
		return err
	}
	r.memory, err = newAllocator(r.clock, parts.Total)
	return err
}

// setFloors sets the floors of descriptors and memory to those of a configuration. The
// configuration has been validated, so there are no errors to return.
func (r *sharedResources) setFloors(app *config.App) {
	if parts, err := app.Descriptors(); err == nil {
		_ = r.descriptors.setFloors(parts)
	}
	if parts, err := app.Memory(); err == nil {
		_ = r.memory.setFloors(parts)
	}
}
