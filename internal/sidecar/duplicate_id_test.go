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

// stalledLink is a link to a sidecar that stalls, as one whose process is stopped, and then reads
// all at once: what the first connection carries during the stall is held back until the second one
// has carried something, and its close comes last.
type stalledLink struct {
	target    string
	opened    atomic.Int32
	stalled   atomic.Bool
	retried   chan struct{} // closed once the second connection has carried bytes
	forwarded chan struct{} // closed once what was held back is forwarded
}

const closeDelay = 50 * time.Millisecond // of the first connection's close, after the second one's bytes

// startStalledLink starts a link to a sidecar until the test ends.
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

// forward copies a connection's bytes both ways.
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
		_, _ = io.Copy(io.Discard, server) // until it is closed
	}
}

// holdBack holds back the first bytes of a connection during the stall.
func (l *stalledLink) holdBack(number int32) {
	switch number {
	case 1:
		<-l.retried
	case 2:
		close(l.retried)
		<-l.forwarded
	}
}

// warmUpCalls is after how many calls a sidecar knows that calls are quick, and gives up one that
// hangs well before its deadline.
const warmUpCalls = 60

// Of two sidecars in a row the second stalls. The first one gives its attempt up and retries with
// the same ID, and the second reads both before it sees the first attempt's connection closed. The
// request is served, and no two attempts of it are in flight at once.
func TestRetryReadBeforeCloseOfFirstAttemptIsServed(t *testing.T) {
	var attempts, overlapping atomic.Int32
	firstConn := make(chan net.Conn, 1) // that the first attempt came on
	last := backend(t, func(c *standin.Call) bool {
		if c.URL.Path != "/a/hang" {
			return standin.Echo(c)
		}
		if attempts.Add(1) == 1 {
			firstConn <- c.Conn
			_, _ = c.Conn.Read(make([]byte, 1)) // until its caller gives it up
			return false
		}
		if socket.IsIdle(<-firstConn) { // its caller has not closed it
			overlapping.Add(1)
		}
		return standin.Echo(c)
	})
	routes := routeTo("a")
	second := startVersion1(
		t, 200, routes,
		serviceText{name: "a", classes: safeClass, source: endpointsAt(last.Addr())},
	)
	link, addr := startStalledLink(t, second.Addr())
	first := startVersion1(t, 200, routes, serviceText{name: "a", classes: safeClass, source: endpointsAt(addr)})
	for range warmUpCalls {
		if resp, _ := sendRequest(t, first, "GET", "/a/quick"); resp.StatusCode != http.StatusOK {
			t.Fatalf("a quick call got %d", resp.StatusCode)
		}
	}
	link.stalled.Store(true)
	resp, body := sendRequest(t, first, "GET", "/a/hang", "Request-Id: one")
	if resp.StatusCode != http.StatusOK || link.opened.Load() != 2 {
		t.Fatalf("got %d %q over %d connections", resp.StatusCode, body, link.opened.Load())
	}
	if attempts.Load() != 2 || overlapping.Load() != 0 {
		t.Errorf("%d attempts, %d while the first was in flight", attempts.Load(), overlapping.Load())
	}
}
