// Package catalog follows the platform's discovery: a list over HTTP/1.1, and a watch on it.
package catalog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/heard"
)

const (
	// How long a watch may wait for news. A connection to discovery can fall silent, and nothing shows it but
	// an answer that is overdue: what was to be told meanwhile counts as told 2 s after the wait. Where the list
	// is pushed, asking costs nothing; where it is asked, all proxies share one service.
	pushHold = 2 * time.Second
	askHold  = 10 * time.Second

	pushPatience = time.Second             // for an answer that need not wait, and beyond a watch's wait
	askPatience  = 1500 * time.Millisecond // the same where calls wait in turn
	retryFirst   = 50 * time.Millisecond   // after a failed call
	retryMost    = 500 * time.Millisecond  // at most
	maxList      = 4 << 20
)

// Client keeps a watch on the list and hands each answer on.
type Client struct {
	addr     string
	hold     time.Duration
	patience time.Duration
	log      *slog.Logger
	client   *http.Client
	cfg      Config
	heard    *heard.Heard
}

// Config is what a Client is told.
type Config struct {
	Address   string          // of the discovery, host:port
	Subscribe bool            // the list is asked for, at the module's word; otherwise it is pushed and the watch stands by itself
	First     bool            // with Subscribe: the module's word is needed at the start too
	Asked     <-chan struct{} // with Subscribe: the module's word
	Log       *slog.Logger
}

// New returns a client of a discovery.
func New(cfg Config) *Client {
	hold, patience := pushHold, pushPatience
	if cfg.Subscribe {
		hold, patience = askHold, askPatience
	}
	return &Client{addr: cfg.Address, hold: hold, patience: patience, log: cfg.Log, cfg: cfg, heard: heard.New(),
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true}}}
}

// Health implements membership.Source.
func (d *Client) Health() membership.Health { return d.heard.Health() }

// Run implements membership.Source: it watches until the context ends. The next watch follows its answer at once, lest changes in between
// count as told late. After a call that failed in a way that leaves the version in doubt, it begins with
// the full list. With Subscribe the module says when to ask, after a failure and, with First, at the start.
func (d *Client) Run(ctx context.Context, sink membership.Sink) {
	defer d.client.CloseIdleConnections()
	subscribe, first := d.cfg.Subscribe, d.cfg.Subscribe && d.cfg.First
	index, wait := int64(-1), retryFirst
	for subscribed := !first; ctx.Err() == nil; {
		if subscribe && !subscribed {
			select {
			case <-d.cfg.Asked:
			case <-ctx.Done():
				return
			}
		}
		list, err := d.call(ctx, index)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !list.Full && list.Index < index {
			err = fmt.Errorf("version went back from %d to %d", index, list.Index)
		}
		if err != nil {
			d.log.Warn("discovery", "error", err)
			d.heard.Fell()
			if !errors.Is(err, errBusy) {
				index = -1
			}
			subscribed = false
			if subscribe {
				sink.Missed() // the module says when to ask again
				continue
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			wait = min(2*wait, retryMost)
			continue
		}
		index, wait, subscribed = list.Index, retryFirst, true
		sink.Listed(list)
		d.heard.Spoke(index, 0)
	}
}

var errBusy = errors.New("discovery is busy or down")

// call asks for what is newer than index, or for the whole list if that is negative.
func (d *Client) call(ctx context.Context, index int64) (*membership.List, error) {
	u, patience := "http://"+d.addr+"/catalog/members", d.patience
	if index >= 0 {
		u += "?from=" + strconv.FormatInt(index, 10) + "&hold_ms=" + strconv.FormatInt(d.hold.Milliseconds(), 10)
		patience += d.hold
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
	if resp.StatusCode == http.StatusServiceUnavailable {
		return nil, errBusy
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
		return nil, fmt.Errorf("garbled list: %w", err)
	}
	return list, nil
}
