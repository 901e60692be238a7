package sidecar

import (
	"fernlanding/internal/standin"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// stalledLink is a link to a sidecar that reads nothing for a while, as one whose process is stopped, and then reads all that has come: what
// the first connection brings during the stall is held back until the second one has brought something, and its close comes last.
type stalledLink struct {
	to        string
	opened    atomic.Int32
	stalled   atomic.Bool
	retried   chan struct{} // closed once the second connection has brought bytes
	forwarded chan struct{} // closed once what was held back has gone on
}

const closeDelay = 50 * time.Millisecond // of the first connection's close, after the second one's bytes

func startStalledLink(t *testing.T, to string) (link *stalledLink, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	link = &stalledLink{to: to, retried: make(chan struct{}), forwarded: make(chan struct{})}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go link.carry(client, link.opened.Add(1))
		}
	}()
	return link, l.Addr().String()
}

// carry carries a connection's bytes both ways.
func (l *stalledLink) carry(client net.Conn, number int32) {
	defer client.Close()
	server, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(client, server)
		client.Close()
	}()
	held := false
	for buffer := make([]byte, 4096); ; {
		n, err := client.Read(buffer)
		if err != nil {
			break
		}
		if l.stalled.Load() && !held {
			held = true
			l.hold(number)
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			return
		}
		if held && number == 1 {
			close(l.forwarded)
			time.AfterFunc(closeDelay, func() { server.Close() })
		}
	}
	if held && number == 1 {
		_, _ = io.Copy(io.Discard, server) // until it is closed
	}
}

// hold keeps back what a connection brings first during the stall.
func (l *stalledLink) hold(number int32) {
	switch number {
	case 1:
		<-l.retried
	case 2:
		close(l.retried)
		<-l.forwarded
	}
}

const warmUpCalls = 60 // after which a sidecar knows that calls are quick, and gives up one that hangs well before its deadline

// Of two sidecars in a row the second stalls. The first gives its attempt up and sends the request again under its id, and the second reads
// both before it sees the first one's connection closed. The request is served, and no two attempts of it are out at once.
func TestARetryThatIsReadBeforeItsFirstAttemptsCloseIsServed(t *testing.T) {
	var hung atomic.Bool
	var open, most atomic.Int32
	last := backend(t, func(c *standin.Call) bool {
		most.Store(max(most.Load(), open.Add(1)))
		defer open.Add(-1)
		if c.URL.Path == "/a/hang" && hung.CompareAndSwap(false, true) {
			_, _ = c.Conn.Read(make([]byte, 1)) // until its caller gives it up
			return false
		}
		return standin.Echo(c)
	})
	routes := to("a")
	second := start(t, decode(t, 200, routes, svc{"a", safeClass, at(last.Addr()), ""}))
	link, addr := startStalledLink(t, second.Addr())
	first := start(t, decode(t, 200, routes, svc{"a", safeClass, at(addr), ""}))
	for range warmUpCalls {
		if resp, _ := ask(t, first, "GET", "/a/quick"); resp.StatusCode != http.StatusOK {
			t.Fatalf("a quick call got %d", resp.StatusCode)
		}
	}
	link.stalled.Store(true)
	resp, body := ask(t, first, "GET", "/a/hang", "Request-Id: one")
	if resp.StatusCode != http.StatusOK || link.opened.Load() != 2 {
		t.Fatalf("got %d %q over %d connections", resp.StatusCode, body, link.opened.Load())
	}
	if most.Load() != 1 {
		t.Errorf("%d attempts at once", most.Load())
	}
}
