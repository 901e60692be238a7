package fleetsim

import (
	"fernlanding/logic"
	"math"
	"strconv"
)

// copyOf is one copy of the decision module before a tier.
type copyOf struct {
	f     *fleet
	tier  int
	index int
	bal   *logic.Balancer
	calls map[string]*call
	dead  bool
	late  int64            // until it is told of a change, microseconds
	since map[string]int64 // and since when a backend takes nothing new
}

// call is a request that a copy has been handed.
type call struct {
	id string
	op *op
	lineage
	copy   *copyOf
	came   int64
	giveUp int64
	sends  int
	out    *attempt
	over   bool
	answer func(answer)
}

// lineage names what is to happen once: a client's request, or one call of one job.
type lineage struct {
	of  string
	key string
}

type answer struct {
	status answerStatus
	after  int64
}

type answerStatus int

const (
	served answerStatus = iota
	refused
	failed
)

// attempt is one Send.
type attempt struct {
	call   *call
	to     *backend
	number int
	sent   int64
	job    *job
	ended  bool
}

// end is the end of an attempt as it happens at the backend; the copy learns of it one way later.
func (a *attempt) end(status logic.Status) {
	if a.ended {
		return
	}
	a.ended = true
	f := a.call.copy.f
	f.forget(a)
	f.after(f.hop(), func() { a.call.copy.outcome(a, status) })
}

// giveUp is the end of an attempt that the copy stops waiting for.
func (a *attempt) giveUp(status logic.Status) {
	if a.ended {
		return
	}
	a.ended = true
	a.call.copy.f.forget(a)
	if a.job != nil {
		a.to.drop(a.job)
	}
	a.call.copy.outcome(a, status)
}

func (c *copyOf) host() logic.Host { return (*host)(c) }

// take hands a request to the copy.
func (c *copyOf) take(q *call) {
	f := c.f
	q.copy, q.came = c, f.now
	c.calls[q.id] = q
	f.at(q.giveUp, func() { c.withdraw(q) })
	c.bal.Request(f.now, c.host(), logic.Request{ID: q.id, Class: q.op.class, Tenant: q.op.tenant, Key: q.key, ClientDeadline: q.giveUp})
}

// withdraw ends a request that nobody waits for any more.
func (c *copyOf) withdraw(q *call) {
	if q.over || c.dead {
		return
	}
	c.bal.Cancel(c.f.now, c.host(), q.id)
	if !q.over {
		c.end(q, answer{status: failed})
	}
	if a := q.out; a != nil {
		a.giveUp(logic.Canceled)
	}
}

// end gives a request its one final answer.
func (c *copyOf) end(q *call, ans answer) {
	if q.over {
		c.f.audit.broke("two final answers")
		return
	}
	q.over = true
	c.forget(q)
	if c.f.now > q.giveUp {
		c.f.audit.broke("a final answer after its client gave up")
	}
	c.f.after(c.f.hop(), func() { q.answer(ans) })
}

func (c *copyOf) forget(q *call) {
	if q.over && q.out == nil {
		delete(c.calls, q.id)
	}
}

func (c *copyOf) outcome(a *attempt, status logic.Status) {
	q := a.call
	if q.out == a {
		q.out = nil
	}
	if c.dead {
		return
	}
	if status == logic.OK && !q.over {
		c.end(q, answer{status: served})
	}
	c.bal.Outcome(c.f.now, c.host(), logic.Outcome{
		ID: q.id, Attempt: a.number, Status: status,
		Latency: c.f.now - a.sent, RequestDone: q.over,
	})
	c.forget(q)
}

// kill ends the copy with its process; its callers' time runs out.
func (c *copyOf) kill() {
	c.dead = true
	for _, q := range sortedCalls(c.calls) {
		if a := q.out; a != nil && !a.ended {
			a.ended = true
			c.f.forget(a)
			if a.job != nil {
				a.to.drop(a.job)
			}
		}
		if !q.over {
			q.over = true
			c.f.after(c.f.hop(), func() { q.answer(answer{status: failed}) })
		}
	}
	c.calls = map[string]*call{}
}

// list tells the copy of backends.
func (c *copyOf) list(kind logic.UpdateKind, entries []logic.Endpoint) {
	if c.dead {
		return
	}
	for _, e := range entries {
		if e.State == logic.Ready {
			delete(c.since, e.ID)
		} else if _, known := c.since[e.ID]; !known {
			c.since[e.ID] = c.f.now
		}
	}
	c.bal.UpdateEndpoints(c.f.now, c.host(), kind, entries)
}

