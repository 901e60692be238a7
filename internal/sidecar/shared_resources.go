package sidecar

import (
	"log/slog"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/core"
)

// duplicateIDWait is within how long a client that has left is noticed, also after a stall; see
// core.Config.DuplicateIDWait.
const duplicateIDWait = 300 * time.Millisecond

// sharedResources is what services share.
type sharedResources struct {
	clock             core.Clock
	log               *slog.Logger
	descriptors       *allocator
	memory            *allocator // nil on the platform
	memoryMB          float64    // of the process
	recentStarts      int        // of this sidecar, this one not included, as far as is known
	duplicateIDWait   time.Duration
	sharedListService bool           // lists come from a service of all replicas, not from an agent on this machine
	stateDir          string         // where lists are cached; empty: nowhere
	maxListAge        time.Duration  // from which on a cached list is not used; 0: none is cached
	relays            *relayFollower // where lists come from that a service follows by relays
	hollow            *HollowOptions // nil: a sidecar with listeners and connections
}

// newSharedResources returns what services share, without allocators.
func newSharedResources(
	app *config.App, log *slog.Logger, hollow *HollowOptions, relays *relayFollower,
) sharedResources {
	return sharedResources{
		clock:             core.NewClock(),
		log:               log,
		memoryMB:          app.Process.MemoryMB,
		sharedListService: app.Kind == config.Application,
		stateDir:          app.StateDir,
		maxListAge:        app.ListAge,
		relays:            relays,
		hollow:            hollow,
	}
}

// allocate makes the allocators, for the totals of a configuration.
func (r *sharedResources) allocate(app *config.App) error {
	parts, err := app.Descriptors()
	if err != nil {
		return err
	}
	r.descriptors, err = newAllocator(r.clock, parts.Total)
	if err != nil {
		return err
	}
	if app.Kind != config.Application {
		return nil
	}
	r.duplicateIDWait = duplicateIDWait
	parts, err = app.Memory()
	if err != nil {
		return err
	}
	r.memory, err = newAllocator(r.clock, parts.Total)
	return err
}

// setFloors divides descriptors and memory as a configuration says. The configuration has been
// checked, so that there is no error to return.
func (r *sharedResources) setFloors(app *config.App) {
	if parts, err := app.Descriptors(); err == nil {
		_ = r.descriptors.setFloors(parts)
	}
	if r.memory == nil {
		return
	}
	if parts, err := app.Memory(); err == nil {
		_ = r.memory.setFloors(parts)
	}
}
