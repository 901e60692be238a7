package http1

import (
	"bufio"
	"net"
	"slices"
	"syscall"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/socket"
)

// conn is a connection to a backend; it carries one request at a time.
type conn struct {
	net.Conn
	raw       syscall.RawConn // nil: the connection has none
	reader    *bufio.Reader
	out       []byte // buffer for the next request
	endpoint  *endpoint
	epoch     int // of the endpoint when the connection was opened
	idleSince time.Time
	responded bool // a first byte has been read since the present request was sent
}

// Cancel implements core.Canceler: reads and writes on the connection end, and it is then closed,
// never reused.
func (c *conn) Cancel() { c.setDeadline(time.Unix(1, 0)) }

// setDeadline bounds reads and writes. Its error is of no interest: it says that the connection is
// closed, which the next read or write says too.
func (c *conn) setDeadline(t time.Time) { _ = c.SetDeadline(t) }

// extendDeadline gives reads on the connection until t, within the attempt's deadline, unless the
// attempt has been canceled.
func (c *conn) extendDeadline(a *core.Attempt, t time.Time) error {
	if a.Deadline.Before(t) {
		t = a.Deadline
	}
	c.setDeadline(t)
	if a.Canceled() { // its Cancel may have come before the deadline was set anew
		return errCanceled
	}
	return nil
}

// takeIdle takes the most recently used idle connection whose reuse delay is over and on which
// nothing has come since. It returns nil if there is none, or if the endpoint is no longer in that
// epoch.
func (u *Upstream) takeIdle(e *endpoint, epoch int) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if e.epoch != epoch {
		return nil
	}
	now := time.Now()
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		if now.Sub(c.idleSince) < u.cfg.ReuseDelay {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if u.isReusable(c, now) {
			return c
		}
		u.closeLocked(c)
	}
	return nil
}

// isReusable reports whether an idle connection's time is not over and its peer has neither closed
// it nor sent more.
func (u *Upstream) isReusable(c *conn, now time.Time) bool {
	return now.Sub(c.idleSince) < u.maxIdle && socket.IsIdle(c.Conn)
}

// putIdle keeps a connection for reuse, unless its endpoint has changed since it was opened.
func (u *Upstream) putIdle(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := c.endpoint
	if e.epoch != c.epoch || !e.ready || u.cfg.Quota.Overdrawn() {
		u.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	e.idle = append(e.idle, c)
	e.notifyWaiters()
}

// closeConn closes a connection that is not idle.
func (u *Upstream) closeConn(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

// closeLocked closes a connection and releases its descriptor. The caller holds mu.
func (u *Upstream) closeLocked(c *conn) {
	_ = c.Close() // nothing on it is still wanted
	u.open--
	u.cfg.Quota.Release()
}

// CloseOldestIdle closes the connection that has been idle longest and reports whether there was
// one.
func (u *Upstream) CloseOldestIdle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	var oldest *endpoint
	for _, e := range u.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	u.closeLocked(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// CloseExpired implements core.Upstream: it closes the idle connections whose time is over or whose
// peer has closed them.
func (u *Upstream) CloseExpired(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range u.endpoints {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if u.isReusable(c, now) {
				kept = append(kept, c)
			} else {
				u.closeLocked(c)
			}
		}
		clear(e.idle[len(kept):])
		e.idle = kept
	}
}

// requiresNewConn reports whether a request of a class is to have a connection of its own. A kept
// one may have been closed by its peer, or by something between, with no sign of it: that shows
// only under the next request, which may have run (RFC 9112, section 9.3.1). Where that has
// happened lately, non-idempotent requests go over new connections, which costs a handshake and not
// the request.
func (u *Upstream) requiresNewConn(class int) bool {
	if u.cfg.IsNonIdempotent == nil || !u.cfg.IsNonIdempotent(class) {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.lastBreak.IsZero() && time.Since(u.lastBreak) < u.newConnWindow
}

// recordBreak notes that a kept connection broke under a request, before any response.
func (u *Upstream) recordBreak() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastBreak = time.Now()
}
