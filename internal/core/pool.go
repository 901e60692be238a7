// Package core is the life of a request in one pool: it is taken, the module decides, an upstream carries each
// attempt out, and there is exactly one final answer. It knows no protocol.
//
// A Pool owns one Balancer, the table of requests and the timers. The owner is a lock and no goroutine: an event is
// played by whoever brings it, so that a request that is sent and served at once changes goroutines nowhere.
package core

import (
	"container/heap"
	"context"
	"errors"
	"fernlanding/internal/membership"
	"fernlanding/logic"
	"fmt"
	"log/slog"
	"sync"
	"time"
)

const (
	sweepEvery = time.Second // idle connections to backends are looked over
	// An attempt's time-out at the end of the request's time is the module's to answer and to learn from;
	// this much later the request is failed whatever the module says.
	expireAfter = 10 * time.Millisecond
	farAway     = time.Hour // an alarm that nothing waits for
)

// Pool is one service's requests, Balancer and backends. All that happens is told to the module in the order in
// which the lock was had; the module's decisions are carried out as its logic.Host.
type Pool struct {
	clock    Clock
	upstream Upstream
	zones    zones
	log      *slog.Logger
	sameID   time.Duration // of Config
	lag      int64         // of Settings
	classes  []logic.Class // the same
	asked    chan struct{} // the module's word to subscribe
	listed   chan struct{} // closed when there is a list

	mu      sync.Mutex
	bal     *logic.Balancer
	reqs    map[string]*Request // until answered and no attempt is out
	timers  timerHeap
	alarm   *time.Timer
	alarmAt int64
	unsent  []*Attempt // Sends that cannot be carried out; their outcomes follow the present event
	cutoff  int64      // after SIGTERM: nothing waits beyond this; else 0
	closed  bool       // takes no more requests
	callers sync.WaitGroup
	tracer  tracer
	traced  chan struct{} // a trace is to begin
}

// Config is what a pool is made of.
type Config struct {
	Settings logic.Settings
	Seed     uint64   // of all random draws
	Zones    []string // by the module's numbers
	Upstream Upstream
	Clock    Clock
	Log      *slog.Logger
	// DuplicateIDWait is how long a request waits for the end of an earlier one under its id. A caller that has given up an attempt may send the
	// request again before this pool has seen it leave. 0: it is rejected at once.
	DuplicateIDWait time.Duration
}

// New returns a pool with no list. Its time stands still until Run.
func New(cfg Config) (*Pool, error) {
	bal, err := logic.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &Pool{
		clock: cfg.Clock, upstream: cfg.Upstream, zones: newZones(cfg.Zones), log: cfg.Log, sameID: cfg.DuplicateIDWait, lag: cfg.Settings.MaxSendDelay, classes: cfg.Settings.Classes,
		asked: make(chan struct{}, 1), listed: make(chan struct{}), traced: make(chan struct{}, 1), bal: bal, reqs: map[string]*Request{},
		alarm: time.NewTimer(farAway),
	}, nil
}

// Run plays timers until the context ends. Then every request that is left is aborted, and Run returns when no
// attempt is out.
func (p *Pool) Run(ctx context.Context) {
	defer p.alarm.Stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	look := time.NewTicker(traceEvery)
	defer look.Stop()
	look.Stop()
	for {
		select {
		case <-p.traced:
			look.Reset(traceEvery)
		case now := <-look.C:
			if !p.trace(now) {
				look.Stop()
			}
		case <-p.alarm.C:
			p.play(func() { p.alarmAt = 0 })
		case now := <-sweep.C:
			p.upstream.CloseExpired(now)
		case <-ctx.Done():
			p.Close()
			p.play(func() {
				for _, r := range p.reqs {
					p.cancelLocked(r, Answer{Verdict: Canceled})
				}
			})
			p.callers.Wait()
			return
		}
	}
}

// play plays one event, and what follows from it.
func (p *Pool) play(event func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	event()
	p.follow()
}

// follow plays what an event has brought about, and sets the alarm for the next timer.
func (p *Pool) follow() {
	p.settle()
	p.fire()
	if len(p.timers) > 0 && (p.alarmAt == 0 || p.timers[0].at < p.alarmAt) {
		p.alarmAt = p.timers[0].at
		p.alarm.Reset(time.Until(p.clock.Time(p.alarmAt)))
	}
}

// settle tells the module of the Sends that could not be carried out. It may send again, so this goes on
// until none is left.
func (p *Pool) settle() {
	for len(p.unsent) > 0 {
		a := p.unsent[0]
		p.unsent = p.unsent[1:]
		p.outcome(a, AttemptResult{Status: logic.NotSent})
	}
}

// fire plays the timers that are due.
func (p *Pool) fire() {
	if len(p.timers) == 0 {
		return
	}
	for now := p.clock.Now(); len(p.timers) > 0 && p.timers[0].at <= now; {
		t := heap.Pop(&p.timers).(*timer)
		if t.req == nil {
			p.bal.Timer(now, (*host)(p), t.token)
		} else {
			p.cancelLocked(t.req, Answer{Verdict: Expired}) // the module has not ended it in its time
		}
		p.settle()
	}
}

