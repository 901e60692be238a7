package http1

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Quota is the clients' part of the process's descriptors.
type Quota interface {
	// Acquire counts a connection in, if there is room or others can make some.
	Acquire() bool
	// Release counts a connection out.
	Release()
}

const (
	evictTries = 4 // at making room for one connection

	// A connection that has said nothing for this long is no client about to ask.
	silentGrace = 250 * time.Millisecond
	// The rest of a head of which a part came this lately may be on its way.
	justHeard = 100 * time.Millisecond

	lookFor  = 20 * time.Millisecond // for connections in the kernel's queue, before it is closed
	lookMost = time.Second
)

// clients accepts the connections of clients and knows which of them carry a request. It goes on accepting
// at the limit: were the rest left in the kernel, connections that ask nothing would shut out those that do.
// The longest silent or idle one makes room; where all carry requests, the new one is closed at once.
type clients struct {
	net.Listener
	quota Quota // of open connections

	looking atomic.Bool // Accept is to tell of the next connection, or that none waits
	found   chan bool

	mu     sync.Mutex
	conns  map[net.Conn]*clientConn
	silent *list.List // of *clientConn that have never asked, the longest first
	idle   *list.List // of *clientConn between two requests, the longest first
}

func newClients(l net.Listener, quota Quota) *clients {
	return &clients{Listener: l, quota: quota, found: make(chan bool, 1), conns: map[net.Conn]*clientConn{}, silent: list.New(), idle: list.New()}
}

// Accept returns the next connection for which there is room. After a last look that has found none it returns net.ErrClosed.
func (l *clients) Accept() (net.Conn, error) {
	for again := false; ; {
		nc, err := l.Listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && !again:
			again = true // the time may have been up before it was known what had come; a new call looks first and then waits
			l.acceptUntil(time.Now().Add(lookFor))
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			l.found <- false
			return nil, net.ErrClosed
		case err != nil:
			return nil, err
		}
		if l.looking.CompareAndSwap(true, false) {
			l.acceptUntil(time.Time{})
			again = false
			l.found <- true
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// acceptUntil has Accept end then; a listener that can't is closed.
func (l *clients) acceptUntil(then time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(then) != nil {
		l.Close()
	}
}

// lastLook tells whether a connection comes that the kernel has accepted; otherwise Accept has ended. It is for one caller.
func (l *clients) lastLook() (came bool) {
	l.acceptUntil(time.Now().Add(lookFor))
	l.looking.Store(true)
	never := time.NewTimer(lookMost) // where nobody accepts
	defer never.Stop()
	select {
	case came = <-l.found:
	case <-never.C:
	}
	return came
}

// admit counts a connection in; nil: there is no room for it.
func (l *clients) admit(nc net.Conn) *clientConn {
	c, err := newClientConn(nc)
	if err != nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for tries := 0; !l.quota.Acquire(); tries++ {
		if tries == evictTries || !l.evict() {
			return nil
		}
	}
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

// evictFrom spares connections on which a request has come, or the part of one just now: closing them would cost it.
func (l *clients) evictFrom(from *list.List, now time.Time) bool {
	for e := from.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); c.shutQuiet(now.Add(-justHeard)) {
			l.remove(c)
			c.Conn.Close()
			return true
		}
	}
	return false
}

// CloseIdleConnection closes one connection that carries no request, and is false if there is none.
func (f *Front) CloseIdleConnection() bool {
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
	l.quota.Release()
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
		c.begin()
		l.rest(c, nil)
	case http.StateIdle:
		c.end()
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
// newer than newFor, or on which something has come that has not been answered, is left alone: closing it would lose a request.
func (l *clients) closeIdle(newFor time.Duration) (busy int) {
	return l.close(func(c *clientConn) bool {
		return (c.list == l.idle || c.list == l.silent && time.Since(c.since) > newFor) && c.shutQuiet(time.Time{})
	})
}

// closeLast is closeIdle at the end of all: also parts of heads, whose rest has not come, are given up.
func (l *clients) closeLast() (busy int) {
	return l.close(func(c *clientConn) bool { return c.list != nil && c.shutQuiet(time.Now()) })
}

// close closes the connections that may be closed, and returns how many others there are.
func (l *clients) close(may func(*clientConn) bool) (left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if may(c) {
			l.remove(c)
			c.Conn.Close()
		} else {
			left++
		}
	}
	return left
}
