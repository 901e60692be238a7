package http1

import (
	"context"
	"errors"
	"fernlanding/internal/core"
	"fernlanding/internal/membership"
	"fernlanding/internal/socket"
	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const patience = 20 * time.Second // for what must happen

// wait takes what must come from a channel.
func wait[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

const served = backendtest.Served

func entry(name, addr string, status membership.Status) membership.Endpoint {
	return membership.Endpoint{Name: name, Address: addr, Zone: "a", Status: status}
}

const (
	maxBody   = 64 << 10
	maxAnswer = 1 << 20
)

// fixed is a quota that nobody shares.
type fixed struct {
	mu        sync.Mutex
	most, has int
}

func (q *fixed) Acquire() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.has == q.most {
		return false
	}
	q.has++
	return true
}
func (q *fixed) Release()        { q.mu.Lock(); q.has--; q.mu.Unlock() }
func (q *fixed) Overdrawn() bool { return false }

// slots is memory for so many answers of whatever size.
type slots chan struct{}

func (s slots) Reserve(ctx context.Context, _ int64) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
func (s slots) Release(int64) { <-s }

func poolWith(most int, addrs ...string) *Upstream {
	p := New(Config{
		DialTimeout: 5 * time.Second, IdleClose: 40 * time.Second, ReuseDelay: UntrustedReuseDelay, Quota: &fixed{most: most},
		Memory: make(slots, 1), MaxResponse: maxAnswer, UncountedBody: maxBody,
	})
	var list []membership.Endpoint
	for i, a := range addrs {
		list = append(list, entry(string(rune('a'+i)), a, membership.Serving))
	}
	p.UpdateEndpoints(true, list)
	return p
}

// tried is an attempt on the way to a backend of p.
type tried struct {
	*core.Attempt
	way core.RoundTripper
}

func (a tried) run() core.AttemptResult { return a.way.RoundTrip(a.Attempt) }

func newAttempt(p *Upstream, name string, left time.Duration) tried {
	return tried{core.NewAttempt(&core.Request{
		Request: logic.Request{ID: "1"},
		Method:  http.MethodGet, Target: "/look/k%2f1?x=%20y", Host: "backend.local",
		Header: []core.Field{{Name: "Request-Id", Value: "1"}},
	}, time.Now().Add(left)), p.RoundTripper(name)}
}

// What comes back decides what the module is told, and with it whether a call may run again.
func TestOutcomeTable(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       logic.Status
	}{
		{"served", served, logic.OK},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", logic.OK},
		{"early word first", "HTTP/1.1 100 Continue\r\n\r\n" + served, logic.OK},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"an error is never full", "HTTP/1.1 500 Oops\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"not found", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"full", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", logic.Overloaded},
		{"over already", "HTTP/1.1 504 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", logic.Overloaded},
		{"503 without the proof", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"504 without the proof", "HTTP/1.1 504 No\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n", logic.Error},
		{"closed", "", logic.Reset},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-", logic.Reset},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", logic.Reset},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", logic.Reset},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", logic.Reset},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", maxAnswer+1), logic.Error},
		{"large but short", "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 200000), logic.Reset},
		{"no HTTP", "SSH-2.0-x\r\n\r\n", logic.Reset},
		{"noise", "\xfai\x19\xce\xea\r\n\r\n", logic.Reset},
		{"no status", "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok", logic.Reset},
		{"no colon", "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok", logic.Reset},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok", logic.Reset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", logic.Reset},
		{"two framings", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", logic.Reset},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n", logic.Reset},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), logic.Error},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppp\r\n", 1<<16), logic.Reset},
		{"early words without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1000), logic.Reset},
		{"spoilt proof", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nx", logic.Reset},
		{"two early words", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + served, logic.OK},
		{"load that can't be read", "HTTP/1.1 200 OK\r\nServer-Load: =,=\r\nContent-Length: 2\r\n\r\nok", logic.OK},
		{"noise behind", served + "\xfai\x19\xce", logic.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Says(c.text, false))
			p := poolWith(4, b.Addr)
			res := newAttempt(p, "a", patience).run()
			if res.Status != c.want || c.want == logic.OK && string(res.Response.Body) != "ok" {
				t.Errorf("got %+v, want %v", res, c.want)
			}
			if n := b.Requests.Load(); n != 1 {
				t.Errorf("%d requests came", n)
			}
		})
	}
}

