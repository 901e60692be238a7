// Package backendtest provides a scripted backend on a loopback socket for the tests of packages
// that send to one.
package backendtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// OKResponse is a response that serves a request, with the body "ok".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

const maxClosed = 1000 // ends of connections that nobody has received from Closed yet

// Reply writes the response to a backend's nth request, from 1, to the connection, and reports
// whether that stays open.
type Reply func(connection io.Writer, r *http.Request, n int) (keep bool)

// Backend calls its Reply for each request that it has received completely.
type Backend struct {
	Addr     string        // host:port
	Requests atomic.Int32  // received completely
	Conns    atomic.Int32  // connections that were opened
	Closed   chan struct{} // one for each connection that has ended
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
	b := &Backend{Addr: l.Addr().String(), Closed: make(chan struct{}, maxClosed), reply: reply}
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

// serveConn answers the requests of a connection, one after another.
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

// RespondWith returns a Reply that writes the same bytes each time.
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
