// Package catalog follows the platform's discovery: a list over HTTP/1.1, and a watch on it.
package catalog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/staleness"
	"fernlanding/internal/start"
)

const (
	// How long a watch may wait for news. A connection to discovery can fall silent, and nothing shows it but
	// an answer that is overdue: what was to be told meanwhile counts as told 2 s after the wait. Where the list
	// is pushed, asking costs nothing; where it is asked, all proxies share one service, and watches that fall
	// silent together are opened anew as far apart as their waits end. Changes end all waits at once, so each is
	// drawn anew.
	pushHold     = 2 * time.Second
	leastAskHold = 6 * time.Second
	mostAskHold  = 14 * time.Second

	pushPatience = time.Second // for an answer that need not wait, and beyond a watch's wait
	// A connection to discovery that is not up by then is given up. The library lets it go on when its call is given up, for as long as
	// the kernel tries, and counts it: a dozen calls into a cut link would bar all others for two minutes.
	dialTimeout = time.Second
	// Where the list is pushed, what the agent has counts as told, and a call that it got while it was silent is never
	// answered. So a silent agent is called this often, whatever became of the calls before: within the time in which what
	// drains may still be sent to.
	insistEvery = 100 * time.Millisecond
	sayEvery    = time.Second // a line in the log while it is silent
	mostCalls   = 2 + int(pushPatience/insistEvery)
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
	stale    *staleness.Tracker
}

// Config is what a Client is told.
type Config struct {
	Address   string          // of the discovery, host:port
	Subscribe bool            // the list is asked for, at the module's word; otherwise it is pushed and the watch stands by itself
	First     bool            // with Subscribe: the module's word is needed at the start too
	Asked     <-chan struct{} // with Subscribe: the module's word
	Rand      *rand.Rand      // with Subscribe: draws how long each watch waits; for Run alone
	// Reads, where given, decides when to call: the list service is shared by many copies, which is not so where an agent
	// on the copy's own machine answers. Not with Subscribe.
	Reads  *start.Reads
	Known  int64                                                                // with Reads, or Subscribe and First: the version of the list that the copy begins with; negative: it has none, or it is in doubt
	Age    time.Duration                                                        // with Known: how old it is
	Urgent func() bool                                                          // with Reads: the copy can't serve, or its backends die, until there is a newer list
	Dial   func(ctx context.Context, network, address string) (net.Conn, error) // nil: the usual one
	Log    *slog.Logger
}

