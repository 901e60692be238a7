package http1

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// respondInParts returns a Reply that writes each part once the proxy has read the parts before,
// and ends the connection once it has read all.
func respondInParts(t *testing.T, parts []string, reset bool, bytesRead *atomic.Int64) backendtest.Reply {
	t.Helper()
	return func(w io.Writer, _ *http.Request, _ int) bool {
		written := int64(0)
		for _, part := range parts {
			n, _ := io.WriteString(w, part)
			written += int64(n)
			waitUntil(t, func() bool { return bytesRead.Load() == written })
		}
		if tcp, ok := w.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		return false
	}
}

// Guards against issue 55, review case 2: a response whose body ends with the connection was never
// served. Only an orderly end ends a body: after a reset, bytes may be missing.
func TestBodyWithoutLengthEndsOnlyInOrder(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "0123456789"
	for _, c := range []struct {
		name  string
		parts []string
		reset bool
		want  logic.Status
	}{
		{"one part", []string{head + body}, false, logic.OK},
		{"head alone, then the body", []string{head, body[:3], body[3:]}, false, logic.OK},
		{"longer than the read buffer", []string{head, strings.Repeat(body, bodyPartSize/len(body))}, false, logic.OK},
		{"reset behind the head", []string{head}, true, logic.Reset},
		{"reset within the body", []string{head, body[:3]}, true, logic.Reset},
		{"reset behind the body", []string{head + body}, true, logic.Reset},
		{"reset behind the body, in parts", []string{head, body[:3], body[3:]}, true, logic.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			bytesRead := new(atomic.Int64)
			b := backendtest.Start(t, respondInParts(t, c.parts, c.reset, bytesRead))
			u := newUpstream(4, b.Addr)
			hookDial(u, func(conn net.Conn, err error) (net.Conn, error) { return countingConn{conn, bytesRead}, err })
			res := newAttempt(u, "a", waitLimit).run()
			if res.Status != c.want {
				t.Fatalf("got %v, want %v", res.Status, c.want)
			}
			want := strings.TrimPrefix(strings.Join(c.parts, ""), head)
			if c.want == logic.OK && string(res.Response.Body) != want {
				t.Errorf("got %d bytes, want %d", len(res.Response.Body), len(want))
			}
			if u.openConns != 0 {
				t.Errorf("%d connections open, want 0", u.openConns)
			}
		})
	}
}