// Answers of some hundred KiB were taken for errors, each tried five times and held against its backends.
func TestLargeAnswersAreServed(t *testing.T) {
	for _, size := range []int{maxBody + 1, 400_000, maxAnswer} {
		b := backendtest.Start(t, backendtest.Says(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)), true))
		p := poolWith(8, b.Addr)
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() {
				if res := newAttempt(p, "a", patience).run(); res.Status != logic.OK || len(res.Response.Body) != size {
					t.Errorf("%d bytes: got %v with %d", size, res.Status, len(res.Response.Body))
				}
			})
		}
		all.Wait()
		if len(p.cfg.Memory.(slots)) != 0 {
			t.Errorf("%d large answers still counted", len(p.cfg.Memory.(slots)))
		}
	}
}

// The connection stays open behind what is spoilt. An answer that never ends was waited for until the
// request's time was up.
func TestAnAnswerThatDoesNotEndIsGivenUp(t *testing.T) {
	for name, text := range map[string]string{
		"length beyond the body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"half a head":            "HTTP/1.1 200 OK\r\nContent-",
		"early word alone":       "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Says(text, true))
			p := poolWith(4, b.Addr)
			if res := newAttempt(p, "a", time.Hour).run(); res.Status != logic.Reset {
				t.Errorf("got %v", res.Status)
			}
			wait(t, "close", b.Closed)
			if p.open != 0 {
				t.Errorf("%d connections open", p.open)
			}
		})
	}
}

// A second copy right behind an answer, in one write or a little later, is nobody's answer.
func TestWhatFollowsAnAnswerIsNeverTheNextOne(t *testing.T) {
	for name, apart := range map[string]bool{"in one write": false, "apart": true} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n%04d", n)
				if !apart {
					text += text
				}
				_, _ = io.WriteString(w, text)
				if apart {
					time.Sleep(2 * time.Millisecond)
					_, _ = io.WriteString(w, text)
				}
				return true
			})
			p := poolWith(100, b.Addr)
			for n := range 60 {
				res := newAttempt(p, "a", patience).run()
				if res.Status != logic.OK || string(res.Response.Body) != fmt.Sprintf("%04d", n+1) {
					t.Fatalf("request %d: got %+v", n+1, res)
				}
			}
		})
	}
}

func TestARefusedConnectionNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p := poolWith(4, l.Addr().String())
	if res := newAttempt(p, "a", patience).run(); res.Status != logic.ConnectFailed {
		t.Errorf("got %v", res.Status)
	}
	if p.open != 0 {
		t.Errorf("%d connections still counted", p.open)
	}
}

func TestAHungBackendTimesOutAndLosesItsConnection(t *testing.T) {
	b := backendtest.Start(t, backendtest.Hang(t))
	p := poolWith(4, b.Addr)
	if res := newAttempt(p, "a", 50*time.Millisecond).run(); res.Status != logic.TimedOut {
		t.Errorf("got %v", res.Status)
	}
	if p.open != 0 || len(p.byName["a"].idle) != 0 {
		t.Error("the connection is kept")
	}
}

func TestAStoppedAttemptClosesItsConnection(t *testing.T) {
	came := make(chan struct{}, 1)
	gone := make(chan error, 1)
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, _ int) bool {
		came <- struct{}{}
		_, err := w.(net.Conn).Read(make([]byte, 1))
		gone <- err
		return false
	})
	p := poolWith(4, b.Addr)
	a := newAttempt(p, "a", patience)
	results := make(chan core.AttemptResult, 1)
	go func() { results <- a.run() }()
	wait(t, "request", came)
	a.Cancel()
	if res := wait(t, "result", results); res.Status != logic.Canceled {
		t.Errorf("got %v", res.Status)
	}
	if err := wait(t, "end of the connection", gone); err == nil {
		t.Error("the connection is still open")
	}
}

