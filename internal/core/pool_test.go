package core

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/logic"
)

const testTimeout = 20 * time.Second // bound on the wait for an expected event

// scriptedUpstream is an Upstream with one backend. A function returns the result of each attempt.
type scriptedUpstream struct {
	roundTrip func(*Attempt) AttemptResult
	started   chan *Attempt
}

func newScriptedUpstream(roundTrip func(*Attempt) AttemptResult) *scriptedUpstream {
	return &scriptedUpstream{roundTrip: roundTrip, started: make(chan *Attempt, 100)}
}

func (s *scriptedUpstream) UpdateEndpoints(bool, []membership.Endpoint) {}
func (s *scriptedUpstream) CloseExpired(time.Time)                      {}
func (s *scriptedUpstream) RoundTripper(string) RoundTripper            { return s }

func (s *scriptedUpstream) RoundTrip(a *Attempt) AttemptResult {
	s.started <- a
	return s.roundTrip(a)
}

// channelCanceler is a Canceler that closes a channel.
type channelCanceler chan struct{}

func (c channelCanceler) Cancel() { close(c) }

// hangUntilCanceled waits until the attempt is canceled.
func hangUntilCanceled(a *Attempt) AttemptResult {
	canceled := make(channelCanceler)
	if a.SetCanceler(canceled) {
		<-canceled
	}
	return AttemptResult{Status: logic.Canceled}
}

func startPool(t *testing.T, up Upstream) *Pool {
	t.Helper()
	return startPoolWithDuplicateWait(t, up, 0)
}

// startPoolWithDuplicateWait runs a pool with one endpoint and the given Config.DuplicateIDWait
// until the test ends. Class 0 is idempotent, class 1 is non-idempotent.
func startPoolWithDuplicateWait(t *testing.T, up Upstream, duplicateIDWait time.Duration) *Pool {
	t.Helper()
	idempotent := logic.Class{LatencyObjective: 4e6, Deadline: 8e6, PriorityWeight: 1}
	nonIdempotent := idempotent
	nonIdempotent.Idempotency = logic.NonIdempotent
	p, err := New(Config{
		Settings: logic.Settings{
			Replicas: 1, Zones: 1, MaxAttempts: 3, SlowStartMinCapacity: 1,
			Classes: []logic.Class{idempotent, nonIdempotent},
		},
		Seed:            1,
		Upstream:        up,
		Clock:           NewClock(),
		Log:             slog.New(slog.DiscardHandler),
		DuplicateIDWait: duplicateIDWait,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { p.Run(ctx) })
	t.Cleanup(func() {
		stop()
		run.Wait()
	})
	p.UpdateEndpoints(&membership.List{Full: true, Endpoints: []membership.Endpoint{{Name: "a"}}})
	return p
}

func newRequest(p *Pool, id string, class int, left time.Duration) *Request {
	deadline := p.clock.At(time.Now().Add(left))
	return &Request{Request: logic.Request{ID: id, Class: class, Tenant: -1, ClientDeadline: deadline}}
}

// doAsync calls Do on a new goroutine.
func doAsync(p *Pool, r *Request) <-chan Answer {
	answer := make(chan Answer, 1)
	go func() { answer <- p.Do(r) }()
	return answer
}

// receive receives a value from a channel and fails the test after testTimeout.
func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for: %s", what)
		panic("unreachable")
	}
}

// Requests in progress at SIGTERM keep their deadlines, because an answer after the latency
// objective still has a value. Deadlines after the limit, which is shortly before SIGKILL, are
// moved to the limit.
func TestLimitDeadlinesCapsOnlyLaterDeadlines(t *testing.T) {
	up := newScriptedUpstream(hangUntilCanceled)
	p := startPool(t, up)
	soon, late := newRequest(p, "soon", 0, 2*time.Second), newRequest(p, "late", 0, 8*time.Second)
	answers := []<-chan Answer{doAsync(p, soon), doAsync(p, late)}
	receive(t, "attempt", up.started)
	receive(t, "attempt", up.started)
	cutoff := time.Now().Add(3 * time.Second)
	p.LimitDeadlines(cutoff)
	p.mu.Lock()
	soonDue := soon.ClientDeadline + deadlineGrace.Microseconds()
	if soon.expiry.dueAt != soonDue || late.expiry.dueAt != p.clock.At(cutoff) {
		t.Errorf("requests expire at %d and %d, want %d and %d",
			soon.expiry.dueAt, late.expiry.dueAt, soonDue, p.clock.At(cutoff))
	}
	p.mu.Unlock()
	p.Cancel(soon)
	p.Cancel(late)
	for _, a := range answers {
		if ans := receive(t, "answer", a); ans.Verdict != Canceled {
			t.Errorf("got %+v, want verdict Canceled", ans)
		}
	}
	if s := p.Stats(); s != (Stats{}) {
		t.Errorf("pool not empty at the end: %+v", s)
	}
}

