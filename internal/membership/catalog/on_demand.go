package catalog

import (
	"context"
	"sync"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/start"
)

const (
	// A watch is held for between these times where nothing changes. A connection to the service
	// can fall silent, and nothing shows it but an answer that is overdue: changes meanwhile count
	// as notified 2 s after the hold. All replicas share one service, and watches that fall silent
	// together are opened anew as far apart as their holds end. Changes end all holds at once, so
	// each is drawn anew.
	minOnDemandHold = 6 * time.Second
	maxOnDemandHold = 14 * time.Second
	// onDemandTimeout is the timeout of an answer in addition to a watch's hold. The service works
	// through calls in turn, and what it has written counts as notified, whether or not its caller
	// still waits. So a call is not canceled because its turn comes late: another is opened beside
	// one that is overdue, since that may have fallen silent, and both are waited for. The service
	// itself rejects what has waited too long.
	onDemandTimeout = 10 * time.Second
	// watchOverdue is how long after its hold a watch is overdue: it is silent, or waits its turn.
	// What it misses counts as notified 2 s after its hold: the rest of them is for the next one's
	// answer, which may have to wait its turn too.
	watchOverdue = 500 * time.Millisecond
	// fullOverdue is after how long a call for the full list is overdue at first; doubled with each
	// that is.
	fullOverdue    = 1500 * time.Millisecond
	maxFullOverdue = 6 * time.Second

	maxOnDemandCalls = 8 // that are open at a time
	// firstRetryDelay is the delay after a first call that failed: the module knows of no list
	// then, and requests none.
	firstRetryDelay = 500 * time.Millisecond
)

// onDemand is a Client's work where all replicas call one service, when the module requests it. One
// goroutine owns it.
type onDemand struct {
	client *Client
	sink   membership.Sink
	calls  sync.WaitGroup
	ends   chan onDemandEnd
	// timer fires when the newest call is overdue, or when to call again without the module's
	// request.
	timer *time.Timer
	retry *retryTimer // decides when to call again after a rejection

	version       int64         // that stands; negative: there is none, or it is in doubt
	newest        int           // number of the newest call; the first has 1
	openCalls     int           // calls that have not ended
	lastTaken     int           // number of the call that brought the version that stands; 0: none has
	watch         int           // number of the call that watches; 0: none does
	fullOverdue   time.Duration // after which the next call for the full list is overdue
	awaitsRequest bool          // of the module
}

// onDemandEnd is the end of a call.
type onDemandEnd struct {
	number int
	from   int64 // the version that it was from
	list   *membership.List
	err    error
}

// runOnDemand is Run with Subscribe.
func (c *Client) runOnDemand(ctx context.Context, sink membership.Sink) {
	ctx, cancel := context.WithCancel(ctx)
	d := &onDemand{
		client: c, sink: sink, ends: make(chan onDemandEnd), timer: time.NewTimer(0),
		version: noVersion, fullOverdue: fullOverdue, awaitsRequest: c.cfg.AwaitFirstRequest,
	}
	d.resetRetry()
	defer d.calls.Wait()
	defer cancel()
	defer d.timer.Stop()
	// A replica that begins with a list begins with a watch from it. The full list and then a watch
	// are two calls in the same moment, which a service before which many start does not take: it
	// rejects the watch, and what changes before the next one counts as notified early.
	if d.awaitsRequest {
		d.version = c.cfg.KnownVersion
		d.timer.Stop()
	}
	for {
		select {
		case <-c.cfg.WatchRequested:
			if d.awaitsRequest { // otherwise a call is open
				d.call(ctx)
			}
		case <-d.timer.C:
			d.call(ctx)
		case end := <-d.ends:
			d.handleEnd(ctx, end)
		case <-ctx.Done():
			return
		}
	}
}

// call opens a watch from the version that stands or, where there is none, a call for the full
// list.
func (d *onDemand) call(ctx context.Context) {
	d.awaitsRequest = false
	d.retry.noteCall(time.Now())
	version, hold := d.version, time.Duration(0)
	overdue := d.fullOverdue
	if version >= 0 {
		hold = d.client.hold()
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
		case d.ends <- onDemandEnd{number: number, from: version, list: list, err: err}:
		case <-ctx.Done():
		}
	})
}

// handleEnd handles the end of a call. The newest call decides what follows; an older one that is
// answered after all may bring an update.
func (d *onDemand) handleEnd(ctx context.Context, end onDemandEnd) {
	d.openCalls--
	isNewest := end.number == d.newest
	if end.number == d.watch {
		d.watch = 0
	}
	if end.err != nil {
		if isNewest { // otherwise another has been opened beside it
			d.fail(end.err)
		}
		return
	}
	d.resetRetry()
	// Changes up to a version that stands already are no update, nor is a full list from before the
	// one that stands was called for. Any other full list is: a service that starts anew counts
	// anew.
	if end.list.Version >= d.version || end.list.Full && end.number > d.lastTaken {
		d.take(end)
	}
	if d.watch == 0 && (d.version >= 0 || isNewest) {
		d.fullOverdue = fullOverdue
		d.call(ctx)
	}
}

// fail handles the failure of the newest call. The module is notified, and requests the next call,
// except after a rejection: the service works on calls that it has rejected for their wait, so
// those who come back soon after keep it from those whose turn could still come.
func (d *onDemand) fail(err error) {
	d.client.log.Warn("discovery call failed", "error", err)
	d.client.tracker.Failed()
	result, retryAfter := outcomeOf(err)
	if result == start.Rejected {
		d.retry.noteRejection(time.Now(), retryAfter)
	} else {
		d.version = noVersion
	}
	d.timer.Stop()
	d.awaitsRequest = result != start.Rejected
	d.sink.UpdateFailed()
	switch {
	case result == start.Rejected:
		d.timer.Reset(time.Until(d.retry.due(false)))
	case d.lastTaken == 0 && !d.client.cfg.AwaitFirstRequest:
		d.timer.Reset(firstRetryDelay)
	}
}

// resetRetry has the backoffs after rejections begin anew.
func (d *onDemand) resetRetry() {
	d.retry = newRetryTimer(time.Now(), 0, onDemandBackoff, d.client.random)
}

// take passes an answer on to the sink.
func (d *onDemand) take(end onDemandEnd) {
	if d.version >= 0 || end.list.Full || end.from < 0 { // otherwise the version stays in doubt
		d.version = end.list.Version
	}
	d.lastTaken = end.number
	d.sink.UpdateEndpoints(end.list)
	d.client.tracker.Confirmed(end.list.Version, 0)
}