// UpdateFromCache takes the list as it was last known, maybe long ago.
func (p *Pool) UpdateFromCache(list *membership.List) { p.list(logic.CachedSnapshot, list) }

// RestoreEndpoints takes the list as an earlier process knew it: see logic.RestoredSnapshot.
func (p *Pool) RestoreEndpoints(list *membership.List) { p.list(logic.RestoredSnapshot, list) }

// UpdateEndpoints implements membership.Sink.
func (p *Pool) UpdateEndpoints(list *membership.List) {
	if list.Full {
		p.list(logic.Snapshot, list)
	} else {
		p.list(logic.Delta, list)
	}
}

// UpdateFailed implements membership.Sink.
func (p *Pool) UpdateFailed() {
	p.play(func() { p.bal.UpdateEndpoints(p.clock.Now(), (*host)(p), logic.UpdateFailed, nil) })
}

// list applies a list, to the connections first and then to the module.
func (p *Pool) list(kind logic.UpdateKind, list *membership.List) {
	p.play(func() {
		p.upstream.UpdateEndpoints(kind != logic.Delta, list.Endpoints)
		p.bal.UpdateEndpoints(p.clock.Now(), (*host)(p), kind, p.zones.servers(list.Endpoints))
		select {
		case <-p.listed:
		default:
			if kind == logic.Snapshot || len(list.Endpoints) > 0 {
				close(p.listed)
			}
		}
	})
}

// Ready is closed when the pool has a list.
func (p *Pool) Ready() <-chan struct{} { return p.listed }

// WatchRequested tells when the module wants a subscription to the list opened.
func (p *Pool) WatchRequested() <-chan struct{} { return p.asked }

// Clock is the pool's time.
func (p *Pool) Clock() Clock { return p.clock }

// Do takes a request and returns its one final answer, which comes at GiveUp at the latest. Its attempts are
// carried out on the caller's goroutine, one at a time.
func (p *Pool) Do(r *Request) Answer {
	p.mu.Lock()
	p.awaitEarlier(r)
	if r.over { // withdrawn already
		p.mu.Unlock()
		return r.answer
	}
	if p.closed {
		p.mu.Unlock()
		return Answer{Verdict: NotAdmitted}
	}
	if p.reqs[r.ID] != nil { // two under one id could not be told apart
		p.mu.Unlock()
		return Answer{Verdict: Rejected}
	}
	p.callers.Add(1)
	defer p.callers.Done()
	p.take(r)
	for {
		p.follow()
		if r.next == nil && !r.over {
			r.news = make(chan struct{})
			p.mu.Unlock()
			<-r.news
			p.mu.Lock()
			r.news = nil
		}
		a := r.next
		if r.next = nil; a == nil {
			break
		}
		p.mu.Unlock()
		res := a.way.RoundTrip(a)
		p.mu.Lock()
		p.outcome(a, res)
	}
	p.mu.Unlock()
	return r.answer
}

// awaitEarlier waits a while for the end of an earlier request under the same id, and no longer than the request's client does. The pool is
// locked before and after it.
func (p *Pool) awaitEarlier(r *Request) {
	earlier := p.reqs[r.ID]
	if earlier == nil || p.sameID == 0 {
		return
	}
	if earlier.gone == nil {
		earlier.gone = make(chan struct{})
	}
	gone := earlier.gone
	p.mu.Unlock()
	defer p.mu.Lock()
	timeout := time.NewTimer(min(p.sameID, time.Until(p.clock.Time(r.ClientDeadline))))
	defer timeout.Stop()
	select {
	case <-gone:
	case <-timeout.C:
	}
}

// tell wakes the goroutine that waits for news of a request.
func (r *Request) tell() {
	if r.news != nil {
		select {
		case <-r.news:
		default:
			close(r.news)
		}
	}
}

// take hands a request to the module. It has until GiveUp to end it.
func (p *Pool) take(r *Request) {
	if p.cutoff > 0 {
		r.ClientDeadline = min(r.ClientDeadline, p.cutoff)
	}
	p.reqs[r.ID] = r
	r.time = timer{at: r.ClientDeadline + expireAfter.Microseconds(), req: r}
	heap.Push(&p.timers, &r.time)
	p.bal.Request(p.clock.Now(), (*host)(p), r.Request)
}

// Cancel ends a request that nobody waits for any more, and its attempt. It may come before Do.
func (p *Pool) Cancel(r *Request) {
	p.play(func() {
		if p.reqs[r.ID] == r {
			p.cancelLocked(r, Answer{Verdict: Canceled})
		} else if !r.over {
			r.over, r.answer = true, Answer{Verdict: Canceled}
		}
	})
}

