package http1

import (
	"errors"
	"runtime/debug"
	"time"

	"fernlanding/internal/front"
)

// serveConn serves the requests of a connection, one after another, and closes it.
func (f *Front) serveConn(c *clientConn) {
	defer f.conns.removeAndClose(c)
	defer func() {
		if cause := recover(); cause != nil {
			f.cfg.Log.Error("request failed", "panic", cause, "stack", string(debug.Stack()))
		}
	}()
	for f.serveNext(c) {
	}
}

// serveNext serves the next request of a connection and reports whether the connection stays open.
func (f *Front) serveNext(c *clientConn) (keep bool) {
	r, err := c.readRequest()
	var reqErr *front.RequestError
	if errors.As(err, &reqErr) {
		f.reject(c, &rejection{err: reqErr, paced: true})
		return false
	}
	if err != nil {
		return false // the client has gone, or its time is over
	}
	f.conns.requestStarted(c)
	keep, rejected := f.serveRequest(c, r)
	if rejected != nil {
		f.reject(c, rejected)
		return false
	}
	if !keep {
		return false
	}
	f.conns.requestEnded(c)
	return !r.unforwarded || c.pause(unforwardedInterval)
}

// readRequest waits for the next head and parses it. The error is a *front.RequestError if the
// request is invalid.
func (c *clientConn) readRequest() (*clientRequest, error) {
	arrived, err := c.awaitHead()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, reqErr := parseHead(c.received[:c.nextHead.size])
	if reqErr != nil {
		return nil, reqErr
	}
	c.discardReceivedLocked(c.nextHead.size)
	return &clientRequest{Request: r, headSize: c.nextHead.size, arrived: arrived}, nil
}

// awaitHead waits until received begins with a complete head, and returns when that arrived.
func (c *clientConn) awaitHead() (arrived time.Time, err error) {
	isFirst, waited := c.isFirstRequest(), false
	if isFirst {
		c.setReadDeadline(c.acceptedAt.Add(headTimeout))
	} else if c.receivedBytes() == 0 {
		c.setReadDeadline(time.Now().Add(idleTimeout))
		if err := c.awaitBytes(); err != nil {
			return arrived, err
		}
		waited = true
	}
	for isPartial := false; ; isPartial = true {
		arrived, complete, err := c.openRequest(waited)
		if complete || err != nil {
			return arrived, err
		}
		if !isPartial && !isFirst {
			c.setReadDeadline(time.Now().Add(headTimeout))
		}
		if err := c.awaitBytes(); err != nil {
			return arrived, err
		}
		waited = true
	}
}

// setReadDeadline limits the wait for bytes. It ignores the error, which means that the connection
// is closed: the next read reports that too.
func (c *clientConn) setReadDeadline(t time.Time) { _ = c.SetReadDeadline(t) }

// openRequest opens the next request if its head is complete, and otherwise counts the memory of
// its part. arrived is when the head arrived: waited tells whether bytes have been read since the
// request before, and otherwise the request has waited for that one. The error is a
// *front.RequestError.
func (c *clientConn) openRequest(waited bool) (arrived time.Time, complete bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrived = c.receivedAt
	if waited {
		arrived = c.lastRead
	}
	if reqErr := c.nextHead.checkSize(len(c.received)); reqErr != nil {
		c.requestOpen = true
		return arrived, false, reqErr
	}
	if c.nextHead.complete {
		c.requestOpen, c.pipelinedBytes = true, 0
		return arrived, true, nil
	}
	if !c.claimReceivedLocked() {
		c.requestOpen = true
		return arrived, false, errNoMemory
	}
	return arrived, false, nil
}
