package http1

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

const waitLimit = 10 * time.Second // for what must happen

// receive returns what must come from a channel.
func receive[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(waitLimit):
		t.Fatalf("no %s", what)
	}
	return v
}

// waitUntil waits for what must become true.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(time.Millisecond) { // the kernel has no channel
		if time.Now().After(end) {
			t.Fatal("the condition never became true")
		}
	}
}

// closeAtEnd closes what a test has opened, if the test has not.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// gatedPool is a pool, and the resolver of all requests to it, whose answers wait for a gate or for
// their client to leave.
type gatedPool struct {
	admitted, canceled chan string // the IDs of requests
	gate               chan struct{}
	cancels            chan *core.Request
	release            func() // of each response; nil: none
}

// newGatedPool returns a pool whose gate is closed.
func newGatedPool() *gatedPool {
	return &gatedPool{
		admitted: make(chan string, 100), canceled: make(chan string, 100),
		gate: make(chan struct{}), cancels: make(chan *core.Request, 100),
	}
}

// Clock implements front.Pool.
func (p *gatedPool) Clock() core.Clock { return core.NewClock() }

// Do implements front.Pool. It answers 200 with the request's ID.
func (p *gatedPool) Do(r *core.Request) core.Answer {
	p.admitted <- r.ID
	for {
		select {
		case <-p.gate:
			resp := &core.Response{StatusCode: http.StatusOK, Body: []byte(r.ID), Release: p.release}
			return core.Answer{Verdict: core.Served, Response: resp}
		case canceled := <-p.cancels:
			if canceled == r {
				p.canceled <- r.ID
				return core.Answer{Verdict: core.Canceled}
			}
			p.cancels <- canceled
		}
	}
}

// Cancel implements front.Pool.
func (p *gatedPool) Cancel(r *core.Request) { p.cancels <- r }

// Resolve takes the path for a request's ID.
func (p *gatedPool) Resolve(r *http.Request) (front.Destination, *front.RequestError) {
	return front.Destination{
		Pool: p, ID: strings.TrimPrefix(r.URL.Path, "/"), Tenant: -1, Target: r.RequestURI,
		Timeout: time.Minute, MaxBody: 64 << 10,
	}, nil
}

// unlimitedQuota is a quota without a limit.
type unlimitedQuota struct{}

// Acquire implements Quota.
func (unlimitedQuota) Acquire() bool { return true }

// Release implements Quota.
func (unlimitedQuota) Release() {}

// listen returns a listener on a loopback port.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, l)
	return l
}

// serve serves a front for a pool until the test ends.
func serve(t *testing.T, l net.Listener, pool *gatedPool) *Front {
	t.Helper()
	f := New(Config{
		Listener: l, Resolver: pool, IsHealthy: func() bool { return true }, MaxTimeout: time.Minute,
		Quota: unlimitedQuota{}, Log: slog.New(slog.DiscardHandler),
	})
	ended := make(chan error, 1)
	go func() { ended <- f.Serve() }()
	t.Cleanup(func() {
		f.Close()
		if err := receive(t, "end of the front", ended); err != nil {
			t.Error(err)
		}
	})
	return f
}

// dial connects to a listener.
func dial(t *testing.T, l net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, c)
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	return c, bufio.NewReader(c)
}

// getRequest returns the text of a request.
func getRequest(id string) string { return "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// send writes to a connection.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads a response and checks that it is a request's.
func readResponse(t *testing.T, r *bufio.Reader, id string) *http.Response {
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

// onlyConn returns a function that asks the one connection of a front, with its locks held; false
// if there is none.
func onlyConn(f *Front, ask func(*clientConn) bool) func() bool {
	return func() bool {
		f.conns.mu.Lock()
		defer f.conns.mu.Unlock()
		for _, c := range f.conns.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return ask(c)
		}
		return false
	}
}

// acceptConn returns a connection that a connTracker has accepted and that net/http does not know
// of, and its peer.
func acceptConn(t *testing.T) (tracker *connTracker, c *clientConn, peer net.Conn) {
	t.Helper()
	tracker = newConnTracker(listen(t), unlimitedQuota{})
	peer, _ = dial(t, tracker)
	netConn, err := tracker.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, netConn)
	c, ok := netConn.(*clientConn)
	if !ok {
		t.Fatalf("accepted a %T", netConn)
	}
	return tracker, c, peer
}
