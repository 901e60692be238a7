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
	sink     membership.Sink
	asked    <-chan struct{} // with a subscription: the module's word to open it
}

// New returns a client of the discovery at addr (host:port). With subscribe it is asked, and waits for a word on
// asked before it begins a subscription; otherwise lists are pushed and the watch stands by itself.
func New(addr string, subscribe bool, log *slog.Logger, sink membership.Sink, asked <-chan struct{}) *Client {
	hold, patience := pushHold, pushPatience
	if subscribe {
		hold, patience = askHold, askPatience
	}
	return &Client{addr: addr, hold: hold, patience: patience, log: log, sink: sink, asked: asked,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true}}}
}

// Run watches until the context ends. The next watch follows its answer at once, lest changes in between
// count as told late. After a call that failed in a way that leaves the version in doubt, it begins with
// the full list. With subscribe the module says when to ask, after a failure and, with first, at the start.
func (d *Client) Run(ctx context.Context, subscribe, first bool) {
	defer d.client.CloseIdleConnections()
	index, wait := int64(-1), retryFirst
	for subscribed := !first; ctx.Err() == nil; {
		if subscribe && !subscribed {
			select {
			case <-d.asked:
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
			if !errors.Is(err, errBusy) {
				index = -1
			}
			subscribed = false
			if subscribe {
				d.sink.Missed() // the module says when to ask again
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
		d.sink.Listed(list)
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
