// Package backendtest has a backend on a loopback socket for the tests of packages that send to one.
package backendtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Served is an answer that serves a request, with the body "ok".
const Served = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

const maxClosed = 1000 // ends of connections that nobody has taken from Closed yet

// Reply writes what a backend answers to its nth request, from 1, to the connection, and returns whether that stays open.
type Reply func(connection io.Writer, r *http.Request, n int) (keep bool)

// Backend is a backend that calls its Reply for each request that has come whole.
type Backend struct {
	Addr     string        // host:port
	Requests atomic.Int32  // that have come whole
	Conns    atomic.Int32  // connections that were opened
	Closed   chan struct{} // one for each connection that has ended
	reply    Reply
}

// Start starts a backend that takes connections until the test ends.
func Start(t testing.TB, reply Reply) *Backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	b := &Backend{Addr: l.Addr().String(), Closed: make(chan struct{}, maxClosed), reply: reply}
	go b.serve(l)
	return b
}

func (b *Backend) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.Conns.Add(1)
		go b.converse(c)
	}
}

func (b *Backend) converse(c net.Conn) {
	defer func() { c.Close(); b.Closed <- struct{}{} }()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !b.reply(c, req, int(b.Requests.Add(1))) {
			return
		}
	}
}

// Says answers each request with the same bytes.
func Says(text string, keep bool) Reply {
	return func(connection io.Writer, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(connection, text)
		return keep
	}
}

// Hang answers nothing until the test ends.
func Hang(t testing.TB) Reply {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	return func(io.Writer, *http.Request, int) bool { <-over; return false }
}
