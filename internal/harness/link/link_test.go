package link_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/harness/link"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/standin"
)

// countingWatcher counts what a network reports.
type countingWatcher struct {
	mu          sync.Mutex
	opened      int
	requests    int64
	requestedAt time.Time // arrival of the last request
	delivered   int64
}

func (w *countingWatcher) Opened(link.Peers) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opened++
}

func (w *countingWatcher) Sent(_ link.Peers, _ string, n int64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = n
	w.requestedAt = at
}

func (w *countingWatcher) Delivered(_ link.Peers, _ string, n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delivered = n
}

const group = "sidecars-backends"

// testLink is a relay to an echoing backend.
type testLink struct {
	*link.Network
	*countingWatcher
	addr string // where a client reaches the relay
}

// newTestLink opens a relay on a free port.
func newTestLink(t *testing.T) testLink {
	t.Helper()
	backend, err := standin.NewBackend(standin.Echo)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Close)
	watcher := &countingWatcher{}
	addr := link.AddrOf(os.Getpid()%100, 7)
	network := link.New(watcher)
	t.Cleanup(network.Close)
	route := func(dialled link.Addr) (link.Peers, string, bool) {
		return link.Peers{From: "sidecar-8", To: "backend-1"}, backend.Addr(), dialled == addr
	}
	for port := 31_000; port < 32_000; port++ {
		err = network.Listen(link.Relay{Group: group, Port: port, Deliveries: true, Route: route})
		if err == nil {
			return testLink{network, watcher, fmt.Sprintf("%s:%d", addr, port)}
		}
	}
	t.Fatal(err)
	return testLink{}
}

// dial opens a connection through the relay.
func (l testLink) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", l.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // a test may have closed it
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// sendRequest writes one request.
func sendRequest(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one complete response.
func readResponse(t *testing.T, c net.Conn) {
	t.Helper()
	var got strings.Builder
	buffer := make([]byte, 1000)
	for !strings.HasSuffix(got.String(), "GET /x\n") {
		n, err := c.Read(buffer)
		got.Write(buffer[:n])
		if err != nil {
			t.Fatalf("%v after %q", err, got.String())
		}
	}
}

// expectSilence checks that no bytes come for a while. The wait is what is measured.
func expectSilence(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || !os.IsTimeout(err) {
		t.Fatalf("%d bytes, %v while nothing was to come", n, err)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
}

// Each kind of fault does to a connection what it is for and no more, and the watcher receives what
// passes.
func TestRelaysAndFaults(t *testing.T) {
	blocks := func(f scenario.Fault) func(*testing.T) {
		return func(t *testing.T) {
			t.Helper()
			l := newTestLink(t)
			c := l.dial(t)
			sendRequest(t, c)
			readResponse(t, c)
			f.Link = group
			end := l.Begin(f)
			sendRequest(t, c)
			expectSilence(t, c)
			end()
			readResponse(t, c)
			sendRequest(t, c)
			readResponse(t, c)
		}
	}
	t.Run("cut", blocks(scenario.Fault{Kind: scenario.Cut, Direction: scenario.BothDirections}))
	t.Run("cut of one pair", blocks(scenario.Fault{Kind: scenario.Cut, Names: []string{"sidecar-8"}}))
	t.Run("one way there", blocks(scenario.Fault{Kind: scenario.OneWay, Direction: scenario.ToServer}))
	t.Run("one way back", blocks(scenario.Fault{Kind: scenario.OneWay, Direction: scenario.ToClient}))
	hold := scenario.Fault{Kind: scenario.Hold, Direction: scenario.ToServer, Bytes: 10}
	t.Run("held in the middle of a request", blocks(hold))
	t.Run("held in the middle of a response", func(t *testing.T) {
		l := newTestLink(t)
		c := l.dial(t)
		end := l.Begin(scenario.Fault{Kind: scenario.Hold, Link: group, Direction: scenario.ToClient, Bytes: 5})
		sendRequest(t, c)
		if n, err := io.ReadFull(c, make([]byte, 5)); n != 5 || err != nil {
			t.Fatal(n, err)
		}
		expectSilence(t, c)
		end()
		readResponse(t, c)
	})
	t.Run("delayed", func(t *testing.T) {
		l := newTestLink(t)
		c := l.dial(t)
		l.Begin(scenario.Fault{
			Kind:      scenario.Delay,
			Link:      group,
			Direction: scenario.ToClient,
			Delay:     120 * time.Millisecond,
		})
		sendRequest(t, c)
		expectSilence(t, c)
		readResponse(t, c)
	})
	t.Run("slow", func(t *testing.T) {
		l := newTestLink(t)
		c := l.dial(t)
		end := l.Begin(scenario.Fault{Kind: scenario.Slow, Link: group, Direction: scenario.ToServer, Rate: 100})
		sendRequest(t, c) // 28 bytes at 100 a second
		expectSilence(t, c)
		end()
		readResponse(t, c)
	})
	t.Run("reset", func(t *testing.T) {
		l := newTestLink(t)
		c := l.dial(t)
		sendRequest(t, c)
		readResponse(t, c)
		end := l.Begin(scenario.Fault{Kind: scenario.Reset, Link: group})
		if _, err := c.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("an open connection: %v", err)
		}
		if c, err := net.Dial("tcp4", l.addr); err == nil { // it may be reset while it is made
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
				t.Errorf("a new connection: %v", err)
			}
			_ = c.Close()
		}
		end()
		c = l.dial(t)
		sendRequest(t, c)
		readResponse(t, c)
	})
	t.Run("half closed", func(t *testing.T) {
		l := newTestLink(t)
		c := l.dial(t)
		sendRequest(t, c)
		readResponse(t, c)
		l.Begin(scenario.Fault{Kind: scenario.HalfClose, Link: group, Direction: scenario.ToClient})
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("after the far side's end: %v", err)
		}
	})
	t.Run("a fault of others", func(t *testing.T) {
		l := newTestLink(t)
		l.Begin(scenario.Fault{Kind: scenario.Cut, Link: group, Names: []string{"sidecar-1"}})
		l.Begin(scenario.Fault{Kind: scenario.Cut, Link: "sidecars-lists"})
		c := l.dial(t)
		sendRequest(t, c)
		readResponse(t, c)
	})
	t.Run("a request on a connection made while its link is cut came when it came", func(t *testing.T) {
		l := newTestLink(t)
		end := l.Begin(scenario.Fault{Kind: scenario.Cut, Link: group, Direction: scenario.BothDirections})
		c := l.dial(t)
		sendRequest(t, c)
		expectSilence(t, c)
		mended := time.Now()
		end()
		readResponse(t, c)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.requests != 1 || !l.requestedAt.Before(mended) {
			t.Errorf("request %d came %v after its link was mended", l.requests, l.requestedAt.Sub(mended))
		}
	})
	t.Run("what the watcher receives", func(t *testing.T) {
		l := newTestLink(t)
		c := l.dial(t)
		for range 3 {
			sendRequest(t, c)
			readResponse(t, c)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.opened != 1 || l.requests != 3 || l.delivered == 0 {
			t.Errorf("%d connections, %d requests, %d bytes back", l.opened, l.requests, l.delivered)
		}
	})
	t.Run("an unknown address", func(t *testing.T) {
		l := newTestLink(t)
		_, port, _ := net.SplitHostPort(l.addr)
		c, err := net.Dial("tcp4", "127.0.0.1:"+port)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n > 0 || os.IsTimeout(err) {
			t.Errorf("%d bytes, %v", n, err)
		}
	})
}
