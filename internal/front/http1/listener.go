package http1

import (
	"errors"
	"net"
	"os"
	"time"

	"fernlanding/internal/socket"
)

const (
	maxEvictions = 4 // connections that are closed to make room for one

	pendingWait    = 20 * time.Millisecond // wait for connections in the kernel's queue before the listener is closed
	pendingTimeout = time.Second           // limit of acceptPending if accept is not running
)

// accept returns the next connection for which there is room. It returns net.ErrClosed once
// acceptPending has found no pending connection.
func (t *connTracker) accept() (*clientConn, error) {
	for retried := false; ; {
		netConn, err := t.listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && !retried:
			// The deadline may have passed before accept looked for pending connections. A second
			// call looks first and then waits.
			retried = true
			t.setAcceptDeadline(time.Now().Add(pendingWait))
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			t.pendingFound <- false
			return nil, net.ErrClosed
		case err != nil:
			return nil, err
		}
		if t.pendingWanted.CompareAndSwap(true, false) {
			t.setAcceptDeadline(time.Time{})
			retried = false
			t.pendingFound <- true
		}
		if c := t.admit(netConn); c != nil {
			return c, nil
		}
		_ = netConn.Close() // nothing has been read from it
	}
}

// setAcceptDeadline makes accept return at the deadline. A listener without deadlines is closed.
func (t *connTracker) setAcceptDeadline(deadline time.Time) {
	l, ok := t.listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !ok || l.SetDeadline(deadline) != nil {
		_ = t.listener.Close() // accept returns the error as well
	}
}

// acceptPending waits for a connection that the kernel has already accepted and reports whether
// there was one. If there was none, accept has returned. It must not be called concurrently.
func (t *connTracker) acceptPending() bool {
	t.setAcceptDeadline(time.Now().Add(pendingWait))
	t.pendingWanted.Store(true)
	timeout := time.NewTimer(pendingTimeout)
	defer timeout.Stop()
	select {
	case found := <-t.pendingFound:
		return found
	case <-timeout.C:
		return false
	}
}

// admit adds a connection to the open connections. It returns nil if there is no room for the
// connection.
func (t *connTracker) admit(netConn net.Conn) *clientConn {
	c, err := newClientConn(netConn, t.memory)
	if err != nil {
		return nil
	}
	if !t.reportsStates.Load() && socket.IsEstablished(netConn) {
		t.reportsStates.Store(true)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for evictions := 0; !t.quota.Acquire(); evictions++ {
		if evictions == maxEvictions || !t.evict() {
			return nil
		}
	}
	if t.closed {
		t.quota.Release()
		return nil
	}
	t.conns[c] = true
	t.moveTo(c, t.silent)
	return c
}
