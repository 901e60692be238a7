package catalog

import (
	"context"
	"fernlanding/internal/membership"
	"fernlanding/internal/start"
	"sync"
	"time"
)

const (
	// How long a watch may wait for news. A connection to the service can fall silent, and nothing shows it but an answer that is
	// overdue: what was to be told meanwhile counts as told 2 s after the wait. All proxies share one service, and watches that fall
	// silent together are opened anew as far apart as their waits end. Changes end all waits at once, so each is drawn anew.
	leastAskHold = 6 * time.Second
	mostAskHold  = 14 * time.Second
	// Where all proxies ask one service, it works through calls in turn, and what it has written counts as told, whether or not its
	// caller still waits. So a call is not given up because its turn comes late: another is opened beside one that is overdue, since
	// that may have fallen silent, and both are waited for. The service itself turns away what has waited too long.
	askPatience = 10 * time.Second // beyond a watch's wait
	// A watch whose answer is overdue by this is silent, or waits its turn. What it misses counts as told 2 s after its wait: the rest
	// of them is for the next one's answer, which may have to wait its turn as well.
	overdueAfter = 500 * time.Millisecond
	// The same for a call for the whole list, doubled with each that is overdue in turn.
	wholeOverdue     = 1500 * time.Millisecond
	mostWholeOverdue = 6 * time.Second
	mostAsks         = 8                      // calls that are open at a time
	firstAgain       = 500 * time.Millisecond // after a first call that broke off, where the module knows of no list and so asks for none
)

// asking is a Client's work where all proxies ask one service, at the module's word. One goroutine owns it.
type asking struct {
	*Client
	ctx     context.Context
	sink    membership.Sink
	calls   sync.WaitGroup
	ends    chan asked
	overdue *time.Timer

	index   int64         // the version that stands; negative: there is none, or it is in doubt
	opened  int           // calls so far; their numbers begin with 1
	open    int           // those of them that have not ended
	taken   int           // the one that brought the version that stands
	watch   int           // the one that watches; 0: none does
	late    time.Duration // after which the next call for the whole list is overdue
	retry   *retry        // decides when to call again where the service says when, or the module does not
	waiting bool          // for the module's word
}

// asked is how a call ended.
type asked struct {
	number int
	from   int64
	list   *membership.List
	err    error
}

// ask is Run with Subscribe.
func (d *Client) ask(ctx context.Context, sink membership.Sink) {
	ctx, cancel := context.WithCancel(ctx)
	a := &asking{Client: d, ctx: ctx, sink: sink, ends: make(chan asked), overdue: time.NewTimer(0), index: -1, late: wholeOverdue, waiting: d.cfg.AwaitFirstRequest}
	a.resetRetry()
	defer a.calls.Wait()
	defer cancel()
	defer a.overdue.Stop()
	// A copy that begins with a list begins with a watch from it. The whole list and then a watch are two calls in the same moment, which a service
	// before which many start does not take: it turns the watch away, and what changes before the next counts as told early.
	if a.waiting {
		a.index = d.cfg.KnownVersion
		a.overdue.Stop()
	}
	for {
		select {
		case <-d.cfg.WatchRequested:
			if a.waiting { // otherwise a call is open
				a.call()
			}
		case <-a.overdue.C:
			a.call()
		case e := <-a.ends:
			a.end(e)
		case <-ctx.Done():
			return
		}
	}
}

// call opens a watch from the version that stands or, where there is none, a call for the whole list.
func (a *asking) call() {
	a.waiting = false
	a.retry.call(time.Now())
	from, hold, due := a.index, time.Duration(0), a.late
	if from >= 0 {
		hold = a.hold()
		due = hold + overdueAfter
	} else {
		a.late = min(2*a.late, mostWholeOverdue)
	}
	a.overdue.Reset(due)
	if a.open == mostAsks {
		return
	}
	a.opened++
	a.open++
	number := a.opened
	if a.watch = 0; from >= 0 {
		a.watch = number
	}
	a.calls.Go(func() {
		list, err := a.fetch(a.ctx, from, hold, a.patience)
		select {
		case a.ends <- asked{number, from, list, err}:
		case <-a.ctx.Done():
		}
	})
}

// end takes a call's end. The newest call decides how it goes on; an older one that is answered after all may bring news.
func (a *asking) end(e asked) {
	a.open--
	newest := e.number == a.opened
	if e.number == a.watch {
		a.watch = 0
	}
	if e.err != nil {
		if newest { // otherwise another has been opened beside it
			a.failed(e.err)
		}
		return
	}
	a.resetRetry()
	// Changes up to a version that stands already are no news, nor is a whole list from before the one that stands was asked for. Any
	// other whole list is: a service that starts anew counts anew.
	if e.list.Version >= a.index || e.list.Full && e.number > a.taken {
		a.take(e)
	}
	if a.watch == 0 && (a.index >= 0 || newest) {
		a.late = wholeOverdue
		a.call()
	}
}

// failed takes the failure of the newest call. The module is told. It says when to ask again, except after a refusal: the service works
// on calls that it has turned away for their wait, so those who come back soon after keep it from those whose turn could still come.
func (a *asking) failed(err error) {
	a.log.Warn("discovery", "error", err)
	a.stale.Failed()
	outcome, retryAfter := judge(err)
	if outcome == start.Rejected {
		a.retry.refuse(time.Now(), retryAfter)
	} else {
		a.index = -1
	}
	a.overdue.Stop()
	a.waiting = outcome != start.Rejected
	a.sink.UpdateFailed()
	switch {
	case outcome == start.Rejected:
		a.overdue.Reset(time.Until(a.retry.due(false)))
	case a.taken == 0 && !a.cfg.AwaitFirstRequest:
		a.overdue.Reset(firstAgain)
	}
}

// resetRetry has the waits after refusals begin anew.
func (a *asking) resetRetry() { a.retry = newRetry(time.Now(), 0, askBackoff, a.random) }

// take hands an answer on.
func (a *asking) take(e asked) {
	if a.index >= 0 || e.list.Full || e.from < 0 { // otherwise a doubt about the version stays
		a.index = e.list.Version
	}
	a.taken = e.number
	a.sink.UpdateEndpoints(e.list)
	a.stale.Confirmed(e.list.Version, 0)
}