// The peer closes a kept connection; a request that ran into it was sent a second time by http.Transport.
func TestAConnectionThatItsPeerClosedIsNotUsed(t *testing.T) {
	b := backendtest.Start(t, backendtest.Says(served, false)) // promises to stay, then closes
	p := poolWith(4, b.Addr)
	for n := range 3 {
		if res := newAttempt(p, "a", patience).run(); res.Status != logic.OK {
			t.Fatalf("attempt %d: got %v", n, res.Status)
		}
		wait(t, "close", b.Closed)
		waitUntil(t, func() bool { // the news has reached this end
			p.mu.Lock()
			defer p.mu.Unlock()
			return !socket.IsIdle(p.byName["a"].idle[0].Conn)
		})
	}
	if b.Requests.Load() != 3 || b.Conns.Load() != 3 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Conns.Load())
	}
	p.CloseExpired(time.Now())
	if p.open != 0 {
		t.Errorf("%d connections open after the sweep", p.open)
	}
}

// rested lets the idle connections have rested long enough to be used again.
func rested(p *Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byName {
		for _, c := range b.idle {
			c.since = c.since.Add(-UntrustedReuseDelay)
		}
	}
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never came to be")
		}
	}
}

// The close crosses the request: exactly one send, and it may have run.
func TestACloseThatCrossesTheRequestIsOneReset(t *testing.T) {
	b := backendtest.Start(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(w, served)
		}
		return n == 1
	})
	p := poolWith(4, b.Addr)
	if res := newAttempt(p, "a", patience).run(); res.Status != logic.OK {
		t.Fatalf("got %v", res.Status)
	}
	rested(p)
	if res := newAttempt(p, "a", patience).run(); res.Status != logic.Reset {
		t.Errorf("got %v", res.Status)
	}
	if b.Requests.Load() != 2 || b.Conns.Load() != 1 {
		t.Errorf("%d requests on %d connections", b.Requests.Load(), b.Conns.Load())
	}
}

// Where connections are cut while they rest, and only the next request shows it, each one lost a request that may not be
// sent again: every fifth of them on such a day.
func TestWhatMayNotBeRepeatedAvoidsConnectionsThatBreak(t *testing.T) {
	var mu sync.Mutex
	seen := map[io.Writer]int{}
	reply := func(w io.Writer, _ *http.Request, _ int) bool {
		mu.Lock()
		seen[w]++
		first := seen[w] == 1
		mu.Unlock()
		if first {
			_, _ = io.WriteString(w, served)
		}
		return first // the second request on a connection finds it cut
	}
	b := backendtest.Start(t, reply)
	p := poolWith(4, b.Addr)
	p.cfg.IsNonIdempotent = func(class int) bool { return class == 1 }
	run := func(class int) logic.Status {
		rested(p)
		a := newAttempt(p, "a", patience)
		a.Class = class
		return a.run().Status
	}
	lost := 0
	for range 20 {
		if run(1) != logic.OK {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("%d of 20 requests that may not be sent again were lost", lost)
	}
	if s := p.Stats(); s.Open != 0 {
		t.Errorf("%d connections are kept that nobody will use", s.Open)
	}
	if first, second := run(0), run(0); first != logic.OK || second != logic.Reset {
		t.Errorf("what may be sent again does not keep its connection: %v, %v", first, second)
	}
	p.freshFor = 0 // the time is over: kept connections are tried again
	if first, second := run(1), run(1); first != logic.OK || second != logic.Reset {
		t.Errorf("later: %v, %v", first, second)
	}
}

func TestTheMostRecentConnectionIsUsedFirstAndOldOnesAreClosed(t *testing.T) {
	b := backendtest.Start(t, backendtest.Says(served, true))
	p := poolWith(4, b.Addr)
	e := p.byName["a"]
	var two []*conn
	for range 3 {
		c, err := p.dial(context.Background(), e, b.Addr, e.epoch)
		if err != nil {
			t.Fatal(err)
		}
		two = append(two, c)
	}
	p.keep(two[0])
	p.keep(two[1])
	rested(p)
	p.keep(two[2])
	if c := p.reuse(e, e.epoch); c != two[1] {
		t.Error("not the most recent one of those that have rested")
	}
	p.keep(two[1])
	p.CloseExpired(time.Now().Add(p.idleFor))
	if len(e.idle) != 0 || p.open != 0 {
		t.Errorf("%d idle, %d open", len(e.idle), p.open)
	}
}

// A dial takes time. In it the backend may drain, or the request's time may run out; nothing is sent then.
func TestNothingIsSentAfterADialThatTookTooLong(t *testing.T) {
	for name, meanwhile := range map[string]func(p *Upstream, a tried){
		"drained": func(p *Upstream, a tried) {
			p.UpdateEndpoints(false, []membership.Endpoint{entry("a", a.way.(*way).addr, membership.Draining)})
		},
		"gone": func(p *Upstream, a tried) { p.UpdateEndpoints(true, nil) },
		"restarted": func(p *Upstream, a tried) {
			e := entry("a", a.way.(*way).addr, membership.Serving)
			e.SinceMs = 7
			p.UpdateEndpoints(false, []membership.Endpoint{e})
		},
		"stopped": func(_ *Upstream, a tried) { a.Cancel() },
		"late":    func(_ *Upstream, a tried) { a.Deadline = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Says(served, true))
			p := poolWith(4, b.Addr)
			a := newAttempt(p, "a", patience)
			dial := p.dialer
			p.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(context.Background(), network, addr)
				meanwhile(p, a)
				return c, err
			}
			if res := a.run(); res.Status != logic.NotSent {
				t.Errorf("got %v", res.Status)
			}
			p.UpdateEndpoints(true, nil) // closes what is idle
			wait(t, "close", b.Closed)
			if b.Requests.Load() != 0 || p.open != 0 {
				t.Errorf("%d requests came, %d connections open", b.Requests.Load(), p.open)
			}
		})
	}
}

