package proxy

import (
	"container/heap"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"fernlanding/logic"
)

const (
	sweepEvery = time.Second // idle connections to backends are looked over
	// An attempt's time-out at the end of the request's time is the module's to answer and to learn from;
	// this much later the request is failed whatever the module says.
	expireAfter = 10 * time.Millisecond
)

// clock gives the module's time: microseconds that begin at the Unix time of the start and then follow the
// monotonic clock. Unix times that discovery gives compare with it, and a step of the wall clock does not.
type clock struct{ start time.Time }

func (c clock) now() int64           { return c.at(time.Now()) }
func (c clock) at(t time.Time) int64 { return c.start.UnixMicro() + t.Sub(c.start).Microseconds() }
func (c clock) time(micros int64) time.Time {
	return c.start.Add(time.Duration(micros-c.start.UnixMicro()) * time.Microsecond)
}

// request is one request that a client has handed over. The fields above answer are set before the loop
// gets it; those below belong to the loop.
type request struct {
	logic.Request
	method string
	uri    string // path and query as they came
	host   string
	header http.Header // what goes on to the backend
	body   []byte
	answer chan answer // takes the one final answer without a wait

	over    bool
	sends   int
	current *attempt // the one that is out
	time    *timer   // its end, whatever the module says
}

// answer is a final answer.
type answer struct {
	status  int
	body    []byte
	content string
	after   int64 // of a refusal: come again after this, in microseconds; 0 for no word
}

// timer is an entry of the loop's timers: a token of the module's, or a request's time.
type timer struct {
	at    int64
	token string
	req   *request
	place int // in the heap; -1 once it is out
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.place = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1], last.place = nil, -1
	*h = old[:len(old)-1]
	return last
}

// loop owns the Balancer and the table of requests. All that happens comes to it through channels and is
// told to the module in that order; it carries the module's decisions out as its logic.Host.
type loop struct {
	bal    *logic.Balancer
	clock  clock
	pool   *backends
	zones  zones
	log    *slog.Logger
	events chan func()
	lists  chan listNews
	asked  chan struct{} // the module's word to subscribe
	listed chan struct{} // closed when there is a list

	reqs     map[string]*request // until answered and no attempt is out
	timers   timerHeap
	unsent   []*attempt // Sends that cannot be carried out; their outcomes follow the present event
	attempts sync.WaitGroup
	ctx      context.Context // of all attempts
	cutoff   int64           // after SIGTERM: nothing waits beyond this; else 0
	done     chan struct{}   // closed when the loop has ended
}

func newLoop(bal *logic.Balancer, c clock, pool *backends, z zones, log *slog.Logger) *loop {
	return &loop{bal: bal, clock: c, pool: pool, zones: z, log: log, events: make(chan func(), 256),
		lists: make(chan listNews), asked: make(chan struct{}, 1), listed: make(chan struct{}),
		reqs: map[string]*request{}, done: make(chan struct{})}
}

// run plays events until the context ends, and then until every attempt has.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	attempts, stop := context.WithCancel(ctx)
	defer l.attempts.Wait()
	defer stop()
	l.ctx = attempts
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		// What discovery told comes before all else: nothing may go to a backend known to drain.
		select {
		case n := <-l.lists:
			l.list(n)
			continue
		default:
		}
		select {
		case n := <-l.lists:
			l.list(n)
		case f := <-l.events:
			f()
		case <-alarm.C:
		case now := <-sweep.C:
			l.pool.sweep(now)
		case <-ctx.Done():
			return
		}
		l.settle()
		l.fire()
		if len(l.timers) > 0 {
			alarm.Reset(time.Until(l.clock.time(l.timers[0].at)))
		}
	}
}

// post hands an event to the loop; it is dropped when the loop has ended.
func (l *loop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

// settle tells the module of the Sends that could not be carried out. It may send again, so this goes on
// until none is left.
func (l *loop) settle() {
	for len(l.unsent) > 0 {
		a := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.outcome(a, result{status: logic.Moot})
	}
}

// fire plays the timers that are due.
func (l *loop) fire() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
		t := heap.Pop(&l.timers).(*timer)
		if t.req == nil {
			l.bal.Timer(now, l, t.token)
		} else {
			l.expire(t.req)
		}
		l.settle()
	}
}

// list applies what discovery said, to the connections first and then to the module.
func (l *loop) list(n listNews) {
	kind := logic.Delta
	if n.list == nil {
		l.bal.List(l.clock.now(), l, logic.Failed, nil)
		return
	}
	if n.list.full {
		kind = logic.Full
	}
	l.apply(kind, n.list)
	l.settle()
}

