package http1

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// maxPipelined is the limit in bytes of what is kept of the data that a client sends while its
	// request is in flight, which belongs to the next request. Such bytes are read until the answer
	// is known, so that a disconnect after them is detected. Bytes beyond the limit are
	// discarded, and the connection closes after its response.
	maxPipelined = maxRequestHead
	// maxPipelinedFlood is how many bytes a client may send after a request in flight. A client
	// that sends more does not wait for its response: a client that waits sends one request at a
	// time, of at most 64 KiB.
	maxPipelinedFlood = 1 << 20
)

var errPipelineFlood = &net.OpError{
	Op: "read", Net: "tcp", Err: errors.New("client sent too many bytes while its request was in flight"),
}

// disconnectWatch reads what a client sends while its request is in flight, on a goroutine of its
// own.
type disconnectWatch struct {
	conn  *clientConn
	ended chan struct{}
}

// watchForDisconnect starts a watch that calls disconnected if the client disconnects or no longer
// waits for its response. The caller stops the watch.
func (c *clientConn) watchForDisconnect(disconnected func()) *disconnectWatch {
	_ = c.SetReadDeadline(time.Time{}) // fails only if the connection is closed, which the read reports too
	w := &disconnectWatch{conn: c, ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		if err := c.readPipelined(); !errors.Is(err, os.ErrDeadlineExceeded) {
			disconnected()
		}
	}()
	return w
}

// stop ends the watch and waits for its end. From then on, no bytes that follow the request are read
// before its response has been written: a client may receive its response and send its next request,
// of any size, before this process has noticed that the write has ended.
func (w *disconnectWatch) stop() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // interrupts the read
	<-w.ended
}

// readPipelined reads what the client sends until the watch is stopped or the client disconnects.
// It returns os.ErrDeadlineExceeded if the watch has been stopped.
func (c *clientConn) readPipelined() error {
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		done, readErr = c.readPipelinedAvailable(fd)
		return done
	})
	if err != nil {
		return err
	}
	return readErr
}

// readPipelinedAvailable reads all bytes that have arrived and keeps them for the next request. done
// reports whether the watch is over.
func (c *clientConn) readPipelinedAvailable(fd uintptr) (done bool, err error) {
	chunk, _ := readChunks.Get().(*[readChunk]byte)
	defer readChunks.Put(chunk)
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.readsStopped {
			return true, errReadsStopped
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
		c.keepPipelinedLocked(chunk[:n])
	}
}

// keepPipelinedLocked keeps bytes for the next request, as far as there is room. The caller holds
// mu.
func (c *clientConn) keepPipelinedLocked(b []byte) {
	if c.truncated {
		return
	}
	room := min(len(b), maxPipelined-len(c.received))
	c.appendReceivedLocked(b[:room])
	c.truncated = room < len(b)
	if !c.claimReceivedLocked() {
		c.truncated = true
		c.dropReceivedLocked()
	}
}
