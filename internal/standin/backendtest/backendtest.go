// Package backendtest provides a scripted backend on a loopback socket, for the tests of packages
// that send requests to a backend.
package backendtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// OKResponse is a complete response with the status 200 and the body "ok".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

const maxQueuedCloses = 1000 // capacity of Backend.Closed

// Reply writes the response to a backend's nth request, counted from 1, to the connection. It
// reports whether the connection stays open.
type Reply func(connection io.Writer, r *http.Request, n int) (keep bool)

// Backend is an HTTP/1.1 server that calls its Reply for each request.
type Backend struct {
	Addr     string        // host:port
	Requests atomic.Int32  // requests that were received completely
	Conns    atomic.Int32  // connections that were accepted
	Closed   chan struct{} // receives an element for each connection that has ended
	reply    Reply
}

// Start starts a backend that accepts connections until the test ends.
func Start(tb testing.TB, reply Reply) *Backend {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	b := &Backend{Addr: l.Addr().String(), Closed: make(chan struct{}, maxQueuedCloses), reply: reply}
	go b.serve(l)
	return b
}

// serve accepts connections until the listener is closed.
func (b *Backend) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.Conns.Add(1)
		go b.serveConn(c)
	}
}

// serveConn handles the requests of a connection, one after the other.
func (b *Backend) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.Closed <- struct{}{}
	}()
	r := bufio.NewReader(c)
	for {
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

// RespondWith returns a Reply that writes the same bytes for every request. keep is whether the
// connection stays open after them.
func RespondWith(text string, keep bool) Reply {
	return func(connection io.Writer, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(connection, text)
		return keep
	}
}

// Hang returns a Reply that writes nothing and returns when the test ends.
func Hang(tb testing.TB) Reply {
	tb.Helper()
	ended := make(chan struct{})
	tb.Cleanup(func() { close(ended) })
	return func(io.Writer, *http.Request, int) bool {
		<-ended
		return false
	}
}
