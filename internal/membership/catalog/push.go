package catalog

import (
	"context"
	"fernlanding/internal/membership"
	"fernlanding/internal/start"
	"sync"
	"time"
)

const (
	// How long a watch may wait for news. A connection to the agent can fall silent, and nothing shows it but an answer that is
	// overdue: what was to be told meanwhile counts as told 2 s after the wait. Asking an agent costs nothing.
	pushHold     = 2 * time.Second
	pushPatience = time.Second // beyond a watch's wait

	mostPending = 10               // calls that are open at a time while no call is answered; the oldest is given up for one more
	pendingTime = 10 * time.Second // for one that stands in a service's queue
	sayEvery    = time.Second      // a line in the log while no call is answered
	mostConns   = 2 + mostPending  // connections; a dial may outlive its call
)

// follow is Run where lists are pushed: it keeps a watch, and after one that fails it retries until a call is answered. The next
// watch follows its answer at once, lest changes in between count as told late.
func (d *Client) follow(ctx context.Context, sink membership.Sink) {
	index := int64(-1)
	for ctx.Err() == nil {
		list := d.nextPushed(ctx, index)
		if list == nil {
			return
		}
		index = list.Version
		sink.UpdateEndpoints(list)
		d.stale.Confirmed(index, 0)
	}
}

// nextPushed is the next answer: a watch's from a version on, or that of the calls which follow one that failed; with no version,
// that of calls for the whole list. nil: the context has ended.
func (d *Client) nextPushed(ctx context.Context, index int64) *membership.List {
	r := &retrying{Client: d, index: index, retry: newRetry(time.Now(), d.interval, pushBackoff, d.random), ends: make(chan pushEnd)}
	if index >= 0 { // otherwise what the agent has counts as told from the first moment on
		list, err := d.fetch(ctx, index, d.hold(), d.patience)
		if err == nil {
			return list
		}
		if ctx.Err() != nil {
			return nil
		}
		r.failed(err)
	}
	return r.run(ctx)
}

// retrying is the calls that are made, beside each other where the agent is silent, until one is answered.
type retrying struct {
	*Client
	retry   *retry
	index   int64 // the version to go on from; negative: it is in doubt, and the whole list is asked for
	pending []*pendingCall
	ends    chan pushEnd
	calls   sync.WaitGroup
	said    time.Time // when the log was last told
}

// pendingCall is a call that has not ended.
type pendingCall struct{ giveUp context.CancelFunc }

// pushEnd is how a call ended.
type pushEnd struct {
	call *pendingCall
	list *membership.List
	err  error
}

// run calls until a call is answered, and returns that answer; nil: the context has ended.
func (r *retrying) run(ctx context.Context) *membership.List {
	ctx, cancel := context.WithCancel(ctx)
	defer r.calls.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(r.retry.due(len(r.pending) > 0)))
		select {
		case <-timer.C:
			r.open(ctx)
		case end := <-r.ends:
			if end.err == nil {
				return end.list
			}
			r.ended(end)
		case <-ctx.Done():
			return nil
		}
	}
}

// open makes a call. One too many has the oldest given up.
func (r *retrying) open(ctx context.Context) {
	r.retry.call(time.Now())
	if len(r.pending) == mostPending {
		r.pending[0].giveUp()
		r.pending = r.pending[1:]
	}
	callCtx, giveUp := context.WithCancel(ctx)
	call, from := &pendingCall{giveUp}, r.index
	r.pending = append(r.pending, call)
	r.calls.Go(func() {
		defer giveUp()
		list, err := r.fetch(callCtx, from, 0, pendingTime)
		select {
		case r.ends <- pushEnd{call, list, err}:
		case <-ctx.Done():
		}
	})
}

// ended takes the end of a call that was not answered.
func (r *retrying) ended(end pushEnd) {
	for i, call := range r.pending {
		if call == end.call {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			break
		}
	}
	r.failed(end.err)
}

// failed takes the failure of a watch, or of a call after it.
func (r *retrying) failed(err error) {
	outcome, retryAfter := judge(err)
	switch outcome {
	case start.Rejected:
		r.retry.refuse(time.Now(), retryAfter)
	case start.Failed:
		r.retry.fail()
	}
	if outcome != start.Rejected {
		r.index = -1
	}
	r.stale.Failed()
	if now := time.Now(); now.Sub(r.said) >= sayEvery {
		r.said = now
		r.log.Warn("discovery", "error", err)
	}
}
