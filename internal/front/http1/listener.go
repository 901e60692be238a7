package http1

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	maxEvictions = 4 // at making room for one connection

	pendingWait    = 20 * time.Millisecond // for connections in the kernel's queue, before the listener is closed
	pendingTimeout = time.Second           // where nobody accepts
)

// Accept returns the next connection for which there is room. Once acceptPending has found none it
// returns net.ErrClosed.
func (t *connTracker) Accept() (net.Conn, error) {
	for retried := false; ; {
		netConn, err := t.Listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && !retried:
			// The deadline may have passed before it was known what had come; a new call looks
			// first and then waits.
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

// setAcceptDeadline has Accept end by then; a listener that has no deadlines is closed.
func (t *connTracker) setAcceptDeadline(deadline time.Time) {
	l, ok := t.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !ok || l.SetDeadline(deadline) != nil {
		_ = t.Close() // Accept returns the error that this one says
	}
}

// acceptPending waits for a connection that the kernel has already accepted and reports whether one
// has come; if not, Accept has ended. It is for one caller at a time.
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

// admit counts a connection in. It returns nil if there is no room for it.
func (t *connTracker) admit(netConn net.Conn) *clientConn {
	c, err := newClientConn(netConn)
	if err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for evictions := 0; !t.quota.Acquire(); evictions++ {
		if evictions == maxEvictions || !t.evict() {
			return nil
		}
	}
	t.conns[c] = c
	t.enlist(c, t.silent)
	return c
}
