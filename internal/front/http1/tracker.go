package http1

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fernlanding/internal/front"
	"fernlanding/internal/socket"
)

const (
	// silentGracePeriod is the age that a connection without any request so far has to exceed to be
	// evicted before idle connections. The client of a younger connection may be about to send.
	silentGracePeriod = 250 * time.Millisecond

	// recentReadWindow is how recently part of a head has to have arrived for the front to wait for
	// the rest.
	recentReadWindow = 100 * time.Millisecond
)

// DescriptorQuota is the clients' share of the process's file descriptors.
type DescriptorQuota interface {
	// Acquire takes a descriptor and reports whether one was available or could be made available.
	Acquire() bool
	// Release gives a descriptor back.
	Release()
}

// connTracker accepts the connections of clients and tracks which of them carry a request. It
// accepts connections at the limit too: if the others stayed in the kernel, connections without a
// request would block connections with a request. To make room, connTracker closes the connection
// that has been silent or idle longest. If all connections carry requests, it closes the new
// connection at once.
type connTracker struct {
	listener net.Listener
	quota    DescriptorQuota      // limit of open connections
	memory   *front.RequestMemory // limit of the memory of requests

	pendingWanted atomic.Bool // acceptPending waits for the next connection
	pendingFound  chan bool   // reports whether there was one

	// reportsStates is set once the kernel has reported an accepted connection as established. Where
	// sockets are emulated, the reported states may mean nothing.
	reportsStates atomic.Bool

	mu       sync.Mutex // guards the fields below
	closed   bool
	conns    map[*clientConn]bool
	silent   *list.List // of *clientConn that have never carried a request, oldest first
	idle     *list.List // of *clientConn between two requests, longest idle first
	rejected *list.List // of *clientConn whose request was invalid, oldest first
}

// newConnTracker returns a connTracker that accepts from a listener.
func newConnTracker(l net.Listener, quota DescriptorQuota, memory *front.RequestMemory) *connTracker {
	return &connTracker{
		listener: l, quota: quota, memory: memory, pendingFound: make(chan bool, 1),
		conns: map[*clientConn]bool{}, silent: list.New(), idle: list.New(), rejected: list.New(),
	}
}

// requestStarted records that the head of a request has been read from a connection.
func (t *connTracker) requestStarted(c *clientConn) { t.move(c, nil) }

// requestEnded records that the response to the open request has been written.
func (t *connTracker) requestEnded(c *clientConn) {
	c.endRequest()
	t.move(c, t.idle)
}

// requestRejected records that the open request is invalid. The connection may be closed at any
// time from then on.
func (t *connTracker) requestRejected(c *clientConn) { t.move(c, t.rejected) }

// move moves a connection to the end of a list, unless the connection has been closed. A nil list
// is that of the connections with a request.
func (t *connTracker) move(c *clientConn, in *list.List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[c] {
		t.moveTo(c, in)
	}
}

// moveTo moves a connection to the end of a list of connections without a request. If the list is
// nil, the connection is only taken out of its present list. The caller holds mu.
func (t *connTracker) moveTo(c *clientConn, in *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list = in
	if in != nil {
		c.listedAt, c.element = time.Now(), in.PushBack(c)
	}
}

// removeAndClose stops tracking a connection, closes it and releases its descriptor. It does nothing
// if the connection has been closed.
func (t *connTracker) removeAndClose(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeAndCloseLocked(c)
}

// removeAndCloseLocked is removeAndClose for a caller that holds mu.
func (t *connTracker) removeAndCloseLocked(c *clientConn) {
	if !t.conns[c] {
		return
	}
	t.moveTo(c, nil)
	delete(t.conns, c)
	close(c.closed)
	_ = c.Close() // the error does not matter: the connection is no longer used
	c.releaseReceived()
	t.quota.Release()
}

// close closes the listener and all connections.
func (t *connTracker) close() {
	_ = t.listener.Close() // the error is of no use: the listener is no longer needed
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for c := range t.conns {
		t.removeAndCloseLocked(c)
	}
}

// evict closes one connection that carries no request and reports whether there was one. It tries
// the oldest rejected connection, then the oldest silent connections if the oldest is older than
// silentGracePeriod, then the connections that have been idle longest, then the oldest silent
// connections of any age. The caller holds mu.
func (t *connTracker) evict() bool {
	now := time.Now()
	if oldest := t.rejected.Front(); oldest != nil {
		t.removeAndCloseLocked(connOf(oldest))
		return true
	}
	if oldest := t.silent.Front(); oldest != nil && now.Sub(connOf(oldest).listedAt) > silentGracePeriod {
		if t.evictFrom(t.silent, now) {
			return true
		}
	}
	return t.evictFrom(t.idle, now) || t.evictFrom(t.silent, now)
}

// evictFrom closes the first connection of a list on which no request has arrived, nor part of one
// within recentReadWindow: closing a connection with a request would lose the request. The caller
// holds mu.
func (t *connTracker) evictFrom(from *list.List, now time.Time) bool {
	for element := from.Front(); element != nil; element = element.Next() {
		c := connOf(element)
		if c.stopReadingIfIdle(now.Add(-recentReadWindow)) {
			t.removeAndCloseLocked(c)
			return true
		}
	}
	return false
}

// connOf returns the connection in a list element. The lists hold nothing else.
func connOf(element *list.Element) *clientConn {
	c, _ := element.Value.(*clientConn)
	return c
}

// hasClientLeft reports whether the client has closed its connection, also while bytes that it sent
// before have not been read.
func (t *connTracker) hasClientLeft(c *clientConn) bool {
	return socket.PeekState(c.Conn) == socket.Ended || t.reportsStates.Load() && socket.HasPeerEnded(c.Conn)
}

// count returns the number of open connections.
func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// clientConnections returns how many connections have carried a request and how many of these are
// idle.
func (t *connTracker) clientConnections() (all, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) - t.silent.Len() - t.rejected.Len(), t.idle.Len()
}

// closeIdle closes the connections that carry no request and returns how many connections remain.
// It keeps a silent connection that is younger than minAge, and a connection on which bytes have
// arrived that have not been answered, because closing it would lose a request.
func (t *connTracker) closeIdle(minAge time.Duration) (remaining int) {
	return t.closeIf(func(c *clientConn) bool {
		mayClose := c.list == t.idle || c.list == t.silent && time.Since(c.listedAt) > minAge
		return c.list == t.rejected || mayClose && c.stopReadingIfIdle(time.Time{})
	})
}

// closeIdleOrPartial closes the connections that carry no request at the end of the drain and
// returns how many connections remain. In contrast to closeIdle, it also closes young silent
// connections and connections on which only part of a head has arrived.
func (t *connTracker) closeIdleOrPartial() (remaining int) {
	return t.closeIf(func(c *clientConn) bool {
		return c.list == t.rejected || c.list != nil && c.stopReadingIfIdle(time.Now())
	})
}

// closeIf closes the connections that mayClose accepts and returns how many connections remain.
func (t *connTracker) closeIf(mayClose func(*clientConn) bool) (remaining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if mayClose(c) {
			t.removeAndCloseLocked(c)
		} else {
			remaining++
		}
	}
	return remaining
}
