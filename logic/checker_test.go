package logic

import "fmt"

// checker is a Host that checks the rules with its own records, independent of the state of the
// balancer.
type checker struct {
	settings         Settings
	now              int64
	actions          []string
	requests         map[string]*trackedRequest
	listed           map[string]Endpoint // latest listed entry
	unavailableSince map[string]int64    // when the list first had the endpoint as draining or removed
	violations       []string
	timers           []timer
	watches          int
	arrivals         []int64                      // arrival times of requests
	retries          []int64                      // sending times of attempts after the first of a request
	queues           map[string][]*trackedRequest // by key: requests of ordered classes in order of arrival
	paused           map[string]int64             // by key: end of the pause after an attempt that may still run
}

// timer is a timer set by the balancer.
type timer struct {
	due   int64
	token string
}

// trackedRequest is the checker's record of a request.
type trackedRequest struct {
	r        Request
	closed   bool
	attempts []*trackedAttempt
	pending  []int // attempts without an outcome
}

// trackedAttempt is the checker's record of an attempt.
type trackedAttempt struct {
	endpoint   Endpoint
	sent       int64
	timeout    int64
	done       bool
	mayHaveRun bool
}

// reset drops all records except the actions and violations, like a restart of the balancer.
func (c *checker) reset() {
	c.requests, c.listed, c.unavailableSince = map[string]*trackedRequest{}, map[string]Endpoint{}, map[string]int64{}
	c.queues, c.paused = map[string][]*trackedRequest{}, map[string]int64{}
	c.arrivals, c.retries, c.timers = nil, nil, nil
}

// addViolation records the violation of a rule.
func (c *checker) addViolation(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.now-start)+fmt.Sprintf(format, a...))
}

// Forward implements Host. It checks that the attempt is allowed.
func (c *checker) Forward(id, endpoint string, timeout int64) {
	c.actions = append(c.actions, fmt.Sprintf("%d send %s %s %d", c.now, id, endpoint, timeout))
	q := c.requests[id]
	if q == nil || q.closed {
		c.addViolation("rule 1: %s sent after its final answer", id)
		return
	}
	to, known := c.listed[endpoint]
	if !known {
		c.addViolation("%s sent to unknown endpoint %s", id, endpoint)
		return
	}
	if left, ok := c.unavailableSince[endpoint]; ok && c.now-left > c.settings.DrainGrace {
		c.addViolation("rule 3: %s sent to %s, which was draining or removed %d us ago", id, endpoint, c.now-left)
	}
	if len(q.attempts) >= c.settings.MaxAttempts {
		c.addViolation("%s sent more than the maximum of %d times", id, c.settings.MaxAttempts)
	}
	for _, t := range q.attempts {
		c.checkRetry(q, t, to)
	}
	if len(q.attempts) > 0 {
		c.checkBudget(id)
	}
	c.checkOrder(q)
	if timeout < 0 || c.now+timeout > q.r.ClientDeadline {
		c.addViolation("rule 1: timeout of %s is %d us after the deadline of its client",
			id, c.now+timeout-q.r.ClientDeadline)
	}
	if timeout == 0 {
		timeout = q.r.ClientDeadline - c.now
	}
	q.pending = append(q.pending, len(q.attempts))
	q.attempts = append(q.attempts, &trackedAttempt{endpoint: to, sent: c.now, timeout: timeout, mayHaveRun: true})
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
		c.addViolation("rule 6: retry of %s exceeds the retry budget", id)
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
			c.addViolation("rule 5: %s sent before the end of %s", q.r.ID, earlier.r.ID)
		}
	}
	if len(q.attempts) == 0 && c.now < c.paused[q.r.Key] {
		c.addViolation("rule 5: %s sent %d us before the end of the pause of its key", q.r.ID, c.paused[q.r.Key]-c.now)
	}
}

// checkRetry checks an attempt against an earlier one of the same request by rule 2.
func (c *checker) checkRetry(q *trackedRequest, earlier *trackedAttempt, to Endpoint) {
	class := c.settings.Classes[q.r.Class]
	if !earlier.done {
		c.addViolation("%s has two attempts in flight", q.r.ID)
	}
	if !earlier.mayHaveRun || class.Idempotency == Idempotent {
		return
	}
	sameScope := class.DedupScope == DedupTier || class.DedupScope == DedupZone && earlier.endpoint.Zone == to.Zone ||
		class.DedupScope == DedupCell && earlier.endpoint.Cell == to.Cell
	if class.Idempotency == NonIdempotent || !sameScope || c.now-earlier.sent > class.DedupWindow {
		c.addViolation("rule 2: %s of class %d retried after it may have run", q.r.ID, q.r.Class)
	}
}

// Shed implements Host. It checks rule 2, and rule 1 in close.
func (c *checker) Shed(id string, _ int64) {
	c.actions = append(c.actions, fmt.Sprintf("%d shed %s", c.now, id))
	q := c.close(id)
	if q == nil {
		return
	}
	class := c.settings.Classes[q.r.Class]
	anywhere := class.Idempotency == IdempotentByKey && class.DedupScope == DedupTier
	for _, t := range q.attempts {
		if t.mayHaveRun && class.Idempotency != Idempotent && !anywhere {
			c.addViolation("rule 2: %s shed after it may have run", id)
		}
	}
}

// Fail implements Host.
func (c *checker) Fail(id string) {
	c.actions = append(c.actions, fmt.Sprintf("%d fail %s", c.now, id))
	c.close(id)
}

// close records the final answer of a request and checks rule 1.
func (c *checker) close(id string) *trackedRequest {
	q := c.requests[id]
	if q == nil || q.closed {
		c.addViolation("rule 1: %s answered twice", id)
		return nil
	}
	if c.now > q.r.ClientDeadline {
		c.addViolation("rule 1: %s answered %d us after its client's deadline", id, c.now-q.r.ClientDeadline)
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

// recordUpdate records an update of the endpoint list by the definitions of the protocol
// documentation.
func (c *checker) recordUpdate(kind UpdateKind, entries []Endpoint) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		c.listed[e.ID] = e
		if e.State == Ready {
			delete(c.unavailableSince, e.ID)
		} else if _, ok := c.unavailableSince[e.ID]; !ok {
			c.unavailableSince[e.ID] = c.now
		}
	}
	if kind == Delta {
		return
	}
	for id := range c.listed {
		if _, ok := c.unavailableSince[id]; !listed[id] && !ok {
			c.unavailableSince[id] = c.now
		}
	}
}
