package catalog

import (
	"context"
	"sync"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/start"
)

const (
	// A watch without a change is held for a random time between minOnDemandHold and
	// maxOnDemandHold. If a connection to the service stops delivering data, the overdue response
	// is the only symptom, and the platform considers the replica notified of a change 2 s after
	// the hold. All replicas share one service. If their watches stop responding together, random
	// holds spread the times at which the watches are reopened. A change ends all holds at once, so
	// a new random hold is drawn for each watch.
	minOnDemandHold = 6 * time.Second
	maxOnDemandHold = 14 * time.Second
	// onDemandTimeout is the time for a response in addition to a watch's hold. The service
	// processes calls in order, and the platform considers a written response delivered whether or
	// not its caller still waits. A late call is therefore not canceled. Instead a second call is
	// opened beside an overdue one, whose connection may be dead, and both are awaited. The service
	// itself rejects calls that have waited too long.
	onDemandTimeout = 10 * time.Second
	// watchOverdue is the time after its hold at which a watch is overdue. Its connection may be
	// dead, or the call is queued by the service. The platform considers the replica notified of a
	// change 2 s after the hold; the rest of the 2 s is for the response to the next watch, which
	// may be queued too.
	watchOverdue = 500 * time.Millisecond
	// fullOverdue is the time after which the first call for the full list is overdue. The time
	// doubles with each further call for the full list, up to maxFullOverdue, until one succeeds.
	fullOverdue    = 1500 * time.Millisecond
	maxFullOverdue = 6 * time.Second

	maxOnDemandCalls = 8 // open at a time
	// firstRetryDelay is the delay after a failed call if no call has succeeded yet. The balancer
	// then has no list and requests no call.
	firstRetryDelay = 500 * time.Millisecond
)

// onDemand is the state of a Client in the on-demand mode, in which all replicas call one service
// when the balancer requests it. One goroutine owns it.
type onDemand struct {
	client  *Client
	sink    membership.Sink
	calls   sync.WaitGroup
	results chan onDemandResult
	// timer fires when the newest call is overdue, or when the next call is due without a request
	// of the balancer.
	timer *time.Timer
	retry *retryTimer // decides when to call again after a rejection

	version       int64         // version of the list in use; negative if there is none or it is uncertain
	newest        int           // number of the newest call; the first call is 1
	openCalls     int           // calls that have not ended
	lastApplied   int           // number of the call that returned the list in use; 0 if none has
	watch         int           // number of the call that watches; 0 if none does
	fullOverdue   time.Duration // time after which the next call for the full list is overdue
	awaitsRequest bool          // the next call waits for a request of the balancer
}

// onDemandResult is the result of a call.
type onDemandResult struct {
	number int
	from   int64 // version that the call was made from
	list   *membership.List
	err    error
}

// runOnDemand is Run in the on-demand mode.
func (c *Client) runOnDemand(ctx context.Context, sink membership.Sink) {
	ctx, cancel := context.WithCancel(ctx)
	d := &onDemand{
		client: c, sink: sink, results: make(chan onDemandResult), timer: time.NewTimer(0),
		version: noVersion, fullOverdue: fullOverdue, awaitsRequest: c.cfg.AwaitFirstRequest,
	}
	d.resetRetry()
	defer d.calls.Wait()
	defer cancel()
	defer d.timer.Stop()
	// A replica that starts with a list starts with a watch from its version. A full read followed
	// by a watch would be two calls at the same moment. A service that many replicas call as they
	// start rejects the second call, and the platform would consider the replica notified of
	// changes that its next watch has yet to return.
	if d.awaitsRequest {
		d.version = c.cfg.KnownVersion
		d.timer.Stop()
	}
	for {
		select {
		case <-c.cfg.WatchRequested:
			if d.awaitsRequest { // otherwise a call is open, or due after a rejection
				d.call(ctx)
			}
		case <-d.timer.C:
			d.call(ctx)
		case result := <-d.results:
			d.handleResult(ctx, result)
		case <-ctx.Done():
			return
		}
	}
}

// call opens a watch from the version of the list in use, or reads the full list if there is no
// version. While maxOnDemandCalls calls are open, it only restarts the timer.
func (d *onDemand) call(ctx context.Context) {
	d.awaitsRequest = false
	d.retry.recordCall(time.Now())
	version, hold := d.version, time.Duration(0)
	overdue := d.fullOverdue
	if version >= 0 {
		hold = d.client.nextHold()
		overdue = hold + watchOverdue
	} else {
		d.fullOverdue = min(2*d.fullOverdue, maxFullOverdue)
	}
	d.timer.Reset(overdue)
	if d.openCalls == maxOnDemandCalls {
		return
	}
	d.newest++
	d.openCalls++
	number := d.newest
	d.watch = 0
	if version >= 0 {
		d.watch = number
	}
	d.calls.Go(func() {
		list, err := d.client.fetch(ctx, version, hold, d.client.timeout)
		select {
		case d.results <- onDemandResult{number: number, from: version, list: list, err: err}:
		case <-ctx.Done():
		}
	})
}

// handleResult handles the result of a call. The newest call decides what follows; an older call
// that succeeds late may still return an update.
func (d *onDemand) handleResult(ctx context.Context, result onDemandResult) {
	d.openCalls--
	isNewest := result.number == d.newest
	if result.number == d.watch {
		d.watch = 0
	}
	if result.err != nil {
		if isNewest { // otherwise a second call is open beside it
			d.handleFailure(result.err)
		}
		return
	}
	d.resetRetry()
	// A list with a lower version than the list in use is not an update, unless it is a full list
	// from a newer call than that list: a service that restarts counts its versions from the start.
	if result.list.Version >= d.version || result.list.Full && result.number > d.lastApplied {
		d.deliver(result)
	}
	if d.watch == 0 && (d.version >= 0 || isNewest) {
		d.fullOverdue = fullOverdue
		d.call(ctx)
	}
}

// handleFailure handles the failure of the newest call. The balancer is notified and requests the
// next call, except after a rejection. The service still processes calls that it has rejected
// because they waited too long, so an early retry would delay the calls that can still be answered
// in time.
func (d *onDemand) handleFailure(err error) {
	d.client.log.Warn("discovery call failed", "error", err)
	d.client.tracker.Failed()
	outcome, retryAfter := outcomeOf(err)
	if outcome == start.Rejected {
		d.retry.recordRejection(time.Now(), retryAfter)
	} else {
		d.version = noVersion
	}
	d.timer.Stop()
	d.awaitsRequest = outcome != start.Rejected
	d.sink.UpdateFailed()
	switch {
	case outcome == start.Rejected:
		d.timer.Reset(time.Until(d.retry.due(false)))
	case d.lastApplied == 0 && !d.client.cfg.AwaitFirstRequest:
		d.timer.Reset(firstRetryDelay)
	}
}

// resetRetry resets the backoff after rejections to its initial value.
func (d *onDemand) resetRetry() {
	d.retry = newRetryTimer(time.Now(), 0, onDemandBackoff, d.client.random)
}

// deliver passes the list of a result to the sink.
func (d *onDemand) deliver(result onDemandResult) {
	if d.version >= 0 || result.list.Full || result.from < 0 { // otherwise the version stays uncertain
		d.version = result.list.Version
	}
	d.lastApplied = result.number
	d.sink.UpdateEndpoints(result.list)
	d.client.tracker.Confirmed(result.list.Version, 0)
}
