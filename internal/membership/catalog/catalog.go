// Package catalog follows an endpoint list of the platform's discovery over HTTP/1.1: a full list,
// and watches (long polls) from its version on. A Client calls in one of three modes:
//
//   - pushed (pushed.go): an agent beside the replica has lists pushed to it and answers at once. A
//     watch is always open; a silent agent is called ten times a second. This is the default.
//   - on demand (on_demand.go, Config.Subscribe): all replicas call one service, which works
//     through their calls in turn. The module says when to call after a failure.
//   - scheduled (scheduled.go, Config.Scheduler): many replicas share one service, and package
//     start schedules the calls of each.
//
// In all of them a call that fails changes nothing: the last list stands, the sink is notified of
// the failure where the module acts on it, and the source counts as silent until a call is
// answered.
package catalog

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/staleness"
	"fernlanding/internal/start"
)

// dialTimeout is how long a connection to discovery may take to be established. net/http lets a
// dial continue when its call is canceled, for as long as the kernel tries, and counts it: a dozen
// calls into a partition would bar all others for two minutes.
const dialTimeout = time.Second

// Client is a membership.Source that follows discovery.
type Client struct {
	cfg        Config
	log        *slog.Logger
	httpClient *http.Client
	dial       func(ctx context.Context, network, addr string) (net.Conn, error)
	random     *rand.Rand
	tracker    *staleness.Tracker

	hold           func() time.Duration // of the next watch
	timeout        time.Duration        // of an answer, in addition to a watch's hold
	silentInterval time.Duration        // between calls to a silent agent, where lists are pushed
}

// Config is what a Client is made of.
type Config struct {
	Address string // of discovery, host:port
	// OnDemand has discovery called on demand; otherwise lists are pushed, or calls are scheduled
	// by Scheduler.
	OnDemand bool
	// AwaitFirstRequest has the first call wait for the module's request too; with Subscribe.
	AwaitFirstRequest bool
	// WatchRequested receives the module's requests for a call; with Subscribe.
	WatchRequested <-chan struct{}
	// Rand draws holds and backoffs. Run alone uses it. Nil: a source of its own.
	Rand *rand.Rand
	// Scheduler, if not nil, schedules the calls, for a discovery that many replicas share. Not
	// with Subscribe.
	Scheduler *start.PollScheduler
	// KnownVersion is the version of the list that the replica begins with, with Scheduler, or with
	// Subscribe and AwaitFirstRequest; negative: it has none, or its version is in doubt.
	KnownVersion int64
	KnownAge     time.Duration // of the list of KnownVersion; with Scheduler
	// Urgent reports that the replica can't serve, or its backends fail, until there is a newer
	// list; with Scheduler.
	Urgent func() bool
	// Dial dials connections to discovery; nil: as net/http does by default, without keep-alive
	// probes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *slog.Logger
}

// New returns a client of a discovery.
func New(cfg Config) *Client {
	c := &Client{
		cfg: cfg, log: cfg.Log, dial: cfg.Dial, random: cfg.Rand, tracker: staleness.NewTracker(),
		hold: func() time.Duration { return pushedHold }, timeout: pushedTimeout, silentInterval: silentInterval,
	}
	if c.dial == nil {
		c.dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.OnDemand {
		c.timeout = onDemandTimeout
		c.hold = func() time.Duration {
			return minOnDemandHold + time.Duration(c.random.Int64N(int64(maxOnDemandHold-minOnDemandHold)))
		}
	}
	c.httpClient = &http.Client{Transport: &http.Transport{
		DialContext: c.connect, MaxConnsPerHost: maxConnections, DisableCompression: true,
	}}
	return c
}

// connect dials a connection with a timeout of its own: the context is not that of the call, and
// has no end.
func (c *Client) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return c.dial(ctx, network, addr)
}

// Health implements membership.Source.
func (c *Client) Health() membership.Health { return c.tracker.Health() }

// Run implements membership.Source. After a call that failed in a way that leaves the version in
// doubt, it goes on with the full list.
func (c *Client) Run(ctx context.Context, sink membership.Sink) {
	defer c.httpClient.CloseIdleConnections()
	switch {
	case c.cfg.Scheduler != nil:
		c.runScheduled(ctx, sink)
	case c.cfg.OnDemand:
		c.runOnDemand(ctx, sink)
	default:
		c.runPushed(ctx, sink)
	}
}
