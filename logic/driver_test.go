package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// driver plays legal events against one balancer.
type driver struct {
	t    *testing.T
	rnd  *rand.Rand
	c    *checker
	b    *Balancer
	now  int64
	next int
	open []string // requests that have an attempt in flight or are owed an answer
}

// restart replaces the balancer, as when its process restarts.
func (d *driver) restart() {
	b, err := New(d.c.settings, d.rnd.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	d.b, d.open = b, nil
	d.c.requests, d.c.listed, d.c.leftAt = map[string]*trackedRequest{}, map[string]Endpoint{}, map[string]int64{}
	d.c.queues, d.c.paused = map[string][]*trackedRequest{}, map[string]int64{}
	d.c.arrivals, d.c.retries, d.c.timers = nil, nil, nil
	d.snapshot(CachedSnapshot)
}

// entry returns an endpoint in a random state.
func (d *driver) entry(i int) Endpoint {
	s := Endpoint{ID: fmt.Sprintf("s%d", i), Zone: i % 2, Cell: i / 4, State: Ready, Weight: 1}
	switch d.rnd.IntN(6) {
	case 0:
		s.State = Draining
	case 1:
		s.StartedAt = d.now - d.rnd.Int64N(d.c.settings.SlowStartWindow)
	}
	return s
}

// driverEndpoints is how many endpoints a driver has.
const driverEndpoints = 16

// snapshot sends a complete list of random endpoints.
func (d *driver) snapshot(kind UpdateKind) {
	var list []Endpoint
	for i := range driverEndpoints {
		if d.rnd.IntN(5) > 0 {
			list = append(list, d.entry(i))
		}
	}
	d.c.list(kind, list)
	d.b.UpdateEndpoints(d.now, d.c, kind, list)
}

// delta sends one changed entry.
func (d *driver) delta() {
	e := d.entry(d.rnd.IntN(driverEndpoints))
	if _, known := d.c.listed[e.ID]; known && d.rnd.IntN(4) == 0 {
		e.State = Removed
	}
	d.c.list(Delta, []Endpoint{e})
	d.b.UpdateEndpoints(d.now, d.c, Delta, []Endpoint{e})
}

// request submits a random request.
func (d *driver) request() {
	d.next++
	r := Request{
		ID: fmt.Sprintf("r%d", d.next), Class: d.rnd.IntN(len(d.c.settings.Classes)),
		Tenant: d.rnd.IntN(len(d.c.settings.Tenants) + 1), ClientDeadline: d.now + 1000 + d.rnd.Int64N(1_500_000),
	}
	if n := d.rnd.IntN(8); n > 0 {
		r.Key = fmt.Sprint("key", n)
	}
	k := &trackedRequest{r: r}
	d.c.requests[r.ID] = k
	d.c.arrivals = append(d.c.arrivals, d.now)
	if d.c.settings.Classes[r.Class].Ordered {
		d.c.queues[r.Key] = append(d.c.queues[r.Key], k)
	}
	d.open = append(d.open, r.ID)
	d.b.Request(d.now, d.c, r)
	d.mustBeOwned(r.ID)
}

// mustBeOwned checks that a request is answered, in flight or waiting for its turn with a timer
// set: none may be left with nobody to end it.
func (d *driver) mustBeOwned(id string) {
	k := d.c.requests[id]
	hasTimer := slices.ContainsFunc(d.c.timers, func(t timer) bool {
		return t.due <= k.r.ClientDeadline && strings.Contains(t.token, id)
	})
	waits := len(k.attempts) == 0 && d.c.settings.Classes[k.r.Class].Ordered && k.r.Key != "" && hasTimer
	if !k.closed && len(k.pending) == 0 && !waits {
		d.c.breaks("rule 1: %s is neither answered nor in flight", id)
	}
}

// outcome ends a random attempt.
func (d *driver) outcome() {
	if len(d.open) == 0 {
		return
	}
	i := d.rnd.IntN(len(d.open))
	id := d.open[i]
	k := d.c.requests[id]
	if len(k.pending) == 0 {
		if k.closed {
			d.open = slices.Delete(d.open, i, i+1)
		}
		return
	}
	d.end(k, []Status{OK, OK, OK, Error, Overloaded, TimedOut, ConnectFailed, Reset, Canceled, NotSent}[d.rnd.IntN(10)])
	d.mustBeOwned(id)
}

// end ends the earliest attempt of a request that is in flight.
func (d *driver) end(k *trackedRequest, status Status) {
	n := k.pending[0]
	k.pending = k.pending[1:]
	t := k.attempts[n]
	t.done = true
	if d.c.settings.Classes[k.r.Class].Ordered && (status == TimedOut || status == Reset || status == Canceled) {
		d.c.paused[k.r.Key] = max(d.c.paused[k.r.Key], d.now+d.c.settings.OrderingDelay)
	}
	t.ran = (status != Overloaded || d.c.settings.RejectionMayHaveRun) && status != ConnectFailed && status != NotSent
	if status == OK {
		k.closed = true
	}
	d.b.Outcome(d.now, d.c, Outcome{
		ID: k.r.ID, Attempt: n, Status: status, Latency: d.now - t.sent, RequestDone: k.closed,
	})
}

// expire brings the timers and timeouts that are due, as the wire does at an attempt's or a
// client's deadline.
func (d *driver) expire() {
	for {
		i := slices.IndexFunc(d.c.timers, func(t timer) bool { return t.due <= d.now })
		if i < 0 {
			break
		}
		token := d.c.timers[i].token
		d.c.timers = slices.Delete(d.c.timers, i, i+1)
		d.b.Timer(d.now, d.c, token)
	}
	for _, id := range slices.Clone(d.open) {
		k := d.c.requests[id]
		for len(k.pending) > 0 && k.attempts[k.pending[0]].sent+k.attempts[k.pending[0]].timeout <= d.now {
			d.end(k, TimedOut)
			d.mustBeOwned(id)
		}
	}
}

// nextDue returns when the next timer or timeout is due.
func (d *driver) nextDue() int64 {
	due := d.now + 20_000
	for _, id := range d.open {
		for _, n := range d.c.requests[id].pending {
			due = min(due, d.c.requests[id].attempts[n].sent+d.c.requests[id].attempts[n].timeout)
		}
	}
	for _, t := range d.c.timers {
		due = min(due, t.due)
	}
	return max(due, d.now)
}

// step plays what is due and one random event.
func (d *driver) step() {
	d.now = min(d.now+d.rnd.Int64N(20_000), d.nextDue())
	d.c.now = d.now
	d.expire()
	switch x := d.rnd.IntN(1000); {
	case x < 450:
		d.request()
	case x < 900:
		d.outcome()
	case x < 930:
		d.delta()
	case x < 936:
		d.snapshot(Snapshot)
	case x < 942:
		d.b.UpdateEndpoints(d.now, d.c, UpdateFailed, nil)
	case x < 960 && len(d.c.timers) > 0: // a timer again that has expired
		d.b.Timer(d.now, d.c, "watch")
	case x < 975:
		d.cancel()
	case x < 985: // events that name nothing known
		d.b.Outcome(d.now, d.c, Outcome{ID: "nobody", Attempt: 3, Status: Error})
		d.b.Cancel(d.now, d.c, "nobody")
		d.b.Timer(d.now, d.c, "nothing")
		d.b.ResponseStarted(d.now, "nobody")
	case x < 988:
		d.restart()
	}
}

// cancel cancels a random request.
func (d *driver) cancel() {
	if len(d.open) == 0 {
		return
	}
	k := d.c.requests[d.open[d.rnd.IntN(len(d.open))]]
	k.closed = true
	d.b.Cancel(d.now, d.c, k.r.ID)
}
