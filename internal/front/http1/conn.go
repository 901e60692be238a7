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

	"fernlanding/internal/front"
	"fernlanding/internal/socket"
)

const (
	readChunk = 4 << 10 // bytes per read

	// freeBuffer is the capacity in bytes of a connection's buffer that is not counted in
	// RequestMemory. The fixed memory of a connection includes it.
	freeBuffer = 1 << 10
)

// clientConn is the connection of a client. While it carries no request, it is in one of the lists
// of the connTracker.
//
// clientConn reads with mu held and never waits with mu held. The code that closes the connection
// therefore knows what has been read: a connection from which a complete head has been read is not
// closed before its response.
type clientConn struct {
	net.Conn
	raw        syscall.RawConn
	acceptedAt time.Time
	closed     chan struct{} // closed by the connTracker when it closes the connection

	// Guarded by connTracker.mu.
	listedAt time.Time  // when it was added to list
	list     *list.List // nil while a request is open
	element  *list.Element

	mu             sync.Mutex
	readsStopped   bool         // reads fail, because the connTracker closes the connection
	requestOpen    bool         // a complete head has been read, and its response has not been written
	hasServed      bool         // a request has been answered
	received       []byte       // bytes that have been read and do not belong to the open request
	receivedAt     time.Time    // when the first byte of received was read
	receivedMemory *front.Claim // counts the capacity of received beyond freeBuffer
	truncated      bool         // bytes that follow received have been discarded
	pipelinedBytes int64        // number of bytes received while the open request was in flight
	lastRead       time.Time    // when bytes were last received
	nextHead       headScanner  // has scanned received while no request is open
}

var (
	errReadsStopped = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	errNotSocket    = errors.New("connection is not a socket")
)

// readChunks is a pool of buffers of type *[readChunk]byte.
var readChunks = sync.Pool{New: func() any { return new([readChunk]byte) }}

// newClientConn returns the clientConn of a newly accepted connection.
func newClientConn(netConn net.Conn, memory *front.RequestMemory) (*clientConn, error) {
	sc, ok := netConn.(syscall.Conn)
	if !ok {
		return nil, errNotSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{
		Conn: netConn, raw: raw, acceptedAt: time.Now(), closed: make(chan struct{}), receivedMemory: memory.NewClaim(),
	}, nil
}

// awaitBytes waits until the client has sent something, and appends it to received.
func (c *clientConn) awaitBytes() error {
	n, err := c.awaitRead(c.receiveAvailable)
	if n > 0 {
		return nil
	}
	return err
}

// Read implements net.Conn. It reads the bytes of a body, and first those that have been received
// with the head.
func (c *clientConn) Read(b []byte) (int, error) {
	if n := c.takeReceived(b); n > 0 || len(b) == 0 {
		return n, nil
	}
	return c.awaitRead(func(fd uintptr) (int, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.readAvailableLocked(fd, b)
	})
}

// awaitRead calls read, which does not wait, until it returns something other than EAGAIN.
func (c *clientConn) awaitRead(read func(fd uintptr) (int, error)) (int, error) {
	var n int
	var readErr error
	try := func(fd uintptr) (done bool) {
		n, readErr = read(fd)
		return !errors.Is(readErr, syscall.EAGAIN)
	}
	err := c.raw.Read(try)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Bytes that arrived before the deadline, but that this process did not read in time, are
		// part of the client's request nevertheless.
		_ = c.raw.Control(func(fd uintptr) { try(fd) })
		if n > 0 {
			return n, nil
		}
	}
	if err == nil {
		err = readErr
	}
	return n, err
}

// readAvailableLocked reads the bytes that have arrived, without waiting. The caller holds mu.
func (c *clientConn) readAvailableLocked(fd uintptr, b []byte) (int, error) {
	if c.readsStopped {
		return 0, errReadsStopped
	}
	n, err := readNonblocking(fd, b)
	if n > 0 {
		c.lastRead = time.Now()
	}
	return n, err
}

// receiveAvailable appends bytes that have arrived to received, without waiting.
func (c *clientConn) receiveAvailable(fd uintptr) (int, error) {
	chunk, _ := readChunks.Get().(*[readChunk]byte)
	defer readChunks.Put(chunk)
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.readAvailableLocked(fd, chunk[:])
	if n > 0 {
		c.appendReceivedLocked(chunk[:n])
		c.nextHead.scan(chunk[:n])
	}
	return n, err
}

// appendReceivedLocked appends bytes that have just been read to received. The caller holds mu.
func (c *clientConn) appendReceivedLocked(b []byte) {
	if len(c.received) == 0 {
		c.receivedAt = c.lastRead
	}
	c.received = append(c.received, b...)
}

// takeReceived moves bytes of received to b and returns their number.
func (c *clientConn) takeReceived(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(b, c.received)
	c.discardReceivedLocked(n)
	return n
}

// discardReceived removes up to n bytes of received and returns how many it has removed.
func (c *clientConn) discardReceived(n int64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	removed := int(min(n, int64(len(c.received))))
	c.discardReceivedLocked(removed)
	return removed
}

// receivedBytes returns how many bytes have been received that do not belong to the open request.
func (c *clientConn) receivedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.received)
}

// discardReceivedLocked removes the first n bytes of received. The caller holds mu.
func (c *clientConn) discardReceivedLocked(n int) {
	c.received = append(c.received[:0], c.received[n:]...)
	if len(c.received) == 0 && cap(c.received) > freeBuffer {
		c.received = nil
		c.receivedMemory.Release()
	}
}

// releaseReceived drops received, because the connection has been closed.
func (c *clientConn) releaseReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsStopped = true
	c.dropReceivedLocked()
}

// dropReceived drops received, because the connection closes after the next response.
func (c *clientConn) dropReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropReceivedLocked()
}

// dropReceivedLocked is dropReceived for a caller that holds mu.
func (c *clientConn) dropReceivedLocked() {
	c.received = nil
	c.receivedMemory.Release()
}

// claimReceivedLocked counts the capacity of received beyond freeBuffer, and reports whether there
// was memory for it. The caller holds mu.
func (c *clientConn) claimReceivedLocked() bool {
	return c.receivedMemory.Resize(int64(max(0, cap(c.received)-freeBuffer)))
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

// isTruncated reports whether some of the bytes that follow the open request have been discarded, so
// that the connection has to close after the response.
func (c *clientConn) isTruncated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.truncated
}

// endRequest records that a response has been written.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen, c.hasServed = false, true
	c.nextHead = headScanner{}
	c.nextHead.scan(c.received)
}

// isFirstRequest reports whether no request on the connection has been answered yet.
func (c *clientConn) isFirstRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.hasServed
}

// stopReadingIfIdle stops all reads, before the connection is closed, if no request is open, no
// complete head has been read and no bytes wait to be read. Otherwise, or if part of a request has
// arrived after partSince, it changes nothing and returns false.
func (c *clientConn) stopReadingIfIdle(partSince time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	partIsRecent := len(c.received) > 0 && c.lastRead.After(partSince)
	if c.requestOpen || c.nextHead.complete || partIsRecent || !socket.IsIdle(c.Conn) {
		return false
	}
	c.readsStopped = true
	return true
}

// closeWrite ends the stream to the client.
func (c *clientConn) closeWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNotSocket
	}
	return half.CloseWrite()
}
