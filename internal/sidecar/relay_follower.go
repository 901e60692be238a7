package sidecar

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"sync"

	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/membership/relayed"
)

// relayFollower is the sidecar's one follower of the relays that its configuration names, with all
// endpoint lists that come from them. It outlives configurations: services join and leave lists,
// and where other relays are named a new follower resumes from the versions in force. Without
// relays it does nothing.
type relayFollower struct {
	lists  *relayed.Lists
	remote *remoteConfiguration // follows the application's configuration where that comes by relays
	log    *slog.Logger
	dial   dialFunc // nil: as usual

	mu       sync.Mutex // guards what follows; held while the follower changes
	running  bool
	cfg      config.Distribution // with the name filled in
	follower *follow.Follower    // nil: no relays are configured
	cancel   context.CancelFunc  // ends the follower that runs; nil: none does
	done     chan struct{}       // closed when it has ended
}

// newRelayFollower returns a follower without relays.
func newRelayFollower(log *slog.Logger, dial dialFunc, remote *remoteConfiguration) *relayFollower {
	return &relayFollower{lists: relayed.NewLists(log), remote: remote, log: log, dial: dial}
}

// configure sets the first configuration, before start.
func (r *relayFollower) configure(app *config.App) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configureLocked(app)
}

// reconfigure follows the relays of a configuration from here on. The context is without an end.
func (r *relayFollower) reconfigure(ctx context.Context, app *config.App) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.configureLocked(app) {
		r.runLocked(ctx)
	}
}

// configureLocked sets a configuration, and reports whether it differs from the one before. Then
// the present follower has ended and the new one does not run yet. r.mu is held.
func (r *relayFollower) configureLocked(app *config.App) bool {
	cfg := app.Distribution
	cfg.Name = followerName(app)
	if reflect.DeepEqual(cfg, r.cfg) {
		return false
	}
	r.stopLocked()
	r.cfg = cfg
	r.remote.reset(cfg.Configuration)
	if len(cfg.Relays) == 0 {
		r.follower = nil
		r.lists.SetFollower(nil)
		return true
	}
	r.follower = follow.New(follow.Config{
		Name: cfg.Name, Kind: distribution.KindProxy, Relays: cfg.Relays, Dial: r.dial, Log: r.log,
	})
	r.lists.SetFollower(r.follower)
	if cfg.Configuration != "" {
		r.follower.Subscribe(ConfigurationResource(cfg.Configuration), r.remote.version(), r.remote)
	}
	return true
}

// followerName returns the sidecar's name among all followers, which is the same after a restart.
func followerName(app *config.App) string {
	if app.Distribution.Name != "" {
		return app.Distribution.Name
	}
	host := app.Host
	if host == "" {
		if name, err := os.Hostname(); err == nil {
			host = name
		}
	}
	name := app.Name + "@" + host
	return name[:min(len(name), distribution.MaxNameBytes)]
}

// start starts to follow, until stop. The context is without an end.
func (r *relayFollower) start(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = true
	r.runLocked(ctx)
}

// stop ends the follower and waits until nothing of it is left.
func (r *relayFollower) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	r.stopLocked()
}

// runLocked runs the follower on a goroutine of its own, if start has been called. r.mu is held.
func (r *relayFollower) runLocked(ctx context.Context) {
	if r.follower == nil || !r.running {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	r.cancel, r.done = cancel, make(chan struct{})
	r.remote.setFollowerStopped(ctx.Done())
	go func(follower *follow.Follower, done chan struct{}) {
		defer close(done)
		follower.Run(ctx)
	}(r.follower, r.done)
}

// stopLocked ends the follower that runs, if any. r.mu is held.
func (r *relayFollower) stopLocked() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	<-r.done
	r.cancel = nil
}