func (l *loop) apply(kind logic.ListKind, list *List) {
	l.pool.apply(kind != logic.Delta, list.endpoints)
	l.bal.List(l.clock.now(), l, kind, l.zones.servers(list.endpoints))
	select {
	case <-l.listed:
	default:
		if kind == logic.Full || len(list.endpoints) > 0 {
			close(l.listed)
		}
	}
}

// take hands a request to the module. It has until GiveUp to end it.
func (l *loop) take(r *request) {
	if l.reqs[r.ID] != nil { // two under one id could not be told apart
		r.answer <- answer{status: http.StatusBadRequest}
		return
	}
	if l.cutoff > 0 {
		r.GiveUp = min(r.GiveUp, l.cutoff)
	}
	l.reqs[r.ID] = r
	r.time = &timer{at: r.GiveUp + expireAfter.Microseconds(), req: r}
	heap.Push(&l.timers, r.time)
	l.bal.Request(l.clock.now(), l, r.Request)
}

// end gives a request its final answer, if it has none yet.
func (l *loop) end(r *request, ans answer) {
	if r.over {
		return
	}
	r.over = true
	r.answer <- ans
	l.forget(r)
}

func (l *loop) forget(r *request) {
	if r.over && r.current == nil {
		delete(l.reqs, r.ID)
		if r.time.place >= 0 {
			heap.Remove(&l.timers, r.time.place)
		}
	}
}

// withdraw ends a request that nobody waits for any more, and its attempt.
func (l *loop) withdraw(r *request, ans answer) {
	if r.over {
		return
	}
	l.end(r, ans)
	l.bal.Withdrawn(l.clock.now(), l, r.ID)
	if r.current != nil {
		r.current.stop()
	}
}

// expire fails a request that the module has not ended in its time.
func (l *loop) expire(r *request) {
	l.withdraw(r, answer{status: http.StatusGatewayTimeout})
}

// hurry is for SIGTERM: all requests end by cutoff, since the process may be killed soon after.
func (l *loop) hurry(cutoff int64) {
	l.cutoff = cutoff
	for _, r := range l.reqs {
		if r.time.place >= 0 && r.time.at > cutoff {
			r.time.at = cutoff
			heap.Fix(&l.timers, r.time.place)
		}
	}
}

// outcome tells the module how an attempt ended; a served request has its answer first.
func (l *loop) outcome(a *attempt, res result) {
	r := a.req
	if r.current == a {
		r.current = nil
	}
	if res.status == logic.OK {
		l.end(r, answer{status: http.StatusOK, body: res.body, content: res.content})
	}
	if res.fault != 0 {
		// The client's fault is no evidence against the backend, and another would say the same.
		l.end(r, answer{status: res.fault})
		res.status = logic.Moot
	}
	now := l.clock.now()
	l.bal.Outcome(now, l, logic.Outcome{ID: r.ID, Attempt: a.number, Status: res.status, Took: now - a.sent,
		Closed: r.over})
	l.forget(r)
}

// Send implements logic.Host.
func (l *loop) Send(id, server string, timeout int64) {
	r := l.reqs[id]
	if r == nil {
		l.log.Error("send for an unknown request", "id", id)
		return
	}
	now := l.clock.now()
	until := r.GiveUp
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	a := &attempt{req: r, number: r.sends, sent: now, deadline: l.clock.time(until), pool: l.pool}
	r.sends++
	var ok bool
	a.backend, a.addr, a.epoch, ok = l.pool.find(server)
	if !ok || r.over || r.current != nil { // never two attempts of a request at once
		l.unsent = append(l.unsent, a)
		return
	}
	a.ctx, a.stop = context.WithCancel(l.ctx)
	r.current = a
	l.attempts.Add(1)
	go func() {
		defer l.attempts.Done()
		res := a.run()
		a.stop()
		l.post(func() { l.outcome(a, res) })
	}()
}

// Refuse implements logic.Host.
func (l *loop) Refuse(id string, after int64) {
	if r := l.reqs[id]; r != nil {
		l.end(r, answer{status: http.StatusServiceUnavailable, after: after})
	}
}

// Fail implements logic.Host.
func (l *loop) Fail(id string) {
	if r := l.reqs[id]; r != nil {
		l.end(r, answer{status: http.StatusBadGateway})
	}
}

// SetTimer implements logic.Host.
func (l *loop) SetTimer(delay int64, token string) {
	heap.Push(&l.timers, &timer{at: l.clock.now() + delay, token: token})
}

// Watch implements logic.Host. Where the list is pushed the watch stands anyway.
func (l *loop) Watch() {
	select {
	case l.asked <- struct{}{}:
	default:
	}
}

// Log implements logic.Host.
func (l *loop) Log(line string) { l.log.Info(line) }
