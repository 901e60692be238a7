package http1

import (
	"bufio"
	"errors"
	"fernlanding/internal/core"
	"fernlanding/internal/front"
	"fernlanding/internal/socket"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

const patience = 10 * time.Second // for what must happen

// wait takes what must come from a channel.
func wait[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatalf("no %s", what)
	}
	return v
}

// gated is a pool whose answers wait for a gate, or for their client to go.
type gated struct {
	took, gone chan string // the ids of requests
	gate       chan struct{}
	left       chan *core.Request
	release    func() // of each reply; nil: none
}

func newGated() *gated {
	return &gated{took: make(chan string, 100), gone: make(chan string, 100), gate: make(chan struct{}), left: make(chan *core.Request, 100)}
}

func (g *gated) Clock() core.Clock { return core.NewClock() }

func (g *gated) Do(r *core.Request) core.Answer {
	g.took <- r.ID
	for {
		select {
		case <-g.gate:
			return core.Answer{Verdict: core.Served, Response: &core.Response{StatusCode: http.StatusOK, Body: []byte(r.ID), Release: g.release}}
		case x := <-g.left:
			if x == r {
				g.gone <- r.ID
				return core.Answer{Verdict: core.Canceled}
			}
			g.left <- x
		}
	}
}

func (g *gated) Cancel(r *core.Request) { g.left <- r }

// Resolve takes every request, by its path.
func (g *gated) Resolve(r *http.Request) (front.Destination, *front.RequestError) {
	return front.Destination{Pool: g, ID: strings.TrimPrefix(r.URL.Path, "/"), Tenant: -1, Target: r.RequestURI, Timeout: time.Minute, MaxBody: 64 << 10}, nil
}

// plenty is a quota without a limit.
type plenty struct{}

func (plenty) Acquire() bool { return true }
func (plenty) Release()      {}

// stalling is a listener whose process can be too busy to accept.
type stalling struct {
	*net.TCPListener
	stall chan struct{} // closed: it is not; nil: it never is
	busy  chan struct{} // one for each time that it is
}

func (s *stalling) Accept() (net.Conn, error) {
	if s.stall != nil {
		s.busy <- struct{}{}
		<-s.stall
	}
	return s.TCPListener.Accept()
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// serving is a front before a pool.
func serving(t *testing.T, l net.Listener, pool *gated) *Front {
	t.Helper()
	f := New(Config{
		Listener: l, Resolver: pool, IsHealthy: func() bool { return true }, MaxTimeout: time.Minute, Quota: plenty{},
		Log: slog.New(slog.DiscardHandler),
	})
	ended := make(chan error, 1)
	go func() { ended <- f.Serve() }()
	t.Cleanup(func() {
		f.Close()
		wait(t, "end of the front", ended)
	})
	return f
}

func dial(t *testing.T, l net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c, bufio.NewReader(c)
}

func get(id string) string { return "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// answered reads an answer and checks that it is a request's.
func answered(t *testing.T, r *bufio.Reader, id string) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("request %s: %v", id, err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != id {
		t.Fatalf("request %s: %q, %v", id, body, err)
	}
	return resp
}

// net/http looks no further than one byte behind a request: a client that has sent more and gone was not seen to go.
func TestAClientIsSeenToGoBehindWhatItSent(t *testing.T) {
	for _, c := range []struct {
		name, body, behind string
	}{
		{"nothing", "", ""},
		{"a byte", "", "x"},
		{"its next request", "", get("next")},
		{"more than is kept", "", strings.Repeat("noise ", 10_000)},
		{"a next request behind a body", "body", get("next")},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool, l := newGated(), listen(t)
			serving(t, l, pool)
			conn, _ := dial(t, l)
			send(t, conn, fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body))
			wait(t, "request", pool.took)
			send(t, conn, c.behind) // comes after the request has been read, whatever of it is in one segment
			conn.Close()
			if id := wait(t, "withdrawal", pool.gone); id != "1" {
				t.Errorf("%s was withdrawn", id)
			}
		})
	}
}