// New returns a client of a discovery.
func New(cfg Config) *Client {
	d := &Client{addr: cfg.Address, patience: pushPatience, hold: func() time.Duration { return pushHold },
		dial: (&net.Dialer{KeepAlive: -1}).DialContext, log: cfg.Log, cfg: cfg, stale: staleness.New()}
	if cfg.Dial != nil {
		d.dial = cfg.Dial
	}
	if cfg.Subscribe {
		d.patience = askPatience
		d.hold = func() time.Duration {
			return leastAskHold + time.Duration(cfg.Rand.Int64N(int64(mostAskHold-leastAskHold)))
		}
	}
	d.client = &http.Client{Transport: &http.Transport{DialContext: d.connect, MaxConnsPerHost: mostCalls, DisableCompression: true}}
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

// Run implements membership.Source: it watches until the context ends. The next watch follows its answer at once, lest changes in between
// count as told late. After a call that failed in a way that leaves the version in doubt, it begins with
// the full list. With Subscribe the module says when to ask, after a failure and, with First, at the start (see ask); otherwise it
// insists at the start and after a failure.
func (d *Client) Run(ctx context.Context, sink membership.Sink) {
	defer d.client.CloseIdleConnections()
	if d.cfg.Reads != nil {
		d.pace(ctx, sink)
		return
	}
	if d.cfg.Subscribe {
		d.ask(ctx, sink)
		return
	}
	for index := int64(-1); ctx.Err() == nil; {
		var list *membership.List
		if index < 0 { // what the agent has counts as told from the first moment on
			if list = d.insist(ctx, index); list == nil {
				return
			}
		} else {
			var err error
			if list, err = d.call(ctx, index, d.hold(), d.patience); ctx.Err() != nil {
				return
			}
			if err == nil {
				err = wentBack(list, index)
			}
			if err != nil {
				d.log.Warn("discovery", "error", err)
				d.stale.Failed()
				if outcome, _ := judge(err); outcome != start.Busy {
					index = -1
				}
				if list = d.insist(ctx, index); list == nil {
					return
				}
			}
		}
		index = list.Index
		sink.Listed(list)
		d.stale.Confirmed(index, 0)
	}
}

// wentBack is the fault of changes up to an older version than the one they follow.
func wentBack(list *membership.List, index int64) error {
	if !list.Full && list.Index < index {
		return fmt.Errorf("version went back from %d to %d", index, list.Index)
	}
	return nil
}

// insist calls, again and again and without waiting for the calls before to end, until one is answered with sense, and returns that
// answer; nil: the context has ended. It goes on from a version, or asks for the whole list.
func (d *Client) insist(ctx context.Context, index int64) *membership.List {
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	lists := make(chan *membership.List)
	failed := make(chan error)
	next := time.NewTimer(0)
	defer next.Stop()
	for said := time.Now(); ; {
		select {
		case <-next.C:
			next.Reset(insistEvery)
			from := index
			calls.Go(func() {
				list, err := d.call(ctx, from, 0, d.patience)
				if err == nil {
					err = wentBack(list, from)
				}
				if err == nil {
					select {
					case lists <- list:
					case <-ctx.Done():
					}
					return
				}
				select {
				case failed <- err:
				case <-ctx.Done():
				}
			})
		case list := <-lists:
			return list
		case err := <-failed:
			d.stale.Failed()
			if outcome, _ := judge(err); outcome != start.Busy {
				index = -1
			}
			if now := time.Now(); now.Sub(said) >= sayEvery {
				said = now
				d.log.Warn("discovery", "error", err)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// pace is Run where package start decides when to call.
func (d *Client) pace(ctx context.Context, sink membership.Sink) {
	began, had, index := time.Now(), d.cfg.Known >= 0, d.cfg.Known
	next := d.cfg.Reads.First(began, had, d.cfg.Age)
	timer := time.NewTimer(next.After)
	defer timer.Stop()
	for calls := 1; ; calls++ {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		from := index
		if next.Whole {
			from = -1
		}
		list, err := d.call(ctx, from, next.Hold, next.Patience)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !list.Full && (from < 0 || list.Index < index) {
			err = fmt.Errorf("%w: changes up to version %d, version %d stands", errSense, list.Index, index)
		}
		if errors.Is(err, errSense) {
			d.cfg.Reads.Doubt()
		}
		outcome, after := judge(err)
		if err == nil && list.Full && len(list.Endpoints) == 0 {
			d.cfg.Reads.Emptied(time.Now())
		}
		switch {
		case err == nil && !had && len(list.Endpoints) == 0:
			// A copy that took this for its list would say that it can serve, and refuse all that comes.
			if list.Index != index {
				d.log.Warn("the list is empty; not ready", "version", list.Index, "calls", calls)
			}
			index = list.Index
			d.stale.Confirmed(index, 0)
		case err == nil:
			if index = list.Index; !had {
				had = true
				d.log.Info("first list", "after", time.Since(began).Round(time.Millisecond), "calls", calls, "endpoints", len(list.Endpoints))
			}
			sink.Listed(list)
			d.stale.Confirmed(index, 0)
		default:
			d.stale.Failed()
			sink.Missed()
		}
		next = d.cfg.Reads.Next(time.Now(), outcome, !had || d.cfg.Urgent(), after)
		if err != nil {
			d.log.Warn("discovery", "error", err, "list", had, "calls", calls, "next", next.After.Round(time.Millisecond), "whole", next.Whole, "why", next.Why)
		}
		timer.Reset(next.After)
	}
}

// judge says how a call ended, and when the service asked to come back.
func judge(err error) (start.Outcome, time.Duration) {
	var busy *busyError
	switch {
	case err == nil:
		return start.Answered, 0
	case errors.As(err, &busy):
		return start.Busy, busy.after
	case errors.Is(err, context.DeadlineExceeded):
		return start.GivenUp, 0
	}
	return start.Broken, 0
}

// busyError is an answer that turns a call away.
type busyError struct {
	after time.Duration // that the service asked for (RFC 9110, section 10.2.3); 0: it did not
}

func (e *busyError) Error() string { return "discovery is busy or down" }

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
