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
	// pushedHold is how long a watch is held where nothing changes. A connection to the agent can
	// fall silent, and nothing shows it but an answer that is overdue: changes meanwhile count as
	// notified 2 s after the hold. Calling an agent costs nothing.
	pushedHold    = 2 * time.Second
	pushedTimeout = time.Second // in addition to a watch's hold

	maxOpenCalls    = 10               // while no call is answered; the oldest is canceled for one more
	openCallTimeout = 10 * time.Second // of a call that may stand in a service's queue
	logInterval     = time.Second      // between log lines while no call is answered
	maxConnections  = 2 + maxOpenCalls // to discovery; a dial may outlive its call
)

// runPushed is Run where lists are pushed: it keeps a watch open, and after one that fails it
// retries until a call is answered. The next watch follows an answer at once, lest changes in
// between count as notified late.
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

// nextPushed returns the next answer: that of a watch from a version on, or that of the retries
// after the watch has failed; without a version, that of calls for the full list. It returns nil
// once the context has ended.
func (c *Client) nextPushed(ctx context.Context, version int64) *membership.List {
	r := &retries{
		client: c, version: version, ends: make(chan retryEnd),
		timer: newRetryTimer(time.Now(), c.silentInterval, pushedBackoff, c.random),
	}
	if version >= 0 { // otherwise what the agent has counts as notified from the first moment on
		list, err := c.fetch(ctx, version, c.hold(), c.timeout)
		if err == nil {
			return list
		}
		if ctx.Err() != nil {
			return nil
		}
		r.fail(err)
	}
	return r.run(ctx)
}

// retries is the calls that are made until one is answered, concurrently where the agent is silent.
// One goroutine owns it.
type retries struct {
	client     *Client
	timer      *retryTimer
	version    int64 // to watch from; negative: it is in doubt, and the full list is called for
	open       []*openCall
	ends       chan retryEnd
	calls      sync.WaitGroup
	lastLogged time.Time
}

// openCall is a call that has not ended.
type openCall struct{ cancel context.CancelFunc }

// retryEnd is the end of a call.
type retryEnd struct {
	call *openCall
	list *membership.List
	err  error
}

// run calls until a call is answered, and returns that answer; nil once the context has ended.
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
		case end := <-r.ends:
			if end.err == nil {
				return end.list
			}
			r.open = slices.DeleteFunc(r.open, func(call *openCall) bool { return call == end.call })
			r.fail(end.err)
		case <-ctx.Done():
			return nil
		}
	}
}

// call makes a call. At the bound of open calls, the oldest is canceled.
func (r *retries) call(ctx context.Context) {
	r.timer.noteCall(time.Now())
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
		case r.ends <- retryEnd{call: call, list: list, err: err}:
		case <-ctx.Done():
		}
	})
}

// fail notes the failure of a watch, or of a call after it.
func (r *retries) fail(err error) {
	now := time.Now()
	switch result, retryAfter := outcomeOf(err); result {
	case start.Rejected: // the version is not in doubt
		r.timer.noteRejection(now, retryAfter)
	case start.Failed:
		r.timer.noteFailure()
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
