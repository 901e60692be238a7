package http1

import (
	"errors"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fernlanding/internal/socket"
	"fernlanding/logic"
)

const (
	heldBody       = 48 << 10 // bytes of a request body that does not fit into the backend's receive buffer
	smallBuffer    = 4 << 10  // receive buffer of a backend that reads nothing
	largeBuffer    = 1 << 20  // send buffer that takes a complete request in one write
	briefTimeout   = 100 * time.Millisecond
	minRequestSize = heldBody // a backend that has read fewer bytes has not got a complete request
)

// listenUnread returns a listener whose connections accept only a few bytes until they are read. The
// kernel of the other end holds the rest, as it does while the network is cut off.
func listenUnread(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
		return errors.Join(err, controlErr)
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, l)
	return l
}

// acceptOne returns the next connection of a listener.
func acceptOne(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conns := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			conns <- c
		}
	}()
	c := receive(t, "connection", conns)
	closeAtEnd(t, c)
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	return c
}

// newUnreadUpstream returns an Upstream with endpoint "a" at addr, whose connections take a complete
// request into their send buffer.
func newUnreadUpstream(addr string) *Upstream {
	u := newUpstream(4, addr)
	hookDial(u, func(c net.Conn, err error) (net.Conn, error) {
		if tcp, ok := c.(*net.TCPConn); ok {
			err = errors.Join(err, tcp.SetWriteBuffer(largeBuffer))
		}
		return c, err
	})
	return u
}

// newHeldAttempt returns an attempt whose request does not fit into the backend's receive buffer.
func newHeldAttempt(u *Upstream, timeout time.Duration) testAttempt {
	a := newAttempt(u, "a", timeout)
	a.Body = []byte(strings.Repeat("x", heldBody))
	return a
}

// writtenBytes returns how many bytes have been written to a connection. For a connection that is
// closed, to which no more are written, it returns the largest int.
func writtenBytes(t *testing.T, c net.Conn) int {
	t.Helper()
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		t.Fatalf("connection is a %T, want *net.TCPConn", c)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	acknowledged := 0
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acknowledged = int(info.Bytes_acked) - 1 // the SYN counts as a byte
		}
	})
	if err != nil {
		return math.MaxInt
	}
	return acknowledged + socket.Undelivered(c)
}

// encodedSize returns the size of an attempt's request in bytes, at least: the time that it tells may
// have become shorter.
func encodedSize(a testAttempt) int {
	first, rest := (&conn{connBuffers: takeBuffers(nil)}).encodeRequest(a.Attempt)
	return len(first) + len(rest)
}

// Guards against issue 55, review case 1: the kernel went on delivering a request that had been
// given up, and it ran a second time once the backends had forgotten its key.
func TestAbandonedRequestIsNotDeliveredLater(t *testing.T) {
	for _, c := range []struct {
		name, response string
		timeout        time.Duration
		cancel         bool
		want           logic.Status
	}{
		{name: "deadline", timeout: briefTimeout, want: logic.TimedOut},
		{name: "client disconnects", timeout: waitLimit, cancel: true, want: logic.Canceled},
		{name: "response stalls", response: "HTTP/1.1 200 OK\r\nContent-", timeout: waitLimit, want: logic.Reset},
		{name: "only informational", response: "HTTP/1.1 100 Continue\r\n\r\n", timeout: waitLimit, want: logic.Reset},
		{
			name: "body stalls", response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
			timeout: waitLimit, want: logic.Reset,
		},
		{
			name: "body without a length stalls", response: "HTTP/1.1 200 OK\r\n\r\nok",
			timeout: waitLimit, want: logic.Reset,
		},
		{name: "malformed head", response: "SSH-2.0-x\r\n\r\n", timeout: waitLimit, want: logic.Reset},
		{
			name: "response too large", response: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
			timeout: waitLimit, want: logic.Error,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := listenUnread(t)
			u := newUnreadUpstream(l.Addr().String())
			dialed := make(chan net.Conn, 1)
			hookDial(u, func(c net.Conn, err error) (net.Conn, error) {
				dialed <- c
				return c, err
			})
			a := newHeldAttempt(u, c.timeout)
			results := a.start()
			backend := acceptOne(t, l)
			received, err := io.ReadFull(backend, make([]byte, 1)) // the request is being sent
			if err != nil {
				t.Fatal(err)
			}
			written := receive(t, "dialed connection", dialed)
			waitUntil(t, func() bool { return writtenBytes(t, written) >= encodedSize(a) })
			_, _ = io.WriteString(backend, c.response)
			if c.cancel {
				a.Cancel()
			}
			if res := receive(t, "result", results); res.Status != c.want {
				t.Errorf("got %v, want %v", res.Status, c.want)
			}
			rest, _ := io.ReadAll(backend) // ends with a reset
			if received += len(rest); received >= minRequestSize {
				t.Errorf("backend got the complete request (%d bytes) after the attempt had ended", received)
			}
			if u.openConns != 0 {
				t.Errorf("%d connections open, want 0", u.openConns)
			}
		})
	}
}

