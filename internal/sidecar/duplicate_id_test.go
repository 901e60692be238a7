package sidecar

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/socket"
	"fernlanding/internal/standin"
)

// stalledLink is a TCP proxy that makes a sidecar appear stalled, as if its process were stopped
// and then read all pending bytes at once. During the stall it holds back the bytes of the first
// connection until the second connection has carried bytes. It forwards the close of the first
// connection last.
type stalledLink struct {
	target    string
	opened    atomic.Int32 // connections
	stalled   atomic.Bool
	retried   chan struct{} // closed when the second connection has carried bytes
	forwarded chan struct{} // closed when the held back bytes have been forwarded
}

// closeDelay is the time from the second connection's bytes to the close of the first connection.
const closeDelay = 50 * time.Millisecond

// startStalledLink starts a link to a sidecar at target until the test ends.
func startStalledLink(t *testing.T, target string) (link *stalledLink, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	link = &stalledLink{target: target, retried: make(chan struct{}), forwarded: make(chan struct{})}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go link.forward(client, link.opened.Add(1))
		}
	}()
	return link, l.Addr().String()
}

// forward copies the bytes of a connection in both directions.
func (l *stalledLink) forward(client net.Conn, number int32) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	}()
	held := false
	for buffer := make([]byte, 4096); ; {
		n, err := client.Read(buffer)
		if err != nil {
			break
		}
		if l.stalled.Load() && !held {
			held = true
			l.holdBack(number)
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			return
		}
		if held && number == 1 {
			close(l.forwarded)
			time.AfterFunc(closeDelay, func() { _ = server.Close() })
		}
	}
	if held && number == 1 {
		_, _ = io.Copy(io.Discard, server) // until the server closes the connection
	}
}

// holdBack blocks until the first bytes of a connection during the stall may be forwarded.
func (l *stalledLink) holdBack(number int32) {
	switch number {
	case 1:
		<-l.retried
	case 2:
		close(l.retried)
		<-l.forwarded
	}
}

// warmUpRequests is the number of requests after which a sidecar has learned that responses are
// fast. It then abandons a hanging attempt long before the deadline.
const warmUpRequests = 60

// The second of two chained sidecars stalls. The first sidecar cancels its attempt and retries with
// the same ID, and the second sidecar reads both attempts before it sees the close of the first
// attempt's connection. The request is served, and its attempts never overlap at the backend.
func TestRetryReadBeforeCloseOfFirstAttemptIsServed(t *testing.T) {
	var attempts, overlapping atomic.Int32
	firstConn := make(chan net.Conn, 1) // connection of the first attempt
	lastBackend := startBackend(t, func(c *standin.Call) bool {
		if c.URL.Path != "/a/hang" {
			return standin.Echo(c)
		}
		if attempts.Add(1) == 1 {
			firstConn <- c.Conn
			_, _ = c.Conn.Read(make([]byte, 1)) // until the second sidecar cancels the attempt
			return false
		}
		if socket.IsIdle(<-firstConn) { // the second sidecar has not closed the connection
			overlapping.Add(1)
		}
		return standin.Echo(c)
	})
	routes := routeTo("a")
	second := startVersion1(
		t, 200, routes,
		serviceTOML{name: "a", classes: safeClass, source: endpointsAt(lastBackend.Addr())},
	)
	link, addr := startStalledLink(t, second.Addr())
	first := startVersion1(t, 200, routes, serviceTOML{name: "a", classes: safeClass, source: endpointsAt(addr)})
	for range warmUpRequests {
		if resp, _ := sendRequest(t, first, "GET", "/a/quick"); resp.StatusCode != http.StatusOK {
			t.Fatalf("warm-up request: got %d, want 200", resp.StatusCode)
		}
	}
	link.stalled.Store(true)
	resp, body := sendRequest(t, first, "GET", "/a/hang", "Request-Id: one")
	if resp.StatusCode != http.StatusOK || link.opened.Load() != 2 {
		t.Fatalf("got %d %q over %d connections, want 200 over 2", resp.StatusCode, body, link.opened.Load())
	}
	if attempts.Load() != 2 || overlapping.Load() != 0 {
		t.Errorf("%d attempts, %d overlapping, want 2 and 0", attempts.Load(), overlapping.Load())
	}
}
