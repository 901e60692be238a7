package http1

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"fernlanding/internal/socket"
)

const (
	// What a client sends while its request is in flight is read, so that its leaving is seen
	// behind it. This much is kept for the next request; the rest is discarded, and the connection
	// ends with its response.
	maxPipelined = maxRequestHead
	// A client that sends this much behind a request does not wait: one that does sends one request
	// at a time, of 64 KiB at most.
	maxPipelinedFlood = 1 << 20

	pipelineChunk = 4 << 10 // bytes that are read at a time
)

// clientConn is one client's connection. While it carries no request it is in one of the
// connTracker's lists.
//
// It reads with its lock held, and never waits with it. So whoever closes it knows what has been
// read: a connection whose request has been read completely is not closed before its response,
// whatever net/http has made of it so far.
type clientConn struct {
	net.Conn
	raw        syscall.RawConn
	acceptedAt time.Time

	// Guarded by connTracker.mu.
	enlistedAt time.Time
	list       *list.List // nil while a request is open
	element    *list.Element

	mu             sync.Mutex
	readsStopped   bool // nothing more is read: the connTracker closes the connection
	requestOpen    bool // a head has been reported: what comes is its body, and then what is pipelined
	hasServed      bool // a request has been answered
	responding     bool // the response to the open request is being written
	pipelined      []byte
	pipelineLost   bool  // some of what was pipelined has been discarded
	pipelinedBytes int64 // that came while the open request was in flight
	lastRead       time.Time
	nextHead       headScanner // while no request is open
}

var (
	errReadsStopped  = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	errPipelineFlood = &net.OpError{
		Op: "read", Net: "tcp", Err: errors.New("the client goes on sending while its request is in flight"),
	}
	errNoSocket = errors.New("connection is not a socket")
)

// pipelineChunks holds buffers of type *[pipelineChunk]byte.
var pipelineChunks = sync.Pool{New: func() any { return new([pipelineChunk]byte) }}

// newClientConn returns the clientConn of a connection that has just been accepted.
func newClientConn(netConn net.Conn) (*clientConn, error) {
	sc, ok := netConn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: netConn, raw: raw, acceptedAt: time.Now()}, nil
}

// Read implements net.Conn. While a request is open and its body has been read, net/http reads one
// byte, to see the client leave, and looks no further once it has one. So that read takes what
// comes and ends only with the connection, or when net/http calls it off.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	switch {
	case c.requestOpen && len(b) == 1:
		c.mu.Unlock()
		return 0, c.watch()
	case c.pipelineLost: // what follows does not fit what was kept
		c.mu.Unlock()
		return 0, io.EOF
	case len(c.pipelined) > 0:
		n := c.takePipelined(b)
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.readSocket(b)
}

// takePipelined moves what was pipelined to b. The caller holds mu.
func (c *clientConn) takePipelined(b []byte) int {
	n := copy(b, c.pipelined)
	c.pipelined = c.pipelined[n:]
	if len(c.pipelined) == 0 {
		c.pipelined = nil
	}
	return n
}

// readSocket waits for bytes from the client.
func (c *clientConn) readSocket(b []byte) (int, error) {
	var n int
	var readErr error
	read := func(fd uintptr) (done bool) {
		n, readErr = c.readAvailable(fd, b)
		return !errors.Is(readErr, syscall.EAGAIN)
	}
	err := c.raw.Read(read)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// What came before the deadline, and was not read for want of time, is the client's request
		// all the same.
		_ = c.raw.Control(func(fd uintptr) { read(fd) })
		if n > 0 {
			return n, nil
		}
	}
	if err == nil {
		err = readErr
	}
	return n, asReadError(err)
}

// readAvailable reads what has come, without waiting.
func (c *clientConn) readAvailable(fd uintptr, b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsStopped {
		return 0, errReadsStopped
	}
	n, err := readNonblocking(fd, b)
	if n > 0 {
		c.lastRead = time.Now()
		if !c.requestOpen {
			c.nextHead.scan(b[:n])
		}
	}
	return n, err
}

// watch reads what a client sends while its request is in flight, until the client leaves.
func (c *clientConn) watch() error {
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		done, readErr = c.readPipelined(fd)
		return done
	})
	if err == nil {
		err = readErr
	}
	return asReadError(err)
}

// readPipelined reads all that has come and keeps it for the next request; done reports whether the
// watch ends.
func (c *clientConn) readPipelined(fd uintptr) (done bool, err error) {
	chunk, _ := pipelineChunks.Get().(*[pipelineChunk]byte)
	defer pipelineChunks.Put(chunk)
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.readsStopped {
			return true, errReadsStopped
		}
		if c.responding {
			return false, nil // net/http calls this read off when the response has been written
		}
		n, err := readNonblocking(fd, chunk[:])
		if err != nil {
			return !errors.Is(err, syscall.EAGAIN), err
		}
		c.lastRead = time.Now()
		c.pipelinedBytes += int64(n)
		if c.pipelinedBytes > maxPipelinedFlood {
			return true, errPipelineFlood
		}
		room := min(n, maxPipelined-len(c.pipelined))
		c.pipelined = append(c.pipelined, chunk[:room]...)
		c.pipelineLost = c.pipelineLost || room < n
	}
}

// readNonblocking reads what has come, without waiting: EAGAIN if that is nothing, io.EOF at the
// end.
func readNonblocking(fd uintptr, b []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), b)
		switch {
		case err == nil && n == 0:
			return 0, io.EOF
		case err == nil:
			return n, nil
		case !errors.Is(err, syscall.EINTR):
			return 0, err
		}
	}
}

// asReadError returns an error in the form that package net gives it, by which net/http tells a
// client that has left from one that sends an invalid request.
func asReadError(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		if opErr.Op == "read" {
			return opErr
		}
		err = opErr.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// beginRequest notes that net/http has reported a head.
func (c *clientConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen, c.pipelinedBytes = true, 0
	c.nextHead = headScanner{}
}

// endRequest notes that a response has been written.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen, c.hasServed, c.responding = false, true, false
	c.nextHead = headScanner{}
	c.nextHead.scan(c.pipelined)
}

// beginResponse is called just before a response is written and reports whether that has to be the
// connection's last. From then on nothing that follows the request is read: a client has its
// response before its handler has ended, and may send its next request at once, of whatever size.
func (c *clientConn) beginResponse() (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = true
	return c.pipelineLost
}

// isFirstRequest reports whether no request has been answered yet.
func (c *clientConn) isFirstRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.hasServed
}

// stopReadingIfQuiet has nothing more be read, before the connection is closed, if no request is
// open, none has been read completely and nothing waits to be read. Otherwise it changes nothing
// and returns false, also if a part of a request has come since partSince.
func (c *clientConn) stopReadingIfQuiet(partSince time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	partIsRecent := c.nextHead.size > 0 && c.lastRead.After(partSince)
	if c.requestOpen || c.nextHead.complete || partIsRecent || !socket.IsIdle(c.Conn) {
		return false
	}
	c.readsStopped = true
	return true
}

// CloseWrite lets net/http end its side first, so that a client that is still sending can read its
// error.
func (c *clientConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNoSocket
	}
	return half.CloseWrite()
}