func (p *Pool) cancelLocked(r *Request, ans Answer) {
	if r.over {
		return
	}
	p.end(r, ans)
	p.bal.Cancel(p.clock.Now(), (*host)(p), r.ID)
	if r.out != nil {
		r.out.Cancel()
	}
}

// end gives a request its final answer, if it has none yet.
func (p *Pool) end(r *Request, ans Answer) {
	if r.over {
		return
	}
	if r.over, r.answer = true, ans; ans.Verdict == Failed {
		r.answer.Response, r.last = r.last, nil
	}
	r.last.Close()
	r.last = nil
	r.tell()
	p.forget(r)
}

func (p *Pool) forget(r *Request) {
	if r.over && r.out == nil {
		delete(p.reqs, r.ID)
		if r.gone != nil {
			close(r.gone)
			r.gone = nil
		}
		if r.time.place >= 0 {
			heap.Remove(&p.timers, r.time.place)
		}
	}
}

// LimitDeadlines is for SIGTERM: all requests end by cutoff, since the process may be killed soon after.
func (p *Pool) LimitDeadlines(cutoff time.Time) {
	at := p.clock.At(cutoff)
	p.play(func() {
		p.cutoff = at
		for _, r := range p.reqs {
			if r.time.place >= 0 && r.time.at > at {
				r.time.at = at
				heap.Fix(&p.timers, r.time.place)
			}
		}
	})
}

// Close has the pool take no more requests; those that it has go on.
func (p *Pool) Close() { p.play(func() { p.closed = true }) }

// Stats counts what a pool holds.
type Stats struct {
	Requests int // those included of which only an attempt is left
	Timers   int
	Zones    int // names that have a number
}

// Stats returns the present counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{len(p.reqs), len(p.timers), len(p.zones)}
}

// outcome tells the module how an attempt ended; a served request has its answer first.
func (p *Pool) outcome(a *Attempt, res AttemptResult) {
	r := a.Request
	if r.out == a {
		r.out = nil
	}
	if res.InvalidRequest && p.bal.Unverified(a.server) {
		res.InvalidRequest = false // it may be another service that finds fault, and with what was not meant for it
	}
	switch {
	case r.over:
		res.Response.Close() // nobody waits for it
	case res.InvalidRequest:
		p.end(r, Answer{Verdict: Rejected, Response: res.Response})
	case res.Status == logic.OK:
		p.end(r, Answer{Verdict: Served, Response: res.Response})
	case res.Response != nil:
		r.last.Close()
		r.last = res.Response
	}
	if res.InvalidRequest {
		// The client's fault is no evidence against the backend, and another would say the same.
		res.Status = logic.NotSent
	}
	now := p.clock.Now()
	p.bal.Outcome(now, (*host)(p), logic.Outcome{
		ID: r.ID, Attempt: a.number, Status: res.Status, Latency: now - a.sent,
		RequestDone: r.over,
	})
	p.forget(r)
}

// host is a Pool as the module sees it, from inside an event.
type host Pool

var errNoRequest = errors.New("unknown request")

// Forward implements logic.Host.
func (h *host) Forward(id, server string, timeout int64) {
	r := h.reqs[id]
	if r == nil {
		h.log.Error("send", "id", id, "error", errNoRequest)
		return
	}
	now := h.clock.Now()
	until := r.ClientDeadline
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	a := &Attempt{Request: r, server: server, number: r.sends, sent: now, Deadline: h.clock.Time(until)}
	if r.sends > 0 && h.lag > 0 && h.classes[r.Class].Idempotency == logic.IdempotentByKey { // it may rest on what its backend recalls
		a.SendBy = h.clock.Time(now + h.lag)
	}
	r.sends++
	if !r.over && r.out == nil { // never two attempts of a request at once
		a.way = h.upstream.RoundTripper(server)
	}
	if a.way == nil {
		h.unsent = append(h.unsent, a)
		return
	}
	r.out, r.next = a, a
	r.tell()
}

// Shed implements logic.Host.
func (h *host) Shed(id string, after int64) {
	if r := h.reqs[id]; r != nil {
		h.tracer.causes[h.bal.ShedCause()]++
		(*Pool)(h).end(r, Answer{Verdict: Shed, RetryAfter: after})
	}
}

// Fail implements logic.Host.
func (h *host) Fail(id string) {
	if r := h.reqs[id]; r != nil {
		(*Pool)(h).end(r, Answer{Verdict: Failed})
	}
}

// SetTimer implements logic.Host.
func (h *host) SetTimer(delay int64, token string) {
	heap.Push(&h.timers, &timer{at: h.clock.Now() + delay, token: token})
}

// WatchEndpoints implements logic.Host. Where the list is pushed the watch stands anyway.
func (h *host) WatchEndpoints() {
	select {
	case h.asked <- struct{}{}:
	default:
	}
}

// Log implements logic.Host.
func (h *host) Log(line string) { h.log.Info(line) }
