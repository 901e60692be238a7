package worker

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"fernlanding/internal/socket"
)

const (
	// idleTimeout is the time for which a client keeps an idle connection. It is shorter than the
	// sidecar's idle timeout (10 s), so that the sidecar does not close a connection while the
	// client sends a request.
	idleTimeout = 5 * time.Second
	// maxResponseBytes is the largest number of bytes of a response's body that is read.
	maxResponseBytes = 1 << 20
)

// Reasons why a request has no response or an invalid one. The values are stored in histories, and
// the checks compare them.
const (
	NoConnection  = "no connection"
	ClosedEarly   = "closed with no answer"
	TimedOut      = "no answer in time"
	Truncated     = "an answer that is not whole"
	WrongResponse = "another request's answer"
	TrailingBytes = "bytes after the answer"
)

// clientConn is a client's connection to a sidecar.
type clientConn struct {
	net.Conn
	reader    *bufio.Reader
	reused    bool // a response has been read from the connection
	idleSince time.Time
}

// discard closes a connection that is not used again. It ignores the error because no data depends
// on the close.
func (c *clientConn) discard() { _ = c.Close() }

// exchange writes a request and reads the head of its response.
func (c *clientConn) exchange(text, method string) (*http.Response, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// failure returns the reason why an exchange failed with err.
func failure(err error) string {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return TimedOut
	case errors.Is(err, io.ErrUnexpectedEOF):
		return Truncated
	}
	return ClosedEarly
}

// roundTrip sends a request and reads its response. It returns the response's status, or 0 if there
// is no response, and the reason why the response is missing or invalid, or "".
//
// If a reused connection was closed without a response, an idempotent request is sent again, once.
// The sidecar may have closed the connection between two requests.
func (g *clientGroup) roundTrip(name string, req clientRequest, deadline time.Time) (status int, reason string) {
	for isFirst := true; ; isFirst = false {
		conn := g.takeIdle(name)
		if conn == nil {
			conn = g.dial(name, deadline)
		}
		if conn == nil {
			return 0, NoConnection
		}
		_ = conn.SetDeadline(deadline) // fails only on a closed connection, on which the exchange fails too
		resp, err := conn.exchange(req.text, req.class.Method)
		if err == nil {
			return g.readResponse(name, conn, resp, req.expected)
		}
		conn.discard()
		reason := failure(err)
		if reason == ClosedEarly && conn.reused && isFirst && req.class.Idempotency == "safe" {
			continue
		}
		if reason == ClosedEarly || reason == TimedOut {
			g.markUnready(name)
		}
		return 0, reason
	}
}

// dial connects to a sidecar. It returns nil if the sidecar cannot be reached.
func (g *clientGroup) dial(name string, deadline time.Time) *clientConn {
	conn, err := net.DialTimeout("tcp4", g.spec.Sidecars[name], time.Until(deadline))
	if err != nil {
		g.markUnready(name)
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// readResponse reads the body of a response and compares it with the expected body. It keeps the
// connection for further requests if the connection can be used again.
func (g *clientGroup) readResponse(
	name string, conn *clientConn, resp *http.Response, expected string,
) (status int, reason string) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	_ = resp.Body.Close() // the rest of the body is not used
	switch {
	case err != nil:
		conn.discard()
		return 0, Truncated
	case resp.StatusCode == http.StatusOK && string(body) != expected:
		conn.discard()
		return resp.StatusCode, WrongResponse
	case conn.reader.Buffered() > 0:
		conn.discard()
		return resp.StatusCode, TrailingBytes
	}
	if resp.Close {
		conn.discard()
	} else {
		g.putIdle(name, conn)
	}
	return resp.StatusCode, ""
}

// takeIdle returns an idle connection that is open and has no unread data, or nil if there is none.
func (g *clientGroup) takeIdle(name string) *clientConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.idle[name]) > 0 {
		last := len(g.idle[name]) - 1
		conn := g.idle[name][last]
		g.idle[name] = g.idle[name][:last]
		if time.Since(conn.idleSince) < idleTimeout && socket.IsIdle(conn.Conn) {
			return conn
		}
		conn.discard()
	}
	return nil
}

// putIdle keeps a connection for further requests.
func (g *clientGroup) putIdle(name string, conn *clientConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	conn.reused = true
	conn.idleSince = time.Now()
	g.idle[name] = append(g.idle[name], conn)
}
