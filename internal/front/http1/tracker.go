package http1

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silentGrace is how old a connection that has never carried a request has to be to be evicted
	// first: a younger one may be a client's that is about to send.
	silentGrace = 250 * time.Millisecond

	// recentRead is how lately a part of a head has to have come for its rest to be waited for.
	recentRead = 100 * time.Millisecond
)

// Quota is the clients' part of the process's file descriptors.
type Quota interface {
	// Acquire takes a descriptor and reports whether there was room, or others could make some.
	Acquire() bool
	// Release gives a descriptor back.
	Release()
}

// connTracker accepts the connections of clients and knows which of them carry a request. It goes
// on accepting at the limit: were the others left in the kernel, connections without a request
// would shut out those with one. The connection that has been silent or idle longest makes room;
// where all carry requests, the new one is closed at once.
type connTracker struct {
	net.Listener
	quota Quota // of open connections

	pendingWanted atomic.Bool // acceptPending waits for the next connection
	pendingFound  chan bool   // whether there was one

	mu     sync.Mutex
	conns  map[net.Conn]*clientConn
	silent *list.List // of *clientConn that have never carried a request, the oldest first
	idle   *list.List // of *clientConn between two requests, the one that has been idle longest first
}

// newConnTracker returns a connTracker that accepts from a listener.
func newConnTracker(l net.Listener, quota Quota) *connTracker {
	return &connTracker{
		Listener: l, quota: quota, pendingFound: make(chan bool, 1),
		conns: map[net.Conn]*clientConn{}, silent: list.New(), idle: list.New(),
	}
}

// onStateChange follows what net/http makes of a connection. A request is open from StateActive,
// when its head has been read, to StateIdle, when its response has been written.
func (t *connTracker) onStateChange(netConn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns[netConn]
	if c == nil {
		return // evicted
	}
	switch state {
	case http.StateNew: // admit has listed it
	case http.StateActive:
		c.beginRequest()
		t.enlist(c, nil)
	case http.StateIdle:
		c.endRequest()
		t.enlist(c, t.idle)
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
	}
}

// enlist puts a connection that carries no request at the end of a list; nil takes it out of its
// list. The caller holds mu.
func (t *connTracker) enlist(c *clientConn, in *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list = in
	if in != nil {
		c.enlistedAt, c.element = time.Now(), in.PushBack(c)
	}
}

// remove forgets a connection and releases its descriptor. The caller holds mu.
func (t *connTracker) remove(c *clientConn) {
	t.enlist(c, nil)
	delete(t.conns, c)
	t.quota.Release()
}

// removeAndClose forgets a connection and closes it. The caller holds mu.
func (t *connTracker) removeAndClose(c *clientConn) {
	t.remove(c)
	_ = c.Close() // nothing on it is still wanted
}

// evict closes one connection that carries no request and reports whether there was one: the oldest
// silent one unless that is within silentGrace, then the one that has been idle longest, then the
// oldest silent one after all. The caller holds mu.
func (t *connTracker) evict() bool {
	now := time.Now()
	if oldest := t.silent.Front(); oldest != nil && now.Sub(connOf(oldest).enlistedAt) > silentGrace {
		if t.evictFrom(t.silent, now) {
			return true
		}
	}
	return t.evictFrom(t.idle, now) || t.evictFrom(t.silent, now)
}

// evictFrom closes the first connection of a list on which no request has come, nor a part of one
// just now: closing that would lose it. The caller holds mu.
func (t *connTracker) evictFrom(from *list.List, now time.Time) bool {
	for element := from.Front(); element != nil; element = element.Next() {
		c := connOf(element)
		if c.stopReadingIfQuiet(now.Add(-recentRead)) {
			t.removeAndClose(c)
			return true
		}
	}
	return false
}

// connOf returns the connection in a list's element: the lists hold nothing else.
func connOf(element *list.Element) *clientConn {
	c, _ := element.Value.(*clientConn)
	return c
}

// count returns how many connections are open.
func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// clientConnections returns how many connections have carried a request, and how many of them are
// idle.
func (t *connTracker) clientConnections() (all, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) - t.silent.Len(), t.idle.Len()
}

// closeIdle closes the connections that carry no request and returns how many others there are. One
// that is silent and younger than minAge, or on which something has come that has not been
// answered, is left alone: closing it would lose a request.
func (t *connTracker) closeIdle(minAge time.Duration) (remaining int) {
	return t.closeIf(func(c *clientConn) bool {
		mayClose := c.list == t.idle || c.list == t.silent && time.Since(c.enlistedAt) > minAge
		return mayClose && c.stopReadingIfQuiet(time.Time{})
	})
}

// closeQuiet is closeIdle at the end of the drain: connections with a part of a head are closed
// too.
func (t *connTracker) closeQuiet() (remaining int) {
	return t.closeIf(func(c *clientConn) bool { return c.list != nil && c.stopReadingIfQuiet(time.Now()) })
}

// closeIf closes the connections that may be closed and returns how many others there are.
func (t *connTracker) closeIf(mayClose func(*clientConn) bool) (remaining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if mayClose(c) {
			t.removeAndClose(c)
		} else {
			remaining++
		}
	}
	return remaining
}