// Guards against issue 55, review case 1, on a related path: the request of a retry by key, held back
// beyond the dedup window, arrived when the backends had forgotten the first attempt.
func TestRetryByKeyIsNotDeliveredAfterDedupWindow(t *testing.T) {
	l := listenUnread(t)
	u := newUnreadUpstream(l.Addr().String())
	a := newHeldAttempt(u, time.Hour)
	a.DeliverBy = time.Now().Add(briefTimeout)
	results := a.start()
	backend := acceptOne(t, l)
	if res := receive(t, "result", results); res.Status != logic.Reset {
		t.Errorf("got %v, want %v", res.Status, logic.Reset)
	}
	if received, _ := io.ReadAll(backend); len(received) >= minRequestSize {
		t.Errorf("backend got the complete request (%d bytes) after the dedup window", len(received))
	}
}

// A retry by key that was delivered within the dedup window may be answered after it.
func TestDeliveredRetryByKeyOutlivesDedupWindow(t *testing.T) {
	l := listenUnread(t)
	u := newUpstream(4, l.Addr().String())
	a := newAttempt(u, "a", waitLimit)
	a.DeliverBy = time.Now().Add(briefTimeout)
	results := a.start()
	backend := acceptOne(t, l)
	if _, err := io.ReadAtLeast(backend, make([]byte, smallBuffer), 1); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return time.Now().After(a.DeliverBy.Add(briefTimeout)) })
	if _, err := io.WriteString(backend, served); err != nil {
		t.Fatal(err)
	}
	if res := receive(t, "result", results); res.Status != logic.OK {
		t.Errorf("got %v, want %v", res.Status, logic.OK)
	}
}

// A connection without an open request ends in order: a reset would look like a failure to the
// backend.
func TestIdleConnectionIsClosedInOrder(t *testing.T) {
	l := listenUnread(t)
	u := newUpstream(4, l.Addr().String())
	results := newAttempt(u, "a", waitLimit).start()
	backend := acceptOne(t, l)
	if _, err := io.ReadAtLeast(backend, make([]byte, smallBuffer), 1); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(backend, served); err != nil {
		t.Fatal(err)
	}
	if res := receive(t, "result", results); res.Status != logic.OK {
		t.Fatalf("got %v, want %v", res.Status, logic.OK)
	}
	u.CloseExpired(time.Now().Add(u.maxIdle))
	if rest, err := io.ReadAll(backend); err != nil || len(rest) > 0 {
		t.Errorf("got %d bytes and error %v, want an orderly end", len(rest), err)
	}
}

// heldBackendVariable is the environment variable that makes a test process send a request to the
// address in it.
const heldBackendVariable = "FERNLANDING_TEST_HELD_BACKEND"

// Guards against issue 55, review case 1, on a related path: the kernel went on delivering the
// request of a process that had been killed.
func TestRequestOfKilledProcessIsNotDeliveredLater(t *testing.T) {
	if addr := os.Getenv(heldBackendVariable); addr != "" { // in the process that is killed
		newHeldAttempt(newUnreadUpstream(addr), waitLimit).run()
		return
	}
	l := listenUnread(t)
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), heldBackendVariable+"="+l.Addr().String())
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	backend := acceptOne(t, l)
	received, err := io.ReadFull(backend, make([]byte, 1)) // the request is being sent
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = child.Wait() // reports the kill
	rest, _ := io.ReadAll(backend)
	if received += len(rest); received >= minRequestSize {
		t.Errorf("backend got the complete request (%d bytes) after the process had ended", received)
	}
}
