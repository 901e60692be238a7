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

const waitLimit = 10 * time.Second // limit of each wait for an expected event

// receive returns the next value of a channel. The test fails if none arrives within waitLimit.
func receive[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(waitLimit):
		t.Fatalf("no %s within %v", what, waitLimit)
	}
	return v
}

// waitUntil waits until ok returns true. The test fails if that takes longer than waitLimit.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(time.Millisecond) { // polls: there is no event to wait for
		if time.Now().After(end) {
			t.Fatalf("condition not true within %v", waitLimit)
		}
	}
}

// closeAtEnd closes c at the end of the test. The test may have closed it before.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// gatedPool is a pool, and the resolver of all requests to it. Its answers wait until the gate
// opens or the client of the request disconnects.
type gatedPool struct {
	admitted, canceled chan string   // IDs of requests
	gate               chan struct{} // a value lets one answer pass; closed for all
	cancels            chan *core.Request
	release            func() // Release of each response; may be nil
}

// newGatedPool returns a pool whose gate is shut.
func newGatedPool() *gatedPool {
	return &gatedPool{
		admitted: make(chan string, 100), canceled: make(chan string, 100),
		gate: make(chan struct{}), cancels: make(chan *core.Request, 100),
	}
}

// Clock implements front.Pool.
func (p *gatedPool) Clock() core.Clock { return core.NewClock() }

// ReserveID implements front.Pool.
func (p *gatedPool) ReserveID(*core.Request) bool { return true }

// ReleaseID implements front.Pool.
func (p *gatedPool) ReleaseID(*core.Request) {}

// Do implements front.Pool. It answers with status 200 and the ID of the request.
func (p *gatedPool) Do(r *core.Request) core.Answer {
	if r.HasClientLeft != nil && r.HasClientLeft() {
		p.canceled <- r.ID
		return core.Answer{Verdict: core.Canceled}
	}
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

// invalidPath is the path of requests that gatedPool rejects.
const invalidPath = "invalid"

// Resolve implements front.Resolver. The path of a request is its ID.
func (p *gatedPool) Resolve(r *http.Request) (front.Destination, *front.RequestError) {
	if r.URL.Path == "/"+invalidPath {
		return front.Destination{}, badRequest("invalid path")
	}
	return front.Destination{
		Pool: p, ID: strings.TrimPrefix(r.URL.Path, "/"), Tenant: -1, Target: r.RequestURI,
		Timeout: time.Minute, MaxBody: 64 << 10,
	}, nil
}

// ampleMemory returns more memory than the requests of a test need.
func ampleMemory() *front.RequestMemory { return front.NewRequestMemory(1<<30, 1<<30) }

// unlimitedQuota is a DescriptorQuota without a limit.
type unlimitedQuota struct{}

// Acquire implements DescriptorQuota.
func (unlimitedQuota) Acquire() bool { return true }

// Release implements DescriptorQuota.
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

// serve runs a front for a pool until the test ends.
func serve(t *testing.T, l net.Listener, pool *gatedPool) *Front {
	t.Helper()
	return serveWithMemory(t, l, pool, ampleMemory())
}

// serveWithMemory is serve with a limit of the memory of requests.
func serveWithMemory(t *testing.T, l net.Listener, pool *gatedPool, memory *front.RequestMemory) *Front {
	t.Helper()
	cfg := testConfig(l, pool)
	cfg.Memory = memory
	f := New(cfg)
	run(t, f)
	return f
}

// testConfig returns the configuration of a front without limits.
func testConfig(l net.Listener, pool *gatedPool) Config {
	return Config{
		Listener: l, Resolver: pool, IsHealthy: func() bool { return true },
		Quota: unlimitedQuota{}, Memory: ampleMemory(), Log: slog.New(slog.DiscardHandler),
	}
}

// run runs a front until the test ends.
func run(t *testing.T, f *Front) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- f.Serve() }()
	t.Cleanup(func() {
		f.Close()
		if err := receive(t, "end of the front", ended); err != nil {
			t.Error(err)
		}
	})
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

// send writes text to a connection.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads a response and checks that it belongs to the request with the given ID.
func readResponse(t *testing.T, r *bufio.Reader, id string) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("request %s: %v", id, err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != id {
		t.Fatalf("request %s: got body %q, %v", id, body, err)
	}
	return resp
}

// onlyConn returns a function that applies check to the only connection of a front, with its locks
// held. The function returns false if there is no connection.
func onlyConn(f *Front, check func(*clientConn) bool) func() bool {
	return func() bool {
		f.conns.mu.Lock()
		defer f.conns.mu.Unlock()
		for c := range f.conns.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return check(c)
		}
		return false
	}
}

// acceptConn returns a connection that a connTracker has accepted and that nothing serves, and its
// peer.
func acceptConn(t *testing.T) (tracker *connTracker, c *clientConn, peer net.Conn) {
	t.Helper()
	l := listen(t)
	tracker = newConnTracker(l, unlimitedQuota{}, ampleMemory())
	peer, _ = dial(t, l)
	c, err := tracker.accept()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, c)
	return tracker, c, peer
}
