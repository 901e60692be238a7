package http1

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"fernlanding/internal/socket"
)

// Between net/http's reading of a request and its report the connection looks idle and quiet.
// Closing it lost the request, which may have been forwarded; its client sends it once more.
func TestConnectionWithCompleteRequestIsNotClosed(t *testing.T) {
	for _, idle := range []bool{false, true} {
		tracker, c, peer := acceptConn(t)
		if idle {
			tracker.onStateChange(c, http.StateActive)
			tracker.onStateChange(c, http.StateIdle)
		}
		request := getRequest("1")
		first, last := request[:len(request)-3], request[len(request)-3:]
		for _, part := range []string{first, last} {
			send(t, peer, part)
			for got := 0; got < len(part); {
				n, err := c.Read(make([]byte, 4096))
				if err != nil {
					t.Fatal(err)
				}
				got += n
			}
			c.mu.Lock()
			c.lastRead = time.Now().Add(-time.Hour)
			c.mu.Unlock()
			if part == last {
				now := time.Now()
				if tracker.evictFrom(tracker.silent, now) || tracker.evictFrom(tracker.idle, now) {
					t.Errorf("idle %v: evicted with a complete request", idle)
				}
			}
			if busy := tracker.closeIdle(-time.Second); busy != 1 {
				t.Errorf("idle %v: closed by the drain with %q read", idle, part)
			}
		}
	}
}

// What the connTracker closes is read no more: the client's request has not been read, and is sent
// once more.
func TestNothingIsReadAfterReadsStopped(t *testing.T) {
	_, c, peer := acceptConn(t)
	if !c.stopReadingIfQuiet(time.Time{}) {
		t.Fatal("reads go on from a quiet connection")
	}
	send(t, peer, getRequest("1"))
	waitUntil(t, func() bool { return !socket.IsIdle(c.Conn) })
	var opErr *net.OpError
	if n, err := c.Read(make([]byte, 4096)); n > 0 || !errors.As(err, &opErr) || opErr.Op != "read" {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// A request that has come before the read deadline is read: a process that was stalled has not
// looked.
func TestBytesBeforeDeadlineAreRead(t *testing.T) {
	_, c, peer := acceptConn(t)
	send(t, peer, getRequest("1"))
	waitUntil(t, func() bool { return !socket.IsIdle(c.Conn) })
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 4096)); n != len(getRequest("1")) || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if _, err := c.Read(make([]byte, 4096)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: %v", err)
	}
}
