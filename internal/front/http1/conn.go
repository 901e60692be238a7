package http1

import (
	"bytes"
	"container/list"
	"errors"
	"fernlanding/internal/socket"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// What a client sends while its request waits is read on, so that its going is seen behind it: this much is kept for the
	// next request, and the rest is thrown away and the connection ends with its answer.
	mostAhead = maxHead
	// One that sends this much behind a request is no client that waits: it sends one request at a time, of 64 KiB at most.
	floodAhead = 1 << 20
	aheadChunk = 4 << 10
)

// clientConn is one client's connection. While it carries no request it has a place in one of the lists.
//
// It reads with its lock held, and never waits with it. So whoever closes it knows what has been read: a connection whose request
// has been read whole is not closed before its answer, whatever net/http has made of it so far.
type clientConn struct {
	net.Conn
	raw  syscall.RawConn
	came time.Time

	// Of clients.
	since time.Time  // of its place
	list  *list.List // nil while a request is open
	place *list.Element

	mu        sync.Mutex
	shut      bool // closed by clients: nothing more is read
	open      bool // a head has been reported: what comes is its body, and then what the client sends ahead
	asked     bool // a request has been answered
	answering bool // the answer to the open request is being written
	ahead     []byte
	thrown    bool  // some of what came ahead is lost
	flood     int64 // bytes that came ahead of the present answer
	heard     time.Time
	head      headEnd // of the next head, while none is open
}

var (
	errShut  = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	errFlood = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("a client that sends on and on while its request waits")}

	emptyLine = []byte("\r\n\r\n")

	chunks = sync.Pool{New: func() any { return new([aheadChunk]byte) }}
)

func newClientConn(nc net.Conn) (*clientConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.New("no socket")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, raw: raw, came: time.Now()}, nil
}

// Read implements net.Conn. While a request is open and its body has been read, net/http reads one byte, to see the client go, and looks
// no further once it has one. So that read takes what comes and ends only with the connection, or when net/http calls it off.
func (c *clientConn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	watching := c.open && len(b) == 1
	if !watching && c.thrown { // what follows does not fit what was kept
		c.mu.Unlock()
		return 0, io.EOF
	}
	if !watching && len(c.ahead) > 0 {
		n = copy(b, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	if watching {
		return 0, c.watch()
	}
	var got error
	take := func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.shut {
			got = errShut
			return true
		}
		if n, got = receive(fd, b); n > 0 {
			c.heard = time.Now()
			if !c.open {
				c.head.take(b[:n])
			}
		}
		return !errors.Is(got, syscall.EAGAIN)
	}
	if err = c.raw.Read(take); errors.Is(err, os.ErrDeadlineExceeded) {
		// What came before the time was up, and was not read for want of time, is the client's request all the same.
		_ = c.raw.Control(func(fd uintptr) { take(fd) })
		if n > 0 {
			return n, nil
		}
	}
	if err == nil {
		err = got
	}
	return n, readError(err)
}

// watch reads what a client sends ahead until it goes.
func (c *clientConn) watch() error {
	var got error
	err := c.raw.Read(func(fd uintptr) bool {
		b := chunks.Get().(*[aheadChunk]byte)
		defer chunks.Put(b)
		c.mu.Lock()
		defer c.mu.Unlock()
		for {
			if c.shut {
				got = errShut
				return true
			}
			if c.answering {
				return false // net/http calls this read off when the answer is out
			}
			var n int
			if n, got = receive(fd, b[:]); got != nil {
				return !errors.Is(got, syscall.EAGAIN)
			}
			c.heard = time.Now()
			if c.flood += int64(n); c.flood > floodAhead {
				got = errFlood
				return true
			}
			room := min(n, mostAhead-len(c.ahead))
			c.ahead = append(c.ahead, b[:room]...)
			c.thrown = c.thrown || room < n
		}
	})
	if err == nil {
		err = got
	}
	return readError(err)
}

// receive reads what is there, without a wait: EAGAIN where that is nothing, io.EOF at the end.
func receive(fd uintptr, b []byte) (int, error) {
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

// readError words an error as net does, by which net/http tells a client that has gone from one that makes no sense.
func readError(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	var op *net.OpError
	if errors.As(err, &op) {
		if op.Op == "read" {
			return op
		}
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// begin notes that a head has been reported.
func (c *clientConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open, c.flood = true, 0
	c.head = headEnd{}
}

// end notes that an answer has been written.
func (c *clientConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open, c.asked, c.answering = false, true, false
	c.head = headEnd{}
	c.head.take(c.ahead)
}

// answer is for just before an answer is written, and tells whether it has to be the connection's last. From then on nothing is read
// ahead: a client has an answer before its handler has ended, and may send its next request at once, of whatever size.
func (c *clientConn) answer() (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = true
	return c.thrown
}

// first tells whether no request has been answered yet.
func (c *clientConn) first() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.asked
}

// shutQuiet has nothing more be read if no request is open, none has been read whole and nothing waits to be read; it is
// false, and changes nothing, otherwise. One of which a part has come since then is spared too. Close follows.
func (c *clientConn) shutQuiet(then time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open || c.head.whole || c.head.n > 0 && c.heard.After(then) || !socket.IsIdle(c.Conn) {
		return false
	}
	c.shut = true
	return true
}

// CloseWrite lets net/http end its side first, so that a client that is still sending reads its error.
func (c *clientConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// headEnd looks for the end of a head in what comes: an empty line. net/http takes a bare line feed for a line's end.
type headEnd struct {
	n     int  // bytes so far
	empty bool // so far, the present line
	whole bool
}

// take takes the next bytes.
func (h *headEnd) take(b []byte) {
	if h.n += len(b); h.whole || bytes.Contains(b, emptyLine) {
		h.whole = true
		return
	}
	for _, x := range b {
		switch x {
		case '\n':
			h.whole = h.whole || h.empty
			h.empty = true
		case '\r':
		default:
			h.empty = false
		}
	}
}
