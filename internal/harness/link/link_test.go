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

// countingWatcher counts the events of a network.
type countingWatcher struct {
	mu          sync.Mutex
	opened      int
	requests    int64
	requestedAt time.Time // arrival time of the last request
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
	addr    string // address that clients dial
	backend *standin.Backend
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
			return testLink{network, watcher, fmt.Sprintf("%s:%d", addr, port), backend}
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
	t.Cleanup(func() { _ = conn.Close() }) // fails if the test has closed the connection
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
			t.Fatalf("read failed after %q: %v", got.String(), err)
		}
	}
}

// expectSilence checks that no bytes arrive within 50 ms.
func expectSilence(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || !os.IsTimeout(err) {
		t.Fatalf("got %d bytes and error %v, want a timeout without bytes", n, err)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
}

// Each kind of fault has its effect on the connections that it applies to and no other effect. The
// watcher receives the events of the relay.
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
		sendRequest(t, c) // 28 bytes at 100 bytes per second
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
			t.Errorf("read from an open connection: got error %v, want a reset", err)
		}
		if c, err := net.Dial("tcp4", l.addr); err == nil { // the reset may also fail the dial
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
				t.Errorf("read from a new connection: got error %v, want a reset", err)
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
			t.Errorf("read after the half-close: got error %v, want EOF", err)
		}
	})
	t.Run("faults of other processes and links", func(t *testing.T) {
		l := newTestLink(t)
		l.Begin(scenario.Fault{Kind: scenario.Cut, Link: group, Names: []string{"sidecar-1"}})
		l.Begin(scenario.Fault{Kind: scenario.Cut, Link: "sidecars-lists"})
		c := l.dial(t)
		sendRequest(t, c)
		readResponse(t, c)
	})
	t.Run("arrival time of a request on a connection made during a cut", func(t *testing.T) {
		l := newTestLink(t)
		end := l.Begin(scenario.Fault{Kind: scenario.Cut, Link: group, Direction: scenario.BothDirections})
		c := l.dial(t)
		sendRequest(t, c)
		expectSilence(t, c)
		cutEnd := time.Now()
		end()
		readResponse(t, c)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.requests != 1 || !l.requestedAt.Before(cutEnd) {
			t.Errorf("got %d requests, the last %v after the end of the cut", l.requests, l.requestedAt.Sub(cutEnd))
		}
	})
	t.Run("watcher", func(t *testing.T) {
		l := newTestLink(t)
		c := l.dial(t)
		for range 3 {
			sendRequest(t, c)
			readResponse(t, c)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.opened != 1 || l.requests != 3 || l.delivered == 0 {
			t.Errorf("got %d connections, %d requests, %d bytes delivered; want 1, 3, more than 0",
				l.opened, l.requests, l.delivered)
		}
	})
	t.Run("unknown address", func(t *testing.T) {
		l := newTestLink(t)
		_, port, _ := net.SplitHostPort(l.addr)
		c, err := net.Dial("tcp4", "127.0.0.1:"+port)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n > 0 || os.IsTimeout(err) {
			t.Errorf("got %d bytes and error %v, want a closed connection", n, err)
		}
	})
}

// A client that resets its connection while the link is cut takes back what it has sent, because
// its kernel still holds it. An orderly close does not.
func TestResetDuringCutTakesBackRequest(t *testing.T) {
	for name, established := range map[string]bool{"made before the cut": true, "made during the cut": false} {
		for _, reset := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				l := newTestLink(t)
				cut := scenario.Fault{Kind: scenario.Cut, Link: group}
				end := func() {}
				if !established {
					end = l.Begin(cut)
				}
				c := l.dial(t)
				if established {
					sendRequest(t, c)
					readResponse(t, c)
					end = l.Begin(cut)
				}
				before := l.backend.Requests()
				sendRequest(t, c)
				expectSilence(t, c)
				if tcp, ok := c.(*net.TCPConn); ok && reset {
					_ = tcp.SetLinger(0)
				}
				_ = c.Close()
				end()
				want := before + 1
				if reset {
					want = before
				}
				// A request through the relay that begins later shows that the first one is over.
				waitUntil(t, func() bool { return reset || l.backend.Requests() == want })
				other := l.dial(t)
				sendRequest(t, other)
				readResponse(t, other)
				if got := l.backend.Requests() - 1; got != want {
					t.Errorf("backend received %d requests, want %d", got, want)
				}
			})
		}
	}
}

// waitUntil waits until ok returns true. The test fails after 20 seconds.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not true within 20s")
		}
	}
}
