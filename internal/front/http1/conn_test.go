package http1

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"fernlanding/internal/socket"
)

// Between the time a head is read and the time the request is opened, the connection looks idle.
// Closing the connection then loses the request, which may be forwarded; its client sends it again.
func TestConnectionWithCompleteRequestIsNotClosed(t *testing.T) {
	for _, idle := range []bool{false, true} {
		tracker, c, peer := acceptConn(t)
		if idle {
			tracker.requestStarted(c)
			tracker.requestEnded(c)
		}
		request := getRequest("1")
		first, last := request[:len(request)-3], request[len(request)-3:]
		for _, part := range []string{first, last} {
			send(t, peer, part)
			for want := c.receivedBytes() + len(part); c.receivedBytes() < want; {
				if err := c.awaitBytes(); err != nil {
					t.Fatal(err)
				}
			}
			c.mu.Lock()
			c.lastRead = time.Now().Add(-time.Hour)
			c.mu.Unlock()
			if part == last {
				now := time.Now()
				if tracker.evictFrom(tracker.silent, now) || tracker.evictFrom(tracker.idle, now) {
					t.Errorf("idle %v: connection with a complete request was evicted", idle)
				}
			}
			if remaining := tracker.closeIdle(-time.Second); remaining != 1 {
				t.Errorf("idle %v: drain closed the connection after %q had been read", idle, part)
			}
		}
	}
}

// Nothing is read from a connection that the connTracker closes. A request that was not read is
// sent again by its client.
func TestNoReadAfterReadsAreStopped(t *testing.T) {
	_, c, peer := acceptConn(t)
	if !c.stopReadingIfIdle(time.Time{}) {
		t.Fatal("reads from an idle connection were not stopped")
	}
	send(t, peer, getRequest("1"))
	waitUntil(t, func() bool { return !socket.IsIdle(c.Conn) })
	var opErr *net.OpError
	if err := c.awaitBytes(); c.receivedBytes() > 0 || !errors.As(err, &opErr) || opErr.Op != "read" {
		t.Errorf("read %d bytes, %v, want a read error", c.receivedBytes(), err)
	}
}

// A request that arrived before the read deadline is read, because a stalled process may not have
// read it in time.
func TestBytesBeforeDeadlineAreRead(t *testing.T) {
	_, c, peer := acceptConn(t)
	send(t, peer, getRequest("1"))
	waitUntil(t, func() bool { return !socket.IsIdle(c.Conn) })
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := c.awaitBytes(); c.receivedBytes() != len(getRequest("1")) || err != nil {
		t.Errorf("read %d bytes, %v, want the request", c.receivedBytes(), err)
	}
	if err := c.awaitBytes(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing to read: got %v, want %v", err, os.ErrDeadlineExceeded)
	}
}
