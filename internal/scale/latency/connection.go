package latency

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxResponseBytes = 8 << 10 // including the header section

	servedPrefix   = "HTTP/1.1 200 "
	rejectedPrefix = "HTTP/1.1 503 "
)

var (
	errClosed    = errors.New("the connection has ended before the answer")
	errTooLong   = errors.New("an answer that is too long")
	errExtraData = errors.New("more than one answer")
	errNoLength  = errors.New("an answer without a Content-Length that makes sense")

	headEnd     = []byte("\r\n\r\n")
	lengthField = []byte("\r\nContent-Length: ")
)

// connection is a persistent connection with at most one call in flight. Its socket is non-blocking
// and not registered with the network poller of the runtime. The client polls the socket, so that
// the measurements do not include the wake-up latency of a goroutine.
type connection struct {
	socket  int
	request []byte

	intended   time.Duration // intended send time of the current call
	polledAt   time.Duration // time of the last poll for the response
	idleSince  time.Duration // time of the previous response
	received   int           // bytes of the response received so far
	length     int           // bytes of the complete response; 0 means unknown
	isRejected bool          // the response is a 503
	response   [maxResponseBytes]byte
}

// connect opens a connection to a loopback address.
func connect(to netip.AddrPort, request []byte) (*connection, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	c := &connection{socket: socket, request: request}
	err = unix.Connect(socket, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()})
	if err == nil {
		err = errors.Join(
			unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1),
			unix.SetNonblock(socket, true),
		)
	}
	if err != nil {
		c.close()
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	return c, nil
}

// close closes the socket. Errors of closing do not affect a call.
func (c *connection) close() { _ = unix.Close(c.socket) }

// send writes the request. The request always fits in the send buffer of the socket.
func (c *connection) send(intended time.Duration) error {
	c.intended = intended
	c.polledAt = intended
	c.received = 0
	c.length = 0
	c.isRejected = false
	n, err := unix.Write(c.socket, c.request)
	if err == nil && n < len(c.request) {
		err = errClosed
	}
	return err
}

// receive reads the available part of the response without blocking and reports whether the response
// is complete.
func (c *connection) receive() (isComplete bool, err error) {
	n, err := unix.Read(c.socket, c.response[c.received:])
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return false, nil
	case err != nil:
		return false, err
	case n == 0:
		return false, errClosed
	}
	c.received += n
	if c.length == 0 {
		c.length, c.isRejected, err = responseLength(c.response[:c.received])
		if err != nil {
			return false, err
		}
	}
	switch {
	case c.length > 0 && c.received > c.length:
		return false, errExtraData
	case c.length > 0 && c.received == c.length:
		return true, nil
	case c.received == maxResponseBytes:
		return false, errTooLong
	}
	return false, nil
}

// responseLength returns the total length of a partially received response, or 0 if the header
// section is not complete, and whether the response rejects the call (503). A response with a status
// other than 200 and 503 is an error.
func responseLength(received []byte) (length int, isRejected bool, err error) {
	end := bytes.Index(received, headEnd)
	if end < 0 {
		return 0, false, nil
	}
	head := received[:end]
	isRejected = bytes.HasPrefix(head, []byte(rejectedPrefix))
	if !isRejected && !bytes.HasPrefix(head, []byte(servedPrefix)) {
		return 0, false, fmt.Errorf("answered %.40q", head)
	}
	at := bytes.Index(head, lengthField)
	if at < 0 {
		return 0, false, errNoLength
	}
	value, _, _ := bytes.Cut(head[at+len(lengthField):], []byte("\r\n"))
	body, err := strconv.ParseUint(string(value), 10, 16)
	if err != nil {
		return 0, false, errNoLength
	}
	length = end + len(headEnd) + int(body)
	if length > maxResponseBytes {
		return 0, false, errTooLong
	}
	return length, isRejected, nil
}
