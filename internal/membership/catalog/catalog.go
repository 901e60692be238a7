// Package catalog follows an endpoint list of the platform's discovery over HTTP/1.1. A client
// reads the full list and then watches (long polls) from its version on. A Client calls discovery
// in one of three modes:
//
//   - pushed (pushed.go, the default): an agent on the replica's machine receives the lists and
//     answers at once. A watch is always open. An agent that does not answer is called ten times
//     a second.
//   - on demand (on_demand.go, Config.OnDemand): all replicas call one service, which processes
//     their calls in order. The balancer decides when to call after a failure.
//   - scheduled (scheduled.go, Config.Scheduler): many replicas share one service, and package
//     start schedules the calls of each replica.
//
// In all modes a failed call changes nothing: the last list stays in use, the sink is notified of
// the failure in the modes in which the balancer acts on it, and the source counts as silent until
// a call succeeds.
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

// dialTimeout bounds the dial of one connection to discovery. net/http continues a dial whose call
// was canceled for as long as the kernel tries, and counts it towards the connection limit. Without
// the timeout, a dozen calls into a partition would block all other calls for two minutes.
const dialTimeout = time.Second

// Client is a membership.Source that follows discovery.
type Client struct {
	cfg        Config
	log        *slog.Logger
	httpClient *http.Client
	dial       func(ctx context.Context, network, addr string) (net.Conn, error)
	random     *rand.Rand
	tracker    *staleness.Tracker

	nextHold       func() time.Duration // returns the hold of the next watch
	timeout        time.Duration        // time for an answer, in addition to a watch's hold
	silentInterval time.Duration        // time between calls to a silent agent in pushed mode
}

// Config is the configuration of a Client.
type Config struct {
	Address string // host:port of discovery
	// OnDemand selects the on-demand mode. If it is false, the mode is scheduled with a Scheduler
	// and pushed without one.
	OnDemand bool
	// AwaitFirstRequest delays the first call until the balancer requests it. Requires OnDemand.
	AwaitFirstRequest bool
	// WatchRequested receives the balancer's requests for a call. Requires OnDemand.
	WatchRequested <-chan struct{}
	// Rand draws holds and backoffs. Only Run uses it. If Rand is nil, the Client creates its own.
	Rand *rand.Rand
	// Scheduler, if not nil, schedules the calls to a discovery that many replicas share. It must
	// be nil with OnDemand.
	Scheduler *start.PollScheduler
	// KnownVersion is the version of the list with which the replica starts. A negative value means
	// that there is no list or that its version is uncertain. Used with Scheduler, or with OnDemand
	// and AwaitFirstRequest.
	KnownVersion int64
	KnownAge     time.Duration // age of the list of KnownVersion; used with Scheduler
	// Urgent reports whether the replica can't serve, or its backends fail, until a newer list
	// arrives. Used with Scheduler.
	Urgent func() bool
	// Dial dials connections to discovery. If Dial is nil, the dialer is that of net/http without
	// keep-alive probes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *slog.Logger
}

// New returns a Client for the discovery of cfg.
func New(cfg Config) *Client {
	c := &Client{
		cfg: cfg, log: cfg.Log, dial: cfg.Dial, random: cfg.Rand, tracker: staleness.NewTracker(),
		nextHold: func() time.Duration { return pushedHold }, timeout: pushedTimeout, silentInterval: silentInterval,
	}
	if c.dial == nil {
		c.dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.OnDemand {
		c.timeout = onDemandTimeout
		c.nextHold = func() time.Duration {
			return minOnDemandHold + time.Duration(c.random.Int64N(int64(maxOnDemandHold-minOnDemandHold)))
		}
	}
	c.httpClient = &http.Client{Transport: &http.Transport{
		DialContext: c.connect, MaxConnsPerHost: maxConnections, DisableCompression: true,
	}}
	return c
}

// connect dials a connection with its own timeout. The context that net/http passes is not the
// context of the call and never ends.
func (c *Client) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return c.dial(ctx, network, addr)
}

// Health implements membership.Source.
func (c *Client) Health() membership.Health { return c.tracker.Health() }

// Run implements membership.Source. After a failure that leaves the version uncertain, the next
// call reads the full list.
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
