package catalog

import (
	"context"
	"slices"
	"sync"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/start"
)

const (
	// pushedHold is how long a watch without a change is held. If a connection to the agent stops
	// delivering data, the overdue response is the only symptom, and the platform considers the
	// replica notified of a change 2 s after the hold. The hold is short because calls to an agent
	// cost nothing.
	pushedHold    = 2 * time.Second
	pushedTimeout = time.Second // in addition to a watch's hold

	maxOpenCalls    = 10               // while none has succeeded; one more cancels the oldest
	openCallTimeout = 10 * time.Second // for a call that a service may have queued
	logInterval     = time.Second      // between log lines while no call succeeds
	maxConnections  = 2 + maxOpenCalls // to discovery; a dial may outlive its call
)

// runPushed is Run in the pushed mode. It keeps a watch open, and retries after a failed watch
// until a call succeeds. The next watch follows a response at once, because the platform would
// consider changes in between delivered too late.
func (c *Client) runPushed(ctx context.Context, sink membership.Sink) {
	version := int64(noVersion)
	for ctx.Err() == nil {
		list := c.nextPushed(ctx, version)
		if list == nil {
			return
		}
		version = list.Version
		sink.UpdateEndpoints(list)
		c.tracker.Confirmed(version, 0)
	}
}

// nextPushed returns the next list. With a version it opens a watch from that version, and retries
// if the watch fails. Without a version it calls for the full list until a call succeeds. It
// returns nil once the context has ended.
func (c *Client) nextPushed(ctx context.Context, version int64) *membership.List {
	r := &retries{
		client: c, version: version, results: make(chan retryResult),
		timer: newRetryTimer(time.Now(), c.silentInterval, pushedBackoff, c.random),
	}
	if version >= 0 { // without a version, the replica counts as notified of the agent's list from the start
		list, err := c.fetch(ctx, version, c.nextHold(), c.timeout)
		if err == nil {
			return list
		}
		if ctx.Err() != nil {
			return nil
		}
		r.handleFailure(err)
	}
	return r.run(ctx)
}

// retries makes calls until one succeeds. Calls are concurrent while the agent is silent. One
// goroutine owns it.
type retries struct {
	client     *Client
	timer      *retryTimer
	version    int64 // version to watch from; negative if it is uncertain, which makes calls read the full list
	open       []*openCall
	results    chan retryResult
	calls      sync.WaitGroup
	lastLogged time.Time
}

// openCall is a call that has not ended.
type openCall struct{ cancel context.CancelFunc }

// retryResult is the result of a call.
type retryResult struct {
	call *openCall
	list *membership.List
	err  error
}

// run makes calls until one succeeds and returns its list. It returns nil once the context has
// ended.
func (r *retries) run(ctx context.Context) *membership.List {
	ctx, cancel := context.WithCancel(ctx)
	defer r.calls.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(r.timer.due(len(r.open) > 0)))
		select {
		case <-timer.C:
			r.call(ctx)
		case result := <-r.results:
			if result.err == nil {
				return result.list
			}
			r.open = slices.DeleteFunc(r.open, func(call *openCall) bool { return call == result.call })
			r.handleFailure(result.err)
		case <-ctx.Done():
			return nil
		}
	}
}

// call makes a call. At maxOpenCalls, it cancels the oldest open call.
func (r *retries) call(ctx context.Context) {
	r.timer.recordCall(time.Now())
	if len(r.open) == maxOpenCalls {
		r.open[0].cancel()
		r.open = r.open[1:]
	}
	callCtx, cancel := context.WithCancel(ctx)
	call, version := &openCall{cancel: cancel}, r.version
	r.open = append(r.open, call)
	r.calls.Go(func() {
		defer cancel()
		list, err := r.client.fetch(callCtx, version, 0, openCallTimeout)
		select {
		case r.results <- retryResult{call: call, list: list, err: err}:
		case <-ctx.Done():
		}
	})
}

// handleFailure handles the failure of a watch, or of a call after it.
func (r *retries) handleFailure(err error) {
	now := time.Now()
	switch outcome, retryAfter := outcomeOf(err); outcome {
	case start.Rejected: // the version stays certain
		r.timer.recordRejection(now, retryAfter)
	case start.Failed:
		r.timer.recordFailure()
		r.version = noVersion
	case start.TimedOut, start.Answered:
		r.version = noVersion
	}
	r.client.tracker.Failed()
	if now.Sub(r.lastLogged) >= logInterval {
		r.lastLogged = now
		r.client.log.Warn("discovery call failed", "error", err)
	}
}
