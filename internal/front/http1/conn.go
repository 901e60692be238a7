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
	// maxPipelined is the limit in bytes of the buffer for data that a client sends while its
	// request is in flight, which belongs to the next request. Such bytes are read until the
	// response begins, so that a disconnect after them is detected. Bytes beyond the limit are
	// discarded, and the connection closes after its response.
	maxPipelined = maxRequestHead
	// maxPipelinedFlood is how many bytes a client may send after a request in flight. A client
	// that sends more does not wait for its response: a client that waits sends one request at a
	// time, of at most 64 KiB.
	maxPipelinedFlood = 1 << 20

	pipelineChunk = 4 << 10 // bytes per read
)

// clientConn is the connection of a client. While it carries no request, it is in one of the lists
// of the connTracker.
//
// clientConn reads with mu held and never waits with mu held. The code that closes the connection
// therefore knows what has been read: a connection from which a complete request has been read is
// not closed before its response, even if net/http has not reported the request yet.
type clientConn struct {
	net.Conn
	raw        syscall.RawConn
	acceptedAt time.Time

	// Guarded by connTracker.mu.
	listedAt time.Time  // when it was added to list
	list     *list.List // nil while a request is open
	element  *list.Element

	mu                sync.Mutex
	readsStopped      bool        // reads fail, because the connTracker closes the connection
	requestOpen       bool        // net/http has reported a head; the body and then pipelined bytes follow
	hasServed         bool        // a request has been answered
	responding        bool        // the response to the open request is being written
	pipelined         []byte      // bytes received while the open request was in flight, for the next request
	pipelineTruncated bool        // some pipelined bytes have been discarded
	pipelinedBytes    int64       // number of bytes received while the open request was in flight
	lastRead          time.Time   // when bytes were last received
	nextHead          headScanner // scans the head of the next request while no request is open
}

var (
	errReadsStopped  = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	errPipelineFlood = &net.OpError{
		Op: "read", Net: "tcp", Err: errors.New("client sent too many bytes while its request was in flight"),
	}
	errNotSocket = errors.New("connection is not a socket")
)

// pipelineChunks is a pool of buffers of type *[pipelineChunk]byte.
var pipelineChunks = sync.Pool{New: func() any { return new([pipelineChunk]byte) }}

// newClientConn returns the clientConn of a newly accepted connection.
func newClientConn(netConn net.Conn) (*clientConn, error) {
	sc, ok := netConn.(syscall.Conn)
	if !ok {
		return nil, errNotSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: netConn, raw: raw, acceptedAt: time.Now()}, nil
}

// Read implements net.Conn. While a request is open and its body has been read, net/http reads one
// byte to detect a disconnect, and stops looking once it has received a byte. For this read, Read
// therefore consumes all bytes that arrive, and returns only when the connection ends or when
// net/http interrupts the read.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	switch {
	case c.requestOpen && len(b) == 1:
		c.mu.Unlock()
		return 0, c.watchForDisconnect()
	case c.pipelineTruncated: // the bytes that follow do not continue the buffered bytes
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

// takePipelined moves pipelined bytes to b. The caller holds mu.
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
		// Bytes that arrived before the deadline, but that this process did not read in time, are
		// part of the client's request nevertheless.
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

// readAvailable reads the bytes that have arrived, without waiting.
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

// watchForDisconnect reads what a client sends while its request is in flight, until the client
// disconnects.
func (c *clientConn) watchForDisconnect() error {
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

// readPipelined reads all bytes that have arrived and keeps them for the next request. done reports
// whether watchForDisconnect has to return.
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
			return false, nil // net/http interrupts this read once the response has been written
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
		c.pipelineTruncated = c.pipelineTruncated || room < n
	}
}

// readNonblocking reads the bytes that have arrived, without waiting. It returns EAGAIN if there
// are none and io.EOF at the end of the stream.
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

// asReadError returns an error in the form that package net gives to read errors. By that form,
// net/http distinguishes a client that has disconnected from a client that sends an invalid
// request.
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

// beginRequest records that net/http has reported a head.
func (c *clientConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen, c.pipelinedBytes = true, 0
	c.nextHead = headScanner{}
}

// endRequest records that a response has been written.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen, c.hasServed, c.responding = false, true, false
	c.nextHead = headScanner{}
	c.nextHead.scan(c.pipelined)
}

// beginResponse is called just before a response is written and reports whether the connection has
// to close after that response. From then on, no bytes that follow the request are read: a client
// receives its response before the handler returns, and may at once send its next request, of any
// size.
func (c *clientConn) beginResponse() (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = true
	return c.pipelineTruncated
}

// isFirstRequest reports whether no request on the connection has been answered yet.
func (c *clientConn) isFirstRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.hasServed
}

// stopReadingIfIdle stops all reads, before the connection is closed, if no request is open, no
// complete request has been read and no bytes wait to be read. Otherwise, or if part of a request
// has arrived after partSince, it changes nothing and returns false.
func (c *clientConn) stopReadingIfIdle(partSince time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	partIsRecent := c.nextHead.size > 0 && c.lastRead.After(partSince)
	if c.requestOpen || c.nextHead.complete || partIsRecent || !socket.IsIdle(c.Conn) {
		return false
	}
	c.readsStopped = true
	return true
}

// CloseWrite closes the write side. net/http calls it before it closes the connection, so that a
// client that is still sending can read its error response.
func (c *clientConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNotSocket
	}
	return half.CloseWrite()
}
