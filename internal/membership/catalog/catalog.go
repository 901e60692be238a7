// Package catalog follows the platform's discovery: a list over HTTP/1.1, and a watch on it.
package catalog

import (
	"context"
	"errors"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/staleness"
	"fernlanding/internal/start"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// A connection to discovery that is not up by then is given up. The library lets it go on when its call is given up, for as long as
	// the kernel tries, and counts it: a dozen calls into a cut link would bar all others for two minutes.
	dialTimeout = time.Second
	maxList     = 4 << 20

	mostRetryAfter = time.Hour // beyond which what a service asks for is no wait
)

// Client keeps a watch on the list and hands each answer on.
type Client struct {
	addr     string
	patience time.Duration
	hold     func() time.Duration // of the next watch
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	log      *slog.Logger
	client   *http.Client
	cfg      Config
	interval time.Duration // between calls of an agent that is silent, where lists are pushed
	random   *rand.Rand
	stale    *staleness.Tracker
}

// Config is what a Client is told.
type Config struct {
	Address           string          // of the discovery, host:port
	Subscribe         bool            // the list is asked for, at the module's word; otherwise it is pushed and the watch stands by itself
	AwaitFirstRequest bool            // with Subscribe: the module's word is needed at the start too
	WatchRequested    <-chan struct{} // with Subscribe: the module's word
	Rand              *rand.Rand      // draws how long watches and retries wait; for Run alone; nil: one of its own
	// Reads, where given, decides when to call: the list service is shared by many copies, which is not so where an agent
	// on the copy's own machine answers. Not with Subscribe.
	Scheduler    *start.PollScheduler
	KnownVersion int64                                                                // with Reads, or Subscribe and First: the version of the list that the copy begins with; negative: it has none, or it is in doubt
	KnownAge     time.Duration                                                        // with Known: how old it is
	Urgent       func() bool                                                          // with Reads: the copy can't serve, or its backends die, until there is a newer list
	Dial         func(ctx context.Context, network, address string) (net.Conn, error) // nil: the usual one
	Log          *slog.Logger
}

// New returns a client of a discovery.
func New(cfg Config) *Client {
	d := &Client{
		addr: cfg.Address, patience: pushPatience, hold: func() time.Duration { return pushHold },
		dial: (&net.Dialer{KeepAlive: -1}).DialContext, log: cfg.Log, cfg: cfg, interval: silentInterval, random: cfg.Rand, stale: staleness.New(),
	}
	if cfg.Dial != nil {
		d.dial = cfg.Dial
	}
	if d.random == nil {
		d.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Subscribe {
		d.patience = askPatience
		d.hold = func() time.Duration {
			return leastAskHold + time.Duration(d.random.Int64N(int64(mostAskHold-leastAskHold)))
		}
	}
	d.client = &http.Client{Transport: &http.Transport{DialContext: d.connect, MaxConnsPerHost: mostConns, DisableCompression: true}}
	return d
}

// connect opens a connection, or gives it up. The context is not that of the call, and has no end.
func (d *Client) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return d.dial(ctx, network, addr)
}

// Health implements membership.Source.
func (d *Client) Health() membership.Health { return d.stale.Health() }

// Run implements membership.Source: it watches until the context ends. After a call that failed in a way that leaves the version
// in doubt, it begins with the full list. With Reads these say when to call (see pace); with Subscribe the module does, after a
// failure and, with First, at the start (see ask); otherwise lists are pushed (see follow).
func (d *Client) Run(ctx context.Context, sink membership.Sink) {
	defer d.client.CloseIdleConnections()
	switch {
	case d.cfg.Scheduler != nil:
		d.pace(ctx, sink)
	case d.cfg.Subscribe:
		d.ask(ctx, sink)
	default:
		d.follow(ctx, sink)
	}
}

// fetch is call, with an answer refused whose changes lead to an older version than the one they follow.
func (d *Client) fetch(ctx context.Context, from int64, hold, patience time.Duration) (*membership.List, error) {
	list, err := d.call(ctx, from, hold, patience)
	if err == nil && !list.Full && list.Version < from {
		return nil, fmt.Errorf("%w: version went back from %d to %d", errSense, from, list.Version)
	}
	return list, err
}

// judge says how a call ended, and when the service asked to come back.
func judge(err error) (start.Outcome, time.Duration) {
	var busy *busyError
	switch {
	case err == nil:
		return start.Answered, 0
	case errors.As(err, &busy):
		return start.Rejected, busy.after
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return start.TimedOut, 0
	}
	return start.Failed, 0
}

// busyError is an answer that turns a call away.
type busyError struct {
	after time.Duration // that the service asked for (RFC 9110, section 10.2.3); 0: it did not
}

func (e *busyError) Error() string {
	if e.after > 0 {
		return fmt.Sprintf("discovery is busy or down, and asks to come back after %v", e.after)
	}
	return "discovery is busy or down"
}

// errSense is of answers that make no sense.
var errSense = errors.New("no sense in the answer")

// call asks for what is newer than index, or for the whole list if that is negative.
func (d *Client) call(ctx context.Context, index int64, hold, patience time.Duration) (*membership.List, error) {
	u := "http://" + d.addr + "/catalog/members"
	if index >= 0 {
		u += "?from=" + strconv.FormatInt(index, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
		patience += hold
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return nil, &busyError{retryAfter(resp.Header.Get("Retry-After"))}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask for the list: status %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, fmt.Errorf("read the list: %w", err)
	}
	list, err := membership.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("garbled list: %w: %w", errSense, err)
	}
	return list, nil
}

// retryAfter reads a Retry-After of seconds, whole or decimal; 0 for any other.
func retryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, mostRetryAfter.Seconds()) * float64(time.Second))
}
