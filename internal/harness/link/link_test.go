package link_test

import (
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

// seen counts what a network tells.
type seen struct {
	mu     sync.Mutex
	opened int
	sent   int64
	when   time.Time // the last request came
	back   int64
}

func (s *seen) Opened(link.Peers) { s.mu.Lock(); s.opened++; s.mu.Unlock() }
func (s *seen) Sent(_ link.Peers, _ string, n int64, at time.Time) {
	s.mu.Lock()
	s.sent, s.when = n, at
	s.mu.Unlock()
}
func (s *seen) Delivered(_ link.Peers, _ string, n int64) { s.mu.Lock(); s.back = n; s.mu.Unlock() }

const group = "sidecars-backends"

// bed is a relay before an echoing backend.
type bed struct {
	*link.Network
	*seen
	at string
}

func lay(t *testing.T) bed {
	t.Helper()
	b, err := standin.NewBackend(standin.Echo)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	s := &seen{}
	place := link.AddrOf(os.Getpid()%100, 7)
	n := link.New(s)
	t.Cleanup(n.Close)
	for port := 31_000; port < 32_000; port++ {
		err = n.Listen(link.Relay{Group: group, Port: port, Deliveries: true, Route: func(at link.Addr) (link.Peers, string, bool) {
			return link.Peers{From: "sidecar-8", To: "backend-1"}, b.Addr(), at == place
		}})
		if err == nil {
			return bed{n, s, fmt.Sprintf("%s:%d", place, port)}
		}
	}
	t.Fatal(err)
	return bed{}
}

func (b bed) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", b.at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

func ask(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
}

// answered reads one whole answer.
func answered(t *testing.T, c net.Conn) {
	t.Helper()
	var got strings.Builder
	for buf := make([]byte, 1000); !strings.HasSuffix(got.String(), "GET /x\n"); {
		n, err := c.Read(buf)
		if got.Write(buf[:n]); err != nil {
			t.Fatalf("%v after %q", err, got.String())
		}
	}
}

// silent sees that nothing comes for a while, which is what is measured.
func silent(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || !os.IsTimeout(err) {
		t.Fatalf("%d bytes, %v while nothing was to come", n, err)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
}

func TestRelaysAndFaults(t *testing.T) {
	held := func(f scenario.Fault) func(*testing.T) {
		return func(t *testing.T) {
			b := lay(t)
			c := b.dial(t)
			ask(t, c)
			answered(t, c)
			f.Link = group
			end := b.Begin(f)
			ask(t, c)
			silent(t, c)
			end()
			answered(t, c)
			ask(t, c)
			answered(t, c)
		}
	}
	t.Run("cut", held(scenario.Fault{Kind: scenario.Cut, Direction: scenario.BothDirections}))
	t.Run("cut of one pair", held(scenario.Fault{Kind: scenario.Cut, Names: []string{"sidecar-8"}}))
	t.Run("one way there", held(scenario.Fault{Kind: scenario.OneWay, Direction: scenario.ToServer}))
	t.Run("one way back", held(scenario.Fault{Kind: scenario.OneWay, Direction: scenario.ToClient}))
	t.Run("held in the middle of a request", held(scenario.Fault{Kind: scenario.Hold, Direction: scenario.ToServer, Bytes: 10}))
	t.Run("held in the middle of an answer", func(t *testing.T) {
		b := lay(t)
		c := b.dial(t)
		end := b.Begin(scenario.Fault{Kind: scenario.Hold, Link: group, Direction: scenario.ToClient, Bytes: 5})
		ask(t, c)
		if n, err := io.ReadFull(c, make([]byte, 5)); n != 5 || err != nil {
			t.Fatal(n, err)
		}
		silent(t, c)
		end()
		answered(t, c)
	})
	t.Run("late", func(t *testing.T) {
		b := lay(t)
		c := b.dial(t)
		b.Begin(scenario.Fault{Kind: scenario.Delay, Link: group, Direction: scenario.ToClient, Delay: 120 * time.Millisecond})
		ask(t, c)
		silent(t, c)
		answered(t, c)
	})
	t.Run("slow", func(t *testing.T) {
		b := lay(t)
		c := b.dial(t)
		end := b.Begin(scenario.Fault{Kind: scenario.Slow, Link: group, Direction: scenario.ToServer, Rate: 100})
		ask(t, c) // 28 bytes at 100 a second
		silent(t, c)
		end()
		answered(t, c)
	})
	t.Run("reset", func(t *testing.T) {
		b := lay(t)
		c := b.dial(t)
		ask(t, c)
		answered(t, c)
		end := b.Begin(scenario.Fault{Kind: scenario.Reset, Link: group})
		if _, err := c.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("an open connection: %v", err)
		}
		if c, err := net.Dial("tcp4", b.at); err == nil { // it may be reset while it is made
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
				t.Errorf("a new connection: %v", err)
			}
			c.Close()
		}
		end()
		c = b.dial(t)
		ask(t, c)
		answered(t, c)
	})
	t.Run("half closed", func(t *testing.T) {
		b := lay(t)
		c := b.dial(t)
		ask(t, c)
		answered(t, c)
		b.Begin(scenario.Fault{Kind: scenario.Half, Link: group, Direction: scenario.ToClient})
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("after the far side's end: %v", err)
		}
	})
	t.Run("a fault of others", func(t *testing.T) {
		b := lay(t)
		b.Begin(scenario.Fault{Kind: scenario.Cut, Link: group, Names: []string{"sidecar-1"}})
		b.Begin(scenario.Fault{Kind: scenario.Cut, Link: "sidecars-lists"})
		c := b.dial(t)
		ask(t, c)
		answered(t, c)
	})
	t.Run("a request on a connection made while its link is cut came when it came", func(t *testing.T) {
		b := lay(t)
		end := b.Begin(scenario.Fault{Kind: scenario.Cut, Link: group, Direction: scenario.BothDirections})
		c := b.dial(t)
		ask(t, c)
		silent(t, c)
		whole := time.Now()
		end()
		answered(t, c)
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.sent != 1 || !b.when.Before(whole) {
			t.Errorf("request %d came %v after its link was whole again", b.sent, b.when.Sub(whole))
		}
	})
	t.Run("what is told", func(t *testing.T) {
		b := lay(t)
		c := b.dial(t)
		for range 3 {
			ask(t, c)
			answered(t, c)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.opened != 1 || b.sent != 3 || b.back == 0 {
			t.Errorf("%d connections, %d requests, %d bytes back", b.opened, b.sent, b.back)
		}
	})
	t.Run("a place that is nobody's", func(t *testing.T) {
		b := lay(t)
		_, port, _ := net.SplitHostPort(b.at)
		c, err := net.Dial("tcp4", "127.0.0.1:"+port)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n > 0 || os.IsTimeout(err) {
			t.Errorf("%d bytes, %v", n, err)
		}
	})
}
