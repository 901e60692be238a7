package http1

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernlanding/internal/sock"
)

// Quota is the clients' part of the process's descriptors.
type Quota interface {
	// Take counts a connection in, if there is room or others can make some.
	Take() bool
	// Give counts a connection out.
	Give()
}

const (
	evictTries = 4 // at making room for one connection

	// A connection that has said nothing for this long is no client about to ask.
	silentGrace = 250 * time.Millisecond
	// Bytes that came this lately may be a request that net/http has not yet reported.
	justHeard = 100 * time.Millisecond
)

// clients accepts the connections of clients and knows which of them carry a request. It goes on accepting
// at the limit: were the rest left in the kernel, connections that ask nothing would shut out those that do.
// The longest silent or idle one makes room; where all carry requests, the new one is closed at once.
type clients struct {
	net.Listener
	quota Quota // of open connections

	mu     sync.Mutex
	conns  map[net.Conn]*clientConn
	silent *list.List // of *clientConn that have never asked, the longest first
	idle   *list.List // of *clientConn between two requests, the longest first
}

// clientConn is one client's connection. While it carries no request it has a place in one of the lists.
type clientConn struct {
	net.Conn
	of    *clients
	came  time.Time
	since time.Time    // of its place
	heard atomic.Int64 // when bytes last came, in Unix nanoseconds
	asked atomic.Bool  // a request has been answered on it
	list  *list.List   // nil while a request is open
	place *list.Element
}

func newClients(l net.Listener, quota Quota) *clients {
	return &clients{Listener: l, quota: quota, conns: map[net.Conn]*clientConn{}, silent: list.New(), idle: list.New()}
}

// Accept returns the next connection for which there is room.
func (l *clients) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

func (l *clients) admit(nc net.Conn) *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for tries := 0; !l.quota.Take(); tries++ {
		if tries == evictTries || !l.evict() {
			return nil
		}
	}
	c := &clientConn{Conn: nc, of: l, came: time.Now()}
	l.conns[c] = c
	l.rest(c, l.silent)
	return c
}

// evict closes one connection that carries no request: the longest silent one unless that is too young to be
// told from a client about to ask, then the longest idle one, then the longest silent one after all.
func (l *clients) evict() bool {
	now := time.Now()
	if e := l.silent.Front(); e != nil && now.Sub(e.Value.(*clientConn).since) > silentGrace && l.evictFrom(l.silent, now) {
		return true
	}
	return l.evictFrom(l.idle, now) || l.evictFrom(l.silent, now)
}

// evictFrom spares connections on which something has come that net/http has not reported yet: closing them
// would cost a request.
func (l *clients) evictFrom(from *list.List, now time.Time) bool {
	for e := from.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		heard := time.Unix(0, c.heard.Load())
		if !(heard.After(c.since) && now.Sub(heard) < justHeard) && sock.Quiet(c) {
			l.remove(c)
			c.Conn.Close()
			return true
		}
	}
	return false
}

// Shed closes one connection that carries no request, and is false if there is none.
func (f *Front) Shed() bool {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	return f.clients.evict()
}

// rest gives a connection that carries no request the last place in a list; nil takes its place away.
func (l *clients) rest(c *clientConn, in *list.List) {
	if c.list != nil {
		c.list.Remove(c.place)
	}
	if c.list = in; in != nil {
		c.since, c.place = time.Now(), in.PushBack(c)
	}
}

// remove forgets a connection, and counts it out.
func (l *clients) remove(c *clientConn) {
	l.rest(c, nil)
	delete(l.conns, c)
	l.quota.Give()
}

// state follows what net/http makes of a connection. A request is open from StateActive, when its head has
// come, to StateIdle, when its answer has been written.
func (l *clients) state(nc net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conns[nc]
	if c == nil {
		return // evicted
	}
	switch s {
	case http.StateActive:
		l.rest(c, nil)
	case http.StateIdle:
		c.asked.Store(true)
		l.rest(c, l.idle)
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	}
}

// count tells how many connections are open.
func (l *clients) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// lines tells how many connections clients have that have brought a request, and how many of them are free for
// the next.
func (l *clients) lines() (all, free int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) - l.silent.Len(), l.idle.Len()
}

// closeIdle closes the connections that carry no request, and returns how many others there are. One that is
// newer than newFor, or on which something has just come in, is left alone: closing it would lose a request.
func (l *clients) closeIdle(newFor time.Duration) (busy int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if (c.list == l.idle || c.list == l.silent && time.Since(c.since) > newFor) && sock.Quiet(c) {
			l.remove(c)
			c.Conn.Close()
		} else {
			busy++
		}
	}
	return busy
}

// Read notes when bytes came.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// CloseWrite lets net/http end its side first, so that a client that is still sending reads its error.
func (c *clientConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// SyscallConn lets sock.Quiet look at the socket.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
