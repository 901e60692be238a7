package logic

import "fmt"

// checker is a Host that checks the rules by its own books, which share nothing with the module.
type checker struct {
	settings Settings
	now      int64
	lines    []string
	requests map[string]*trackedRequest
	listed   map[string]Endpoint // what the list last said
	leftAt   map[string]int64    // when it first said that an endpoint drains or is removed
	broken   []string
	timers   []timer
	watches  int
	arrivals []int64                      // when requests came
	retries  []int64                      // when attempts beyond a request's first were sent
	queues   map[string][]*trackedRequest // of each key: what must keep its order, as it came
	paused   map[string]int64             // when a key may go on after an attempt that may still run
}

// timer is a timer that the module has set.
type timer struct {
	due   int64
	token string
}

// trackedRequest is what the checker knows of a request.
type trackedRequest struct {
	r        Request
	closed   bool
	attempts []*trackedAttempt
	pending  []int // attempts without outcome
}

// trackedAttempt is what the checker knows of an attempt.
type trackedAttempt struct {
	endpoint Endpoint
	sent     int64
	timeout  int64
	done     bool
	ran      bool // may have run
}

// reset forgets all but what the module did and broke, as a restart of the balancer does.
func (c *checker) reset() {
	c.requests, c.listed, c.leftAt = map[string]*trackedRequest{}, map[string]Endpoint{}, map[string]int64{}
	c.queues, c.paused = map[string][]*trackedRequest{}, map[string]int64{}
	c.arrivals, c.retries, c.timers = nil, nil, nil
}

// breaks records that a rule is broken.
func (c *checker) breaks(format string, a ...any) {
	c.broken = append(c.broken, fmt.Sprintf("at %d: ", c.now-start)+fmt.Sprintf(format, a...))
}

// Forward implements Host: it checks that the attempt is allowed.
func (c *checker) Forward(id, endpoint string, timeout int64) {
	c.lines = append(c.lines, fmt.Sprintf("%d send %s %s %d", c.now, id, endpoint, timeout))
	q := c.requests[id]
	if q == nil || q.closed {
		c.breaks("rule 1: %s sent after its end", id)
		return
	}
	to, known := c.listed[endpoint]
	if !known {
		c.breaks("%s sent to unknown %s", id, endpoint)
		return
	}
	if left, ok := c.leftAt[endpoint]; ok && c.now-left > c.settings.DrainGrace {
		c.breaks("rule 3: %s sent to %s, which left %d us ago", id, endpoint, c.now-left)
	}
	if len(q.attempts) >= c.settings.MaxAttempts {
		c.breaks("%s sent more than %d times", id, c.settings.MaxAttempts)
	}
	for _, t := range q.attempts {
		c.checkRetry(q, t, to)
	}
	if len(q.attempts) > 0 {
		c.checkBudget(id)
	}
	c.checkOrder(q)
	if timeout < 0 || c.now+timeout > q.r.ClientDeadline {
		c.breaks("rule 1: %s may run %d us past its time", id, c.now+timeout-q.r.ClientDeadline)
	}
	if timeout == 0 {
		timeout = q.r.ClientDeadline - c.now
	}
	q.pending = append(q.pending, len(q.attempts))
	q.attempts = append(q.attempts, &trackedAttempt{endpoint: to, sent: c.now, timeout: timeout, ran: true})
}

// checkBudget checks a retry against rule 6.
func (c *checker) checkBudget(id string) {
	c.retries = append(c.retries, c.now)
	within := func(times []int64) float64 {
		n := 0.0
		for _, at := range times {
			if at > c.now-c.settings.RetryBudgetWindow {
				n++
			}
		}
		return n
	}
	s := &c.settings
	if s.RetryBudgetWindow > 0 && within(c.retries) > s.RetryBudgetMin+s.RetryBudgetRatio*within(c.arrivals) {
		c.breaks("rule 6: %s sent beyond the budget", id)
	}
}

// checkOrder checks an attempt against rule 5.
func (c *checker) checkOrder(q *trackedRequest) {
	if !c.settings.Classes[q.r.Class].Ordered || q.r.Key == "" {
		return
	}
	for _, earlier := range c.queues[q.r.Key] {
		if earlier == q {
			break
		}
		if !earlier.closed || len(earlier.pending) > 0 {
			c.breaks("rule 5: %s sent before %s was over", q.r.ID, earlier.r.ID)
		}
	}
	if len(q.attempts) == 0 && c.now < c.paused[q.r.Key] {
		c.breaks("rule 5: %s sent %d us before the pause of its key was over", q.r.ID, c.paused[q.r.Key]-c.now)
	}
}

// checkRetry checks an attempt against an earlier one of its request by rule 2.
func (c *checker) checkRetry(q *trackedRequest, earlier *trackedAttempt, to Endpoint) {
	class := c.settings.Classes[q.r.Class]
	if !earlier.done {
		c.breaks("%s has two attempts in flight", q.r.ID)
	}
	if !earlier.ran || class.Idempotency == Idempotent {
		return
	}
	sameScope := class.DedupScope == DedupTier || class.DedupScope == DedupZone && earlier.endpoint.Zone == to.Zone ||
		class.DedupScope == DedupCell && earlier.endpoint.Cell == to.Cell
	if class.Idempotency == NonIdempotent || !sameScope || c.now-earlier.sent > class.DedupWindow {
		c.breaks("rule 2: %s of class %d sent again after it may have run", q.r.ID, q.r.Class)
	}
}

// Shed implements Host: it checks rule 2, and rule 1 as close does.
func (c *checker) Shed(id string, _ int64) {
	c.lines = append(c.lines, fmt.Sprintf("%d shed %s", c.now, id))
	q := c.close(id)
	if q == nil {
		return
	}
	class := c.settings.Classes[q.r.Class]
	anywhere := class.Idempotency == IdempotentByKey && class.DedupScope == DedupTier
	for _, t := range q.attempts {
		if t.ran && class.Idempotency != Idempotent && !anywhere {
			c.breaks("rule 2: %s shed after it may have run", id)
		}
	}
}

// Fail implements Host.
func (c *checker) Fail(id string) {
	c.lines = append(c.lines, fmt.Sprintf("%d fail %s", c.now, id))
	c.close(id)
}

// close takes the final answer of a request and checks it against rule 1.
func (c *checker) close(id string) *trackedRequest {
	q := c.requests[id]
	if q == nil || q.closed {
		c.breaks("rule 1: %s answered twice", id)
		return nil
	}
	if c.now > q.r.ClientDeadline {
		c.breaks("rule 1: %s answered %d us late", id, c.now-q.r.ClientDeadline)
	}
	q.closed = true
	return q
}

// SetTimer implements Host.
func (c *checker) SetTimer(delay int64, token string) {
	c.timers = append(c.timers, timer{c.now + delay, token})
}

// Log implements Host.
func (c *checker) Log(string) {}

// WatchEndpoints implements Host.
func (c *checker) WatchEndpoints() { c.watches++ }

// list records what an update says, as the wire's page words it.
func (c *checker) list(kind UpdateKind, entries []Endpoint) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		c.listed[e.ID] = e
		if e.State == Ready {
			delete(c.leftAt, e.ID)
		} else if _, ok := c.leftAt[e.ID]; !ok {
			c.leftAt[e.ID] = c.now
		}
	}
	if kind == Delta {
		return
	}
	for id := range c.listed {
		if _, ok := c.leftAt[id]; !listed[id] && !ok {
			c.leftAt[id] = c.now
		}
	}
}
