package logic

import (
	"fmt"
	"testing"
)

// recorder is a Host that records its actions.
type recorder struct {
	actions     []string
	sends       []forwarded
	watches     int
	timers      []string // tokens
	retryAfters []int64
}

// forwarded is a forwarded attempt.
type forwarded struct {
	id, endpoint string
	timeout      int64
}

// record adds an action.
func (r *recorder) record(format string, a ...any) {
	r.actions = append(r.actions, fmt.Sprintf(format, a...))
}

func (r *recorder) Forward(id, endpoint string, timeout int64) {
	r.record("send %s %s %d", id, endpoint, timeout)
	r.sends = append(r.sends, forwarded{id, endpoint, timeout})
}

func (r *recorder) Shed(id string, retryAfter int64) {
	r.record("shed %s", id)
	r.retryAfters = append(r.retryAfters, retryAfter)
}

func (r *recorder) Fail(id string) { r.record("fail %s", id) }

func (r *recorder) SetTimer(delay int64, token string) {
	r.record("timer %d %s", delay, token)
	r.timers = append(r.timers, token)
}

func (r *recorder) Log(string) { r.record("log") }

func (r *recorder) WatchEndpoints() {
	r.record("watch")
	r.watches++
}

// last returns the latest action, or "" if there is none.
func (r *recorder) last() string {
	if len(r.actions) == 0 {
		return ""
	}
	return r.actions[len(r.actions)-1]
}

// start is the time when the tests begin, in microseconds.
const start = int64(1_000_000_000)

// testSettings has one class of each kind: 0 idempotent, 1 idempotent by key in a cell, 2
// non-idempotent, 3 idempotent by key in the tier, 4 idempotent by key in a zone.
func testSettings() Settings {
	class := Class{LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, LatePriorityFactor: 0.3}
	s := Settings{
		Replicas: 1, Zones: 2, MaxAttempts: 4, DrainGrace: 500_000,
		SlowStartMinCapacity: 0.2, SlowStartWindow: 20_000_000,
	}
	for _, c := range []Class{
		{Idempotency: Idempotent},
		{Idempotency: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 300_000},
		{Idempotency: NonIdempotent, DedupWindow: 300_000},
		{Idempotency: IdempotentByKey, DedupScope: DedupTier, DedupWindow: 300_000},
		{Idempotency: IdempotentByKey, DedupScope: DedupZone, DedupWindow: 300_000},
	} {
		k := class
		k.Idempotency, k.DedupScope, k.DedupWindow = c.Idempotency, c.DedupScope, c.DedupWindow
		s.Classes = append(s.Classes, k)
	}
	return s
}

// mustNew returns a balancer with the settings.
func mustNew(t *testing.T, s Settings) *Balancer {
	t.Helper()
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// testEndpoints returns n ready endpoints, two in each cell, in cells of alternating zones.
func testEndpoints(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprintf("s%d", i), Zone: i / 2 % 2, Cell: i / 2, State: Ready, Weight: 1})
	}
	return out
}

// newTestBalancer returns a balancer with n endpoints, and its host.
func newTestBalancer(t *testing.T, s Settings, n int) (*Balancer, *recorder) {
	t.Helper()
	b, h := mustNew(t, s), &recorder{}
	b.UpdateEndpoints(start, h, Snapshot, testEndpoints(n))
	return b, h
}

// submit submits a request whose client waits for a second.
func submit(b *Balancer, h Host, now int64, id string, class int) {
	b.Request(now, h, Request{ID: id, Class: class, ClientDeadline: now + 1_000_000})
}

// playOutcomes submits n requests, one every gap microseconds. Each attempt ends after latency
// microseconds with the status that the function end returns. Shed requests have no attempt.
// playOutcomes returns the time when all attempts have ended.
func playOutcomes(b *Balancer, h *recorder, now int64, n int, gap, latency int64, end func(i int) Status) int64 {
	type call struct {
		id string
		at int64
	}
	var inFlight []call
	done := 0
	settle := func(until int64) {
		for len(inFlight) > 0 && inFlight[0].at <= until {
			c := inFlight[0]
			inFlight = inFlight[1:]
			b.Outcome(c.at, h, Outcome{ID: c.id, Status: end(done), Latency: latency, RequestDone: true})
			done++
		}
	}
	for range n {
		now += gap
		settle(now)
		id, before := fmt.Sprint("f", now), len(h.sends)
		b.Request(now, h, Request{ID: id, Class: 0, Tenant: -1, ClientDeadline: now + 10*second})
		if len(h.sends) > before {
			inFlight = append(inFlight, call{id, now + latency})
		}
	}
	settle(now + latency)
	return now + latency
}

// alwaysOK returns OK for every attempt, for playOutcomes.
func alwaysOK(int) Status { return OK }

// settingsWithLongObjectives has long latency objectives: attempts take a tenth of them under light
// load.
func settingsWithLongObjectives() Settings {
	s := testSettings()
	s.Replicas = 4 // no attempt counts as sent under light load
	for i := range s.Classes {
		s.Classes[i].LatencyObjective, s.Classes[i].Deadline = 3*second, 6*second
	}
	return s
}
