package http1

import (
	"context"
	"fernlanding/internal/membership"
	"fernlanding/internal/standin/backendtest"
	"fernlanding/logic"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// gatedConn holds a request between the look at the list and its first byte.
type gatedConn struct {
	*net.TCPConn
	at   chan struct{} // the request stands at the gate
	gate chan struct{}
}

func (c gatedConn) Write(b []byte) (int, error) {
	c.at <- struct{}{}
	<-c.gate
	return c.TCPConn.Write(b)
}

func (c gatedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return gatedRaw{raw, c}, err
}

type gatedRaw struct {
	syscall.RawConn
	of gatedConn
}

func (r gatedRaw) Write(f func(uintptr) bool) error {
	r.of.at <- struct{}{}
	<-r.of.gate
	return r.RawConn.Write(f)
}

// A drain, an end or a restart that is told between the look at the list and the first byte holds the request back.
func TestNothingBeginsOnceApplyHasReturned(t *testing.T) {
	restarted := entry("a", "", membership.Serving)
	restarted.SinceMs = 7
	for name, entries := range map[string][]membership.Endpoint{
		"drained": {entry("a", "", membership.Draining)}, "gone": {entry("a", "", membership.Deleted)}, "restarted": {restarted},
	} {
		t.Run(name, func(t *testing.T) {
			b := backendtest.Start(t, backendtest.Says(served, true))
			p := poolWith(4, b.Addr)
			c := gatedConn{at: make(chan struct{}, 1), gate: make(chan struct{})}
			dial := p.dialer
			p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
				nc, err := dial(ctx, network, addr)
				if err == nil {
					c.TCPConn = nc.(*net.TCPConn)
				}
				return c, err
			}
			a := newAttempt(p, "a", patience)
			status := make(chan logic.Status, 1)
			go func() { status <- a.run().Status }()
			wait(t, "request at the gate", c.at)
			entries[0].Address = b.Addr
			p.UpdateEndpoints(false, entries)
			close(c.gate)
			if s := wait(t, "outcome", status); s != logic.NotSent {
				t.Errorf("got %v", s)
			}
			wait(t, "close", b.Closed)
			if n := b.Requests.Load(); n > 0 {
				t.Errorf("%d requests came after the word", n)
			}
		})
	}
}

// A repeat whose connection comes up after its time to begin is not sent: what its backend recalls may be over.
func TestARepeatThatComesTooLateIsNotSent(t *testing.T) {
	b := backendtest.Start(t, backendtest.Says(served, true))
	p := poolWith(4, b.Addr)
	a := newAttempt(p, "a", patience)
	dial := p.dialer
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		a.SendBy = time.Now().Add(-1)
		return nc, err
	}
	if res := a.run(); res.Status != logic.NotSent {
		t.Errorf("got %v", res.Status)
	}
	wait(t, "close", b.Closed)
	if n := b.Requests.Load(); n > 0 {
		t.Errorf("%d requests came", n)
	}
}

// A client that goes while its request is being written is no fault of the backend's, which has read none of it.
func TestStoppedInMidWriteBlamesNobody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := poolWith(4, l.Addr().String())
	a := newAttempt(p, "a", patience)
	a.Method, a.Body = "POST", []byte(strings.Repeat("x", 32<<20)) // more than the kernel takes
	status := make(chan logic.Status, 1)
	go func() { status <- a.run().Status }()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	a.Cancel()
	if s := wait(t, "outcome", status); s != logic.NotSent {
		t.Errorf("got %v", s)
	}
}