// One that sends on and on while its request waits is no client that waits.
func TestAFloodBehindARequestEndsIt(t *testing.T) {
	pool, l := newGated(), listen(t)
	serving(t, l, pool)
	conn, _ := dial(t, l)
	send(t, conn, get("1"))
	wait(t, "request", pool.took)
	go func() {
		for _, err := conn.Write(make([]byte, 64<<10)); err == nil; _, err = conn.Write(make([]byte, 64<<10)) {
		}
	}()
	wait(t, "withdrawal", pool.gone)
}

// What a client sends ahead is its next request; where not all of it was kept the connection ends with the answer.
func TestWhatComesAheadIsTheNextRequest(t *testing.T) {
	pool, l := newGated(), listen(t)
	f := serving(t, l, pool)
	conn, r := dial(t, l)
	send(t, conn, get("1"))
	wait(t, "request", pool.took)
	send(t, conn, get("2")+get("3"))
	kept := func(n int, thrown bool) func() bool {
		return ofTheOne(f, func(c *clientConn) bool { return len(c.ahead) == n && c.thrown == thrown })
	}
	until(t, kept(len(get("2")+get("3")), false))
	if f.clients.closeIdle(0) != 1 {
		t.Error("an open request's connection was closed")
	}
	for _, id := range []string{"1", "2", "3"} {
		pool.gate <- struct{}{}
		answered(t, r, id)
	}
	send(t, conn, get("4"))
	until(t, func() bool { return len(pool.took) == 3 })
	send(t, conn, strings.Repeat(get("5"), 1+mostAhead/len(get("5"))))
	until(t, kept(mostAhead, true))
	close(pool.gate)
	if resp := answered(t, r, "4"); !resp.Close {
		t.Error("an answer behind which something was thrown away is not the last")
	}
	if _, err := r.ReadByte(); err == nil {
		t.Error("something follows the last answer")
	}
}

// A client has its answer before the handler has ended, and sends its next request at once: none of it is taken for what came ahead.
func TestTheNextRequestMayComeUnderTheAnswer(t *testing.T) {
	pool, l := newGated(), listen(t)
	ended := make(chan struct{})
	pool.release = func() { <-ended }
	f := serving(t, l, pool)
	conn, r := dial(t, l)
	id := strings.Repeat("1", 8<<10) // goes out in its first write
	send(t, conn, get(id))
	wait(t, "request", pool.took)
	pool.gate <- struct{}{}
	answered(t, r, id)
	send(t, conn, fmt.Sprintf("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 60<<10, strings.Repeat("b", 60<<10)))
	until(t, ofTheOne(f, func(c *clientConn) bool { return c.thrown || !socket.IsIdle(c.Conn) }))
	close(pool.gate)
	close(ended)
	answered(t, r, "2")
}

// ofTheOne asks the one connection that a front has, under its lock; false where there is none.
func ofTheOne(f *Front, is func(*clientConn) bool) func() bool {
	return func() bool {
		f.clients.mu.Lock()
		defer f.clients.mu.Unlock()
		for _, c := range f.clients.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return is(c)
		}
		return false
	}
}

func until(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) { // the kernel has no channel
		if time.Now().After(end) {
			t.Fatal("it never came to be")
		}
	}
}

// accepted is a connection that net/http reads from, told of nothing, and its other end.
func accepted(t *testing.T) (l *clients, c *clientConn, peer net.Conn) {
	t.Helper()
	l = newClients(listen(t), plenty{})
	peer, _ = dial(t, l)
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return l, nc.(*clientConn), peer
}

// Between net/http's reading of a request and its report the connection looks idle and quiet. Its close lost the request, which may have been
// sent on; its client sends it once more.
func TestARequestThatHasBeenReadKeepsItsConnection(t *testing.T) {
	for _, idle := range []bool{false, true} {
		l, c, peer := accepted(t)
		if idle {
			l.state(c, http.StateActive)
			l.state(c, http.StateIdle)
		}
		text := get("1")
		for _, part := range []string{text[:len(text)-3], text[len(text)-3:]} {
			send(t, peer, part)
			for got := 0; got < len(part); {
				n, err := c.Read(make([]byte, 4096))
				if err != nil {
					t.Fatal(err)
				}
				got += n
			}
			c.mu.Lock()
			c.heard = time.Now().Add(-time.Hour)
			c.mu.Unlock()
			if part == text[len(text)-3:] {
				if l.evictFrom(l.silent, time.Now()) || l.evictFrom(l.idle, time.Now()) {
					t.Errorf("idle %v: made room for others with a request read whole", idle)
				}
			}
			if busy := l.closeIdle(-time.Second); busy != 1 {
				t.Errorf("idle %v: closed at the end with %q read", idle, part)
			}
		}
	}
}