// The client may disconnect before the call of Do or after its request has been answered.
func TestCancelBeforeAndAfterDo(t *testing.T) {
	up := newScriptedUpstream(func(*Attempt) AttemptResult {
		return AttemptResult{Status: logic.OK, Response: &Response{StatusCode: 200, Body: []byte("ok")}}
	})
	p := startPool(t, up)
	r := newRequest(p, "1", 0, testTimeout)
	p.Cancel(r)
	if ans := p.Do(r); ans.Verdict != Canceled || len(up.started) != 0 {
		t.Errorf("canceled before Do: got %+v and %d attempts, want verdict Canceled and none", ans, len(up.started))
	}
	r = newRequest(p, "1", 0, testTimeout)
	if ans := p.Do(r); ans.Verdict != Served || string(ans.Response.Body) != "ok" {
		t.Errorf("canceled after Do: got %+v, want verdict Served and body \"ok\"", ans)
	}
	p.Cancel(r)
	if s := p.Stats(); s != (Stats{}) {
		t.Errorf("pool not empty at the end: %+v", s)
	}
}

// A hanging request is answered at its deadline, even if the upstream ignores deadlines.
func TestExpiredRequestIsAnswered(t *testing.T) {
	up := newScriptedUpstream(hangUntilCanceled)
	p := startPool(t, up)
	if ans := receive(t, "answer", doAsync(p, newRequest(p, "1", 1, 700*time.Millisecond))); ans.Verdict != Expired {
		t.Errorf("got %+v, want verdict Expired", ans)
	}
}

// A closed pool admits no requests and completes the requests that it has.
func TestClosedPoolAdmitsNothing(t *testing.T) {
	release := make(chan struct{})
	up := newScriptedUpstream(func(*Attempt) AttemptResult {
		<-release
		return AttemptResult{Status: logic.OK}
	})
	p := startPool(t, up)
	first := doAsync(p, newRequest(p, "1", 1, testTimeout))
	receive(t, "attempt", up.started)
	p.Close()
	if ans := p.Do(newRequest(p, "2", 1, testTimeout)); ans.Verdict != NotAdmitted {
		t.Errorf("after Close: got %+v, want verdict NotAdmitted", ans)
	}
	close(release)
	if ans := receive(t, "answer", first); ans.Verdict != Served {
		t.Errorf("request in progress at Close: got %+v, want verdict Served", ans)
	}
	if len(up.started) != 0 {
		t.Errorf("got %d further attempts, want none", len(up.started))
	}
}

// Requests from many goroutines, some failing and some canceled, get one answer each, and the pool
// is empty afterwards.
func TestConcurrentRequestsGetOneAnswerEach(t *testing.T) {
	statuses := []logic.Status{logic.OK, logic.OK, logic.OK, logic.Error, logic.Overloaded, logic.Reset}
	count := make(chan int, 1) // number of attempts so far
	count <- 0
	up := &scriptedUpstream{started: make(chan *Attempt, 100000), roundTrip: func(*Attempt) AttemptResult {
		i := <-count
		count <- i + 1
		return AttemptResult{Status: statuses[i%len(statuses)]}
	}}
	p := startPool(t, up)
	var all sync.WaitGroup
	for i := range 16 {
		all.Go(func() {
			for j := range 200 {
				r := newRequest(p, string(rune('a'+i))+string(rune('0'+j)), i%2, testTimeout)
				if j%9 == 0 {
					all.Go(func() { p.Cancel(r) })
				}
				p.Do(r)
			}
		})
	}
	all.Wait()
	if s := p.Stats(); s != (Stats{}) {
		t.Errorf("pool not empty at the end: %+v", s)
	}
}

// A retry of a request that is idempotent by key relies on the dedup window of the backend, so
// SendBy limits when the retry is sent, and DeliverBy, the end of the window, when it arrives. The
// first attempt is limited by its deadline only.
func TestRetryByKeyHasSendBy(t *testing.T) {
	up := newScriptedUpstream(func(*Attempt) AttemptResult { return AttemptResult{Status: logic.Error} })
	p, err := New(Config{
		Settings: logic.Settings{
			Replicas: 1, Zones: 1, MaxAttempts: 2, SlowStartMinCapacity: 1, MaxSendDelay: 1e6,
			Classes: []logic.Class{{
				LatencyObjective: 4e6, Deadline: 8e6, PriorityWeight: 1,
				Idempotency: logic.IdempotentByKey, DedupWindow: 8e6,
			}},
		},
		Seed:     1,
		Upstream: up,
		Clock:    NewClock(),
		Log:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	p.UpdateEndpoints(&membership.List{Full: true, Endpoints: []membership.Endpoint{{Name: "a"}}})
	p.Do(newRequest(p, "1", 0, testTimeout))
	first, second := receive(t, "first attempt", up.started), receive(t, "retry", up.started)
	if !first.SendBy.IsZero() || second.SendBy.IsZero() || second.SendBy.After(time.Now().Add(time.Second)) {
		t.Errorf("SendBy of the first attempt is %v, of the retry %v; want zero and at most 1s ahead",
			first.SendBy, second.SendBy)
	}
	window := time.Duration(p.classes[0].DedupWindow) * time.Microsecond
	if !first.DeliverBy.IsZero() || !second.DeliverBy.Equal(p.clock.Time(first.sentAt).Add(window)) {
		t.Errorf("DeliverBy of the first attempt is %v, of the retry %v; want zero and the end of the dedup window",
			first.DeliverBy, second.DeliverBy)
	}
}
