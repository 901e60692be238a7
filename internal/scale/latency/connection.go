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
	maxAnswer = 8 << 10 // bytes of an answer, with its head

	servedPrefix   = "HTTP/1.1 200 "
	rejectedPrefix = "HTTP/1.1 503 "
)

var (
	errClosed   = errors.New("the connection has ended before the answer")
	errTooLong  = errors.New("an answer that is too long")
	errTooMuch  = errors.New("more than one answer")
	errNoLength = errors.New("an answer without a Content-Length that makes sense")

	headEnd     = []byte("\r\n\r\n")
	lengthField = []byte("\r\nContent-Length: ")
)

// connection is a persistent connection that carries one call at a time. Its socket is non-blocking
// and unknown to the runtime's network poller: the client polls it, so that no time passes between
// the arrival of a response and the wake-up of a goroutine.
type connection struct {
	socket  int
	request []byte

	intended   time.Duration // of the current call
	polled     time.Duration // when its response was last polled for
	idleSince  time.Duration // when the previous call was answered
	received   int           // bytes of the response
	length     int           // of the response; 0: unknown
	isRejected bool          // the response is a 503
	answer     [maxAnswer]byte
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

// close closes the socket; its errors do not concern a call.
func (c *connection) close() { _ = unix.Close(c.socket) }

// send writes the request, which is shorter than any socket's buffer.
func (c *connection) send(intended time.Duration) error {
	c.intended = intended
	c.polled = intended
	c.received = 0
	c.length = 0
	c.isRejected = false
	n, err := unix.Write(c.socket, c.request)
	if err == nil && n < len(c.request) {
		err = errClosed
	}
	return err
}

// receive reads what has arrived of the response, without blocking, and reports whether the
// response is complete.
func (c *connection) receive() (isComplete bool, err error) {
	n, err := unix.Read(c.socket, c.answer[c.received:])
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
		c.length, c.isRejected, err = responseLength(c.answer[:c.received])
		if err != nil {
			return false, err
		}
	}
	switch {
	case c.length > 0 && c.received > c.length:
		return false, errTooMuch
	case c.length > 0 && c.received == c.length:
		return true, nil
	case c.received == maxAnswer:
		return false, errTooLong
	}
	return false, nil
}

// responseLength returns the length of a response of which some bytes have arrived, 0 if its head
// is not complete, and whether it rejects the call (503). A response with another status than 200
// and 503 is an error.
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
	if length > maxAnswer {
		return 0, false, errTooLong
	}
	return length, isRejected, nil
}
