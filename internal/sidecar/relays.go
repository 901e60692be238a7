package sidecar

import (
	"context"
	"fernlanding/internal/config"
	"fernlanding/internal/distribution"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/membership/relayed"
	"log/slog"
	"net"
	"os"
	"reflect"
	"sync"
)

// relays is the sidecar's one follower of the relays that its configuration names, with all lists that come from them. It
// outlives configurations: services join and leave lists, and where other relays are named a new follower goes on from
// the versions in force. Without relays it does nothing.
type relays struct {
	lists *relayed.Lists
	// remote follows the application's configuration where it comes by relays.
	remote *remoteConfiguration
	log    *slog.Logger
	dial   func(ctx context.Context, network, address string) (net.Conn, error) // nil: the usual one

	mu       sync.Mutex // held while the follower changes
	running  bool
	cfg      config.Distribution // with the name filled in
	follower *follow.Follower    // nil: no relays are configured
	stop     context.CancelFunc  // ends the follower that runs; nil: none does
	done     chan struct{}       // closed when it has ended
}

func newRelays(log *slog.Logger, dial func(ctx context.Context, network, address string) (net.Conn, error), remote *remoteConfiguration) *relays {
	return &relays{lists: relayed.NewLists(log), remote: remote, log: log, dial: dial}
}

// use follows the relays of a configuration from here on.
func (r *relays) use(app *config.App) {
	cfg := app.Distribution
	cfg.Name = followerName(app)
	r.mu.Lock()
	defer r.mu.Unlock()
	if reflect.DeepEqual(cfg, r.cfg) {
		return
	}
	r.halt()
	r.cfg = cfg
	r.remote.reset(cfg.Configuration)
	if len(cfg.Relays) == 0 {
		r.follower = nil
		r.lists.SetFollower(nil)
		return
	}
	r.follower = follow.New(follow.Config{Name: cfg.Name, Kind: distribution.KindProxy, Relays: cfg.Relays, Dial: r.dial, Log: r.log})
	r.lists.SetFollower(r.follower)
	if cfg.Configuration != "" {
		r.follower.Subscribe(ConfigurationResource(cfg.Configuration), r.remote.version(), r.remote)
	}
	r.run()
}

// followerName is the sidecar's name among all followers, the same after a restart.
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

// start begins to follow.
func (r *relays) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = true
	r.run()
}

// end ends it and waits until nothing of it is left.
func (r *relays) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	r.halt()
}

// run starts the follower, once start has been called; r.mu is held.
func (r *relays) run() {
	if r.follower == nil || !r.running {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop, r.done = stop, make(chan struct{})
	r.remote.haltedBy(ctx.Done())
	go func(f *follow.Follower, done chan struct{}) {
		defer close(done)
		f.Run(ctx)
	}(r.follower, r.done)
}

// halt ends the follower that runs, if any; r.mu is held.
func (r *relays) halt() {
	if r.stop == nil {
		return
	}
	r.stop()
	<-r.done
	r.stop = nil
}
