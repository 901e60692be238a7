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

// relayFollower is the single follower of the relays that the sidecar's configuration names. It
// follows all endpoint lists from relays, and the remote configuration. It persists across
// configurations: services subscribe to lists and unsubscribe, and after a change of the relays a
// new follower resumes each list from its applied version and reads the remote configuration from
// the beginning. Without relays it does nothing.
type relayFollower struct {
	lists  *relayed.Lists
	remote *remoteConfiguration // subscribes to the remote configuration, if one is configured
	log    *slog.Logger
	dial   dialFunc // nil means the usual dialer

	mu       sync.Mutex // guards the fields below; held while the follower is replaced
	running  bool
	cfg      config.Distribution // its Name is set even if none is configured
	follower *follow.Follower    // nil if no relays are configured
	cancel   context.CancelFunc  // stops the running follower; nil if none runs
	done     chan struct{}       // closed when the running follower has ended
}

// newRelayFollower returns a follower without relays.
func newRelayFollower(log *slog.Logger, dial dialFunc, remote *remoteConfiguration) *relayFollower {
	return &relayFollower{lists: relayed.NewLists(log), remote: remote, log: log, dial: dial}
}

// configure sets the first configuration. It must be called before start.
func (r *relayFollower) configure(app *config.App) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configureLocked(app)
}

// reconfigure switches to the relays of a configuration. The context must not end before stop.
func (r *relayFollower) reconfigure(ctx context.Context, app *config.App) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.configureLocked(app) {
		r.runLocked(ctx)
	}
}

// configureLocked sets a configuration, and reports whether its distribution part has changed. If
// so, the previous follower has ended and the new follower does not run yet. r.mu must be held.
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

// followerName returns the name that identifies the sidecar among all followers. The name does not
// change with a restart.
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

// start runs the follower until stop. The context must not end before stop.
func (r *relayFollower) start(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = true
	r.runLocked(ctx)
}

// stop stops the follower and waits for its end.
func (r *relayFollower) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	r.stopLocked()
}

// runLocked runs the follower on a new goroutine, if start has been called. r.mu must be held.
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

// stopLocked stops the running follower, if any, and waits for its end. r.mu must be held.
func (r *relayFollower) stopLocked() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	<-r.done
	r.cancel = nil
}
