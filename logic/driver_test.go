package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// driver generates valid events for one balancer.
type driver struct {
	t        *testing.T
	rnd      *rand.Rand
	checker  *checker
	balancer *Balancer
	now      int64
	next     int
	open     []string // requests that have an attempt in flight or need an answer
}

// restart replaces the balancer, like a restart of its process.
func (d *driver) restart() {
	b, err := New(d.checker.settings, d.rnd.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	d.balancer, d.open = b, nil
	d.checker.reset()
	d.snapshot(CachedSnapshot)
}

// randomEndpoint returns an endpoint in a random state.
func (d *driver) randomEndpoint(i int) Endpoint {
	s := Endpoint{ID: fmt.Sprintf("s%d", i), Zone: i % 2, Cell: i / 4, State: Ready, Weight: 1}
	switch d.rnd.IntN(6) {
	case 0:
		s.State = Draining
	case 1:
		s.StartedAt = d.now - d.rnd.Int64N(d.checker.settings.SlowStartWindow)
	}
	return s
}

// driverEndpoints is the number of endpoints of a driver.
const driverEndpoints = 16

// snapshot sends a complete list of random endpoints.
func (d *driver) snapshot(kind UpdateKind) {
	var list []Endpoint
	for i := range driverEndpoints {
		if d.rnd.IntN(5) > 0 {
			list = append(list, d.randomEndpoint(i))
		}
	}
	d.checker.recordUpdate(kind, list)
	d.balancer.UpdateEndpoints(d.now, d.checker, kind, list)
}

// delta sends one changed entry.
func (d *driver) delta() {
	e := d.randomEndpoint(d.rnd.IntN(driverEndpoints))
	if _, known := d.checker.listed[e.ID]; known && d.rnd.IntN(4) == 0 {
		e.State = Removed
	}
	d.checker.recordUpdate(Delta, []Endpoint{e})
	d.balancer.UpdateEndpoints(d.now, d.checker, Delta, []Endpoint{e})
}

// request submits a random request.
func (d *driver) request() {
	d.next++
	r := Request{
		ID: fmt.Sprintf("r%d", d.next), Class: d.rnd.IntN(len(d.checker.settings.Classes)),
		Tenant: d.rnd.IntN(len(d.checker.settings.Tenants) + 1), ClientDeadline: d.now + 1000 + d.rnd.Int64N(1_500_000),
	}
	if n := d.rnd.IntN(8); n > 0 {
		r.Key = fmt.Sprint("key", n)
	}
	q := &trackedRequest{r: r}
	d.checker.requests[r.ID] = q
	d.checker.arrivals = append(d.checker.arrivals, d.now)
	if d.checker.settings.Classes[r.Class].Ordered {
		d.checker.queues[r.Key] = append(d.checker.queues[r.Key], q)
	}
	d.open = append(d.open, r.ID)
	d.balancer.Request(d.now, d.checker, r)
	d.checkAnsweredOrPending(r.ID)
}

// checkAnsweredOrPending checks that a request is answered, in flight or queued with a timer. No
// request may be left in a state that nothing ends.
func (d *driver) checkAnsweredOrPending(id string) {
	q := d.checker.requests[id]
	hasTimer := slices.ContainsFunc(d.checker.timers, func(t timer) bool {
		return t.due <= q.r.ClientDeadline && strings.Contains(t.token, id)
	})
	waits := len(q.attempts) == 0 && d.checker.settings.Classes[q.r.Class].Ordered && q.r.Key != "" && hasTimer
	if !q.closed && len(q.pending) == 0 && !waits {
		d.checker.addViolation("rule 1: %s is neither answered nor in flight nor queued with a timer", id)
	}
}

// outcome ends a random attempt.
func (d *driver) outcome() {
	if len(d.open) == 0 {
		return
	}
	i := d.rnd.IntN(len(d.open))
	id := d.open[i]
	q := d.checker.requests[id]
	if len(q.pending) == 0 {
		if q.closed {
			d.open = slices.Delete(d.open, i, i+1)
		}
		return
	}
	d.end(q, []Status{OK, OK, OK, Error, Overloaded, TimedOut, ConnectFailed, Reset, Canceled, NotSent}[d.rnd.IntN(10)])
	d.checkAnsweredOrPending(id)
}

// end ends the earliest attempt of a request that is still in flight.
func (d *driver) end(q *trackedRequest, status Status) {
	n := q.pending[0]
	q.pending = q.pending[1:]
	t := q.attempts[n]
	t.done = true
	settings := &d.checker.settings
	if settings.Classes[q.r.Class].Ordered && (status == TimedOut || status == Reset || status == Canceled) {
		d.checker.paused[q.r.Key] = max(d.checker.paused[q.r.Key], d.now+settings.OrderingDelay)
	}
	t.mayHaveRun = (status != Overloaded || settings.RejectionMayHaveRun) &&
		status != ConnectFailed && status != NotSent
	if status == OK {
		q.closed = true
	}
	d.balancer.Outcome(d.now, d.checker, Outcome{
		ID: q.r.ID, Attempt: n, Status: status, Latency: d.now - t.sent, RequestDone: q.closed,
	})
}

// expire delivers the timers and timeouts that are due, like a proxy at the deadline of an attempt
// or a client.
func (d *driver) expire() {
	for {
		i := slices.IndexFunc(d.checker.timers, func(t timer) bool { return t.due <= d.now })
		if i < 0 {
			break
		}
		token := d.checker.timers[i].token
		d.checker.timers = slices.Delete(d.checker.timers, i, i+1)
		d.balancer.Timer(d.now, d.checker, token)
	}
	for _, id := range slices.Clone(d.open) {
		q := d.checker.requests[id]
		for len(q.pending) > 0 && q.attempts[q.pending[0]].sent+q.attempts[q.pending[0]].timeout <= d.now {
			d.end(q, TimedOut)
			d.checkAnsweredOrPending(id)
		}
	}
}

// nextDue returns the time when the next timer or timeout is due.
func (d *driver) nextDue() int64 {
	due := d.now + 20_000
	for _, id := range d.open {
		for _, n := range d.checker.requests[id].pending {
			due = min(due, d.checker.requests[id].attempts[n].sent+d.checker.requests[id].attempts[n].timeout)
		}
	}
	for _, t := range d.checker.timers {
		due = min(due, t.due)
	}
	return max(due, d.now)
}

// step delivers what is due and one random event.
func (d *driver) step() {
	d.now = min(d.now+d.rnd.Int64N(20_000), d.nextDue())
	d.checker.now = d.now
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
		d.balancer.UpdateEndpoints(d.now, d.checker, UpdateFailed, nil)
	case x < 960 && len(d.checker.timers) > 0: // a repeated watch timer
		d.balancer.Timer(d.now, d.checker, "watch")
	case x < 975:
		d.cancel()
	case x < 985: // events with unknown names
		d.balancer.Outcome(d.now, d.checker, Outcome{ID: "nobody", Attempt: 3, Status: Error})
		d.balancer.Cancel(d.now, d.checker, "nobody")
		d.balancer.Timer(d.now, d.checker, "nothing")
		d.balancer.ResponseStarted(d.now, "nobody")
	case x < 988:
		d.restart()
	}
}

// cancel cancels a random request.
func (d *driver) cancel() {
	if len(d.open) == 0 {
		return
	}
	q := d.checker.requests[d.open[d.rnd.IntN(len(d.open))]]
	q.closed = true
	d.balancer.Cancel(d.now, d.checker, q.r.ID)
}
