package http1

import (
	"net"
	"slices"
	"syscall"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/socket"
)

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	*connBuffers // nil while the connection is idle

	raw       syscall.RawConn // nil if the connection has none
	endpoint  *endpoint
	epoch     int // epoch of the endpoint when the connection was opened
	idleSince time.Time
	responded bool // a byte has been read since the current request was sent

	// requestOpen is set from before the first byte of a request is written until its response has
	// been read completely.
	requestOpen bool
}

// Cancel implements core.Canceler. It ends reads and writes on the connection, which is then closed
// and never reused.
func (c *conn) Cancel() { c.setDeadline(time.Unix(1, 0)) }

// setDeadline bounds reads and writes. It ignores the error, which means that the connection is
// closed: the next read or write reports that too.
func (c *conn) setDeadline(t time.Time) { _ = c.SetDeadline(t) }

// extendDeadline sets the deadline of the connection to t, or to the attempt's deadline if that is
// earlier. It returns errCanceled if the attempt has been canceled.
func (c *conn) extendDeadline(a *core.Attempt, t time.Time) error {
	if a.Deadline.Before(t) {
		t = a.Deadline
	}
	c.setDeadline(t)
	if a.Canceled() { // Cancel may have set its deadline just before this one replaced it
		return errCanceled
	}
	return nil
}

// takeIdle takes the most recently used idle connection whose reuse delay has passed and on which
// nothing has arrived since its last response. It returns nil if there is none, or if epoch is no
// longer the endpoint's epoch.
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
			c.connBuffers = takeBuffers(c.Conn)
			return c
		}
		u.closeLocked(c)
	}
	return nil
}

// isReusable reports whether an idle connection is within maxIdle and its peer has neither closed
// it nor sent anything.
func (u *Upstream) isReusable(c *conn, now time.Time) bool {
	return now.Sub(c.idleSince) < u.maxIdle && socket.IsIdle(c.Conn)
}

// putIdle keeps a connection for reuse. It closes the connection instead if the endpoint has
// changed since the connection was opened, or if idle connections have to be closed.
func (u *Upstream) putIdle(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := c.endpoint
	if e.epoch != c.epoch || !e.ready || u.cfg.Quota.OverFairShare() {
		u.closeLocked(c)
		return
	}
	c.releaseBuffers()
	c.connBuffers = nil
	c.idleSince = time.Now()
	e.idle = append(e.idle, c)
	e.notifyWaiters()
}

// closeConn closes a connection that is not idle.
func (u *Upstream) closeConn(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.releaseBuffers()
	c.connBuffers = nil
	u.closeLocked(c)
}

// closeLocked closes a connection and releases its descriptor. The caller holds mu.
//
// A connection with an open request is reset, as dialRaw has arranged, so that a request that has
// been given up is not delivered later: a retry may have run by then, and the backend may no longer
// recognize the duplicate.
func (u *Upstream) closeLocked(c *conn) {
	if !c.requestOpen {
		socket.SetResetOnClose(c.Conn, false)
	}
	_ = c.Close() // the error does not matter: the connection is no longer used
	u.openConns--
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

// CloseExpired implements core.Upstream. It closes the idle connections that have reached maxIdle
// or whose peer has closed them.
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

// requiresNewConn reports whether a request of a class needs a new connection. The peer of an idle
// connection, or a middlebox, may have closed it without a sign that this process can see. That
// shows only under the next request, which may have run (RFC 9112, section 9.3.1). For
// newConnWindow after such a failure, non-idempotent requests use new connections, which costs a
// handshake instead of a lost request.
func (u *Upstream) requiresNewConn(class int) bool {
	if u.cfg.IsNonIdempotent == nil || !u.cfg.IsNonIdempotent(class) {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.lastReuseFailure.IsZero() && time.Since(u.lastReuseFailure) < u.newConnWindow
}

// recordReuseFailure records that a reused connection failed under a request before any response.
func (u *Upstream) recordReuseFailure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastReuseFailure = time.Now()
}
