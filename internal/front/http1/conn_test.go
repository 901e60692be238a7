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

// Between the time net/http reads a request and the time it reports the request, the connection
// looks idle. Closing the connection then loses the request, which may have been forwarded; its
// client sends it again.
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
	if n, err := c.Read(make([]byte, 4096)); n > 0 || !errors.As(err, &opErr) || opErr.Op != "read" {
		t.Errorf("read %d bytes, %v, want a read error", n, err)
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
	if n, err := c.Read(make([]byte, 4096)); n != len(getRequest("1")) || err != nil {
		t.Errorf("read %d bytes, %v, want the request", n, err)
	}
	if _, err := c.Read(make([]byte, 4096)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing to read: got %v, want %v", err, os.ErrDeadlineExceeded)
	}
}
