package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
)

// gatedConn blocks a request between the check of the endpoint list and its first byte.
type gatedConn struct {
	*net.TCPConn
	reached chan struct{} // receives a value when the request is at the gate
	gate    chan struct{} // closed to let the request pass
}

// Write implements net.Conn. It waits at the gate.
func (c gatedConn) Write(b []byte) (int, error) {
	c.reached <- struct{}{}
	<-c.gate
	return c.TCPConn.Write(b)
}

// SyscallConn implements syscall.Conn. Writes on the raw connection wait at the gate too.
func (c gatedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return gatedRawConn{raw, c}, err
}

// gatedRawConn is the raw connection of a gatedConn.
type gatedRawConn struct {
	syscall.RawConn
	conn gatedConn
}

// Write implements syscall.RawConn. It waits at the gate.
func (r gatedRawConn) Write(f func(uintptr) bool) error {
	r.conn.reached <- struct{}{}
	<-r.conn.gate
	return r.RawConn.Write(f)
}

// An update that drains, removes or restarts the endpoint may arrive between the check of the
// endpoint list and the first byte of a request. The request is not sent then.
func TestNoWriteBeginsAfterUpdateEndpoints(t *testing.T) {
	restarted := newEndpoint("a", "", membership.Serving)
	restarted.StartedMs = 7
	for name, entry := range map[string]membership.Endpoint{
		"drained":   newEndpoint("a", "", membership.Draining),
		"removed":   newEndpoint("a", "", membership.Deleted),
		"restarted": restarted,
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.RespondWith(served, true))
			u := newUpstream(4, b.Addr)
			gated := gatedConn{reached: make(chan struct{}, 1), gate: make(chan struct{})}
			hookDial(u, func(c net.Conn, err error) (net.Conn, error) {
				if err == nil {
					tcpConn, ok := c.(*net.TCPConn)
					if !ok {
						t.Errorf("dialed connection is a %T, want *net.TCPConn", c)
					}
					gated.TCPConn = tcpConn
				}
				return gated, err
			})
			results := newAttempt(u, "a", waitLimit).start()
			receive(t, "request at the gate", gated.reached)
			entry.Address = b.Addr
			u.UpdateEndpoints(false, []membership.Endpoint{entry})
			close(gated.gate)
			if res := receive(t, "outcome", results); res.Status != logic.NotSent {
				t.Errorf("got %v, want %v", res.Status, logic.NotSent)
			}
			receive(t, "close", b.Closed)
			if n := b.Requests.Load(); n > 0 {
				t.Errorf("backend received %d requests after the update, want 0", n)
			}
		})
	}
}

// A retry whose connection is established after SendBy is not sent, because the dedup window of its
// backend may be over.
func TestRequestIsNotSentAfterSendBy(t *testing.T) {
	b := backendtest.Start(t, backendtest.RespondWith(served, true))
	u := newUpstream(4, b.Addr)
	a := newAttempt(u, "a", waitLimit)
	hookDial(u, func(c net.Conn, err error) (net.Conn, error) {
		a.SendBy = time.Now().Add(-1)
		return c, err
	})
	if res := a.run(); res.Status != logic.NotSent {
		t.Errorf("got %v, want %v", res.Status, logic.NotSent)
	}
	receive(t, "close", b.Closed)
	if n := b.Requests.Load(); n > 0 {
		t.Errorf("backend received %d requests, want 0", n)
	}
}

// A client that disconnects while its request is being written is not the fault of the backend,
// which has not read the request.
func TestCancelDuringWriteIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, l)
	u := newUpstream(4, l.Addr().String())
	a := newAttempt(u, "a", waitLimit)
	a.Method, a.Body = http.MethodPost, []byte(strings.Repeat("x", 32<<20)) // more than the kernel buffers
	results := a.start()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, c)
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	a.Cancel()
	if res := receive(t, "outcome", results); res.Status != logic.NotSent {
		t.Errorf("got %v, want %v", res.Status, logic.NotSent)
	}
}

// A write that fails before the last byte proves that the request never ran. A complete write does
// not.
func TestPartialWriteIsConnectFailed(t *testing.T) {
	u := newUpstream(4, "127.0.0.1:1")
	u.dialer = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			_, _ = io.ReadFull(far, make([]byte, 5))
			_ = far.Close()
		}()
		return near, nil
	}
	if res := newAttempt(u, "a", waitLimit).run(); res.Status != logic.ConnectFailed {
		t.Errorf("got %v, want %v", res.Status, logic.ConnectFailed)
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	requests := make(chan *http.Request, 1)
	b := backendtest.Start(t, func(w io.Writer, r *http.Request, _ int) bool {
		requests <- r
		_, _ = io.WriteString(w, served)
		return true
	})
	newAttempt(newUpstream(4, b.Addr), "a", 900*time.Millisecond+waitLimit).run()
	r := receive(t, "request", requests)
	if r.RequestURI != "/look/k%2f1?x=%20y" || r.Host != "backend.local" || r.Header.Get("Request-Id") != "1" {
		t.Errorf("got target %s, host %s, header %v", r.RequestURI, r.Host, r.Header)
	}
	if ms := r.Header.Get("Request-Timeout-Ms"); len(ms) != 5 || ms > "20900" {
		t.Errorf("got Request-Timeout-Ms %q, want 5 digits and at most 20900", ms)
	}
}