// What clients closes is read no more: the client's request has not been read, and is sent once more.
func TestNothingIsReadFromWhatIsClosed(t *testing.T) {
	_, c, peer := accepted(t)
	if !c.shutQuiet(time.Time{}) {
		t.Fatal("a quiet connection is not shut")
	}
	send(t, peer, get("1"))
	until(t, func() bool { return !socket.IsIdle(c.Conn) })
	var gone *net.OpError
	if n, err := c.Read(make([]byte, 4096)); n > 0 || !errors.As(err, &gone) || gone.Op != "read" {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// A request that had come when the time for it was up is read: a process that was stalled has not looked.
func TestWhatHasComeInTimeIsRead(t *testing.T) {
	_, c, peer := accepted(t)
	send(t, peer, get("1"))
	until(t, func() bool { return !socket.IsIdle(c.Conn) })
	_ = c.SetReadDeadline(time.Unix(1, 0))
	if n, err := c.Read(make([]byte, 4096)); n != len(get("1")) || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if _, err := c.Read(make([]byte, 4096)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: %v", err)
	}
}

// A connection that the kernel has accepted and a busy process has not is served, also at the end of the drain.
func TestTheKernelsQueueIsServedToTheEnd(t *testing.T) {
	pool := newGated()
	close(pool.gate)
	l := &stalling{TCPListener: listen(t), stall: make(chan struct{}), busy: make(chan struct{}, 100)}
	f := serving(t, l, pool)
	wait(t, "stall", l.busy)
	conn, r := dial(t, l)
	send(t, conn, get("1"))
	now, drained := time.Now(), make(chan struct{})
	go func() {
		defer close(drained)
		f.Drain(now, now.Add(patience), now.Add(patience))
	}()
	until(t, func() bool { return f.Stats().Closing })
	close(l.stall)
	if resp := answered(t, r, "1"); !resp.Close {
		t.Error("its answer is not its last")
	}
	wait(t, "end of the drain", drained)
}

// A request that has been read at the end of the drain, and that net/http has not reported yet, is waited for: the end closes nothing
// under it.
func TestTheEndWaitsForWhatHasBeenRead(t *testing.T) {
	l := listen(t)
	f := New(Config{Listener: l, Quota: plenty{}, Log: slog.New(slog.DiscardHandler)})
	peer, _ := dial(t, l)
	nc, err := f.clients.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	send(t, peer, get("1"))
	if n, err := nc.Read(make([]byte, 4096)); n != len(get("1")) || err != nil {
		t.Fatal(n, err)
	}
	looked, drained := make(chan error, 1), make(chan struct{})
	go func() {
		_, err := f.clients.Accept()
		looked <- err
	}()
	go func() {
		defer close(drained)
		f.Drain(time.Now(), time.Now(), time.Now().Add(patience))
	}()
	step := time.NewTimer(acceptAfter + lookMost)
	defer step.Stop()
	select {
	case <-step.C:
	case <-drained:
		t.Fatal("the drain ended under a request that had been read")
	}
	f.clients.state(nc, http.StateActive)
	f.clients.state(nc, http.StateClosed)
	wait(t, "end of the drain", drained)
	wait(t, "last look", looked)
}

// An answer that is on its way at the cutoff is not cut off: there is time until SIGKILL.
func TestAnAnswerAtTheCutoffIsWritten(t *testing.T) {
	pool, l := newGated(), listen(t)
	f := serving(t, l, pool)
	conn, r := dial(t, l)
	send(t, conn, get("1"))
	wait(t, "request", pool.took)
	cutoff := time.Now().Add(acceptAfter)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		f.Drain(time.Now(), cutoff, time.Now().Add(patience))
	}()
	past := time.NewTimer(time.Until(cutoff) + 5*drainStep)
	defer past.Stop()
	select {
	case <-past.C:
	case <-drained:
		t.Fatal("the drain ended under an open request")
	}
	close(pool.gate)
	answered(t, r, "1")
	wait(t, "end of the drain", drained)
}