func TestAtTheSocketLimitAnIdleConnectionMakesRoomOrNoneIsOpened(t *testing.T) {
	quick, slow := backendtest.Start(t, backendtest.Says(served, true)), backendtest.Start(t, backendtest.Hang(t))
	p := poolWith(1, quick.Addr, slow.Addr)
	if res := newAttempt(p, "a", patience).run(); res.Status != logic.OK {
		t.Fatalf("got %v", res.Status)
	}
	held := newAttempt(p, "b", patience)
	results := make(chan core.AttemptResult, 1)
	go func() { results <- held.run() }()
	wait(t, "close of the idle connection", quick.Closed)
	waitUntil(t, func() bool { return slow.Requests.Load() == 1 })
	if res := newAttempt(p, "a", patience).run(); res.Status != logic.NotSent {
		t.Errorf("over the limit: got %v", res.Status)
	}
	held.Cancel()
	wait(t, "result", results)
	if res := newAttempt(p, "a", patience).run(); res.Status != logic.OK {
		t.Errorf("with room again: got %v", res.Status)
	}
}

func TestADialErrorThatIsNoRefusalIsAConnectFailureToo(t *testing.T) {
	p := poolWith(4, "127.0.0.1:1")
	p.dialer = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("too many open files") }
	if res := newAttempt(p, "a", patience).run(); res.Status != logic.ConnectFailed || p.open != 0 {
		t.Errorf("got %v with %d open", res.Status, p.open)
	}
}

// A write that breaks off before the last byte proves that the call never ran; one that ended does not.
func TestARequestThatWasNotWrittenWholeNeverRan(t *testing.T) {
	p := poolWith(4, "127.0.0.1:1")
	p.dialer = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.ReadFull(far, make([]byte, 5)); far.Close() }()
		return near, nil
	}
	if res := newAttempt(p, "a", patience).run(); res.Status != logic.ConnectFailed {
		t.Errorf("got %v", res.Status)
	}
}

func TestWhatIsPassedOnIsUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	b := backendtest.Start(t, func(w io.Writer, r *http.Request, _ int) bool {
		got <- r
		_, _ = io.WriteString(w, served)
		return true
	})
	newAttempt(poolWith(4, b.Addr), "a", 900*time.Millisecond+patience).run()
	r := wait(t, "request", got)
	if r.RequestURI != "/look/k%2f1?x=%20y" || r.Host != "backend.local" || r.Header.Get("Request-Id") != "1" {
		t.Errorf("got %s %s %v", r.RequestURI, r.Host, r.Header)
	}
	if ms := r.Header.Get("Request-Timeout-Ms"); len(ms) != 5 || ms > "20900" {
		t.Errorf("Request-Timeout-Ms %q", ms)
	}
}