// host is a copy as the module sees it.
type host copyOf

// Forward implements logic.Host.
func (h *host) Forward(id, server string, timeout int64) {
	c, f := (*copyOf)(h), h.f
	q, b := c.calls[id], f.byID[server]
	if q == nil || q.over || q.out != nil || b == nil || b.tier != c.tier {
		f.audit.broke("a Send that cannot be: " + id + " to " + server)
		return
	}
	if at, drained := c.since[server]; drained && f.now-at > drainGrace {
		f.audit.broke("something new for " + server + " after its drain was told")
	}
	a := &attempt{call: q, to: b, number: q.sends, sent: f.now}
	q.sends++
	q.out = a
	f.figures.Attempts++
	f.out[a] = f.attemptSeq
	f.attemptSeq++
	f.after(f.hop(), func() { b.take(a) })
	until := q.giveUp
	if timeout > 0 {
		until = min(until, f.now+timeout)
	}
	if until < q.giveUp {
		f.at(until, func() { a.giveUp(logic.TimedOut) })
	} else {
		f.at(until-1, func() { a.giveUp(logic.TimedOut) }) // the module answers before its client has gone
	}
}

// Shed implements logic.Host.
func (h *host) Shed(id string, after int64) {
	c := (*copyOf)(h)
	q := c.calls[id]
	if q == nil {
		return
	}
	c.f.audit.refused(q)
	c.f.refusal(c, q)
	c.end(q, answer{status: refused, after: after})
}

// Fail implements logic.Host.
func (h *host) Fail(id string) {
	if q := h.calls[id]; q != nil {
		(*copyOf)(h).end(q, answer{status: failed})
	}
}

// SetTimer implements logic.Host.
func (h *host) SetTimer(delay int64, token string) {
	c := (*copyOf)(h)
	c.f.after(delay, func() {
		if !c.dead {
			c.bal.Timer(c.f.now, c.host(), token)
		}
	})
}

// WatchEndpoints implements logic.Host. Lists are pushed here.
func (h *host) WatchEndpoints() {}

// Log implements logic.Host.
func (h *host) Log(string) {}

// settings are what a copy of a tier is told.
func (f *fleet) settings(tier, index, siblings int) logic.Settings {
	d := f.day
	s := logic.Settings{
		Tier: tier, Replicas: siblings, ReplicaIndex: index, Zones: 1, MaxAttempts: 5,
		MaxRetryAfter: 2_000_000, DrainGrace: drainGrace, SlowStartMinCapacity: d.Tiers[tier].ColdFrom * 0.9,
		SlowStartWindow: int64(math.Ceil(float64(d.Tiers[tier].Warm.micros()) * 1.1)),
	}
	for _, c := range d.Classes {
		s.Classes = append(s.Classes, logic.Class{
			LatencyObjective: c.Aim.micros(), Deadline: c.Deadline.micros(), PriorityWeight: 1,
			LatePriorityFactor: c.Late, DedupWindow: c.Window.micros(), DedupScope: logic.DedupCell,
			Idempotency: map[string]logic.Idempotency{"safe": logic.Idempotent, "keyed": logic.IdempotentByKey, "unsafe": logic.NonIdempotent}[c.Repeat],
		})
	}
	total := 0.0
	for _, t := range d.Tenants {
		total += t.Share
	}
	for _, t := range d.Tenants {
		s.Tenants = append(s.Tenants, logic.Tenant{CapacityFraction: t.Share / total, Quota: t.Share / total * d.Quota * f.capacity})
	}
	return s
}

func (f *fleet) newCopy(tier, index, siblings int) *copyOf {
	f.copies++
	bal, err := logic.New(f.settings(tier, index, siblings), f.day.Seed*1_000_003+uint64(f.copies))
	if err != nil {
		panic("fleet: a checked day has bad settings: " + err.Error())
	}
	c := &copyOf{
		f: f, tier: tier, index: index, bal: bal, calls: map[string]*call{},
		since: map[string]int64{},
	}
	f.all = append(f.all, c)
	return c
}

func (f *fleet) newID(prefix string) string {
	f.ids++
	return prefix + strconv.Itoa(f.ids)
}
