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

	served  = "HTTP/1.1 200 "
	refusal = "HTTP/1.1 503 "
)

var (
	errEnded    = errors.New("the connection has ended before the answer")
	errTooLong  = errors.New("an answer that is too long")
	errTooMuch  = errors.New("more than one answer")
	errNoLength = errors.New("an answer without a Content-Length that makes sense")

	headEnd     = []byte("\r\n\r\n")
	lengthField = []byte("\r\nContent-Length: ")
)

// connection is a kept connection that carries one call at a time. Its socket never blocks and is unknown to the runtime's network
// poller: whoever waits for an answer asks again and again, and no time passes between an answer's coming and a goroutine's waking.
type connection struct {
	socket  int
	request []byte

	intended time.Duration // of the present call
	looked   time.Duration // when its answer was last looked for
	freed    time.Duration // when the call before was answered
	have     int           // bytes of its answer
	need     int           // its length; 0 while that is not known
	refused  bool          // it is a refusal
	answer   [maxAnswer]byte
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
		err = errors.Join(unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1), unix.SetNonblock(socket, true))
	}
	if err != nil {
		c.close()
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	return c, nil
}

func (c *connection) close() { _ = unix.Close(c.socket) }

// send writes the request, which is shorter than any socket's buffer.
func (c *connection) send(intended time.Duration) error {
	c.intended, c.looked, c.have, c.need, c.refused = intended, intended, 0, 0, false
	n, err := unix.Write(c.socket, c.request)
	if err == nil && n < len(c.request) {
		err = errEnded
	}
	return err
}

// receive reads what has come of the answer, without a wait, and tells whether that is all of it.
func (c *connection) receive() (whole bool, err error) {
	n, err := unix.Read(c.socket, c.answer[c.have:])
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return false, nil
	case err != nil:
		return false, err
	case n == 0:
		return false, errEnded
	}
	c.have += n
	if c.need == 0 {
		if c.need, c.refused, err = answerLength(c.answer[:c.have]); err != nil {
			return false, err
		}
	}
	switch {
	case c.need > 0 && c.have > c.need:
		return false, errTooMuch
	case c.need > 0 && c.have == c.need:
		return true, nil
	case c.have == maxAnswer:
		return false, errTooLong
	}
	return false, nil
}

// answerLength is the length of an answer of which some has come, 0 where its head is not whole yet, and whether it is a refusal (503).
// An answer with another status than those two is an error.
func answerLength(came []byte) (length int, refused bool, err error) {
	end := bytes.Index(came, headEnd)
	if end < 0 {
		return 0, false, nil
	}
	head := came[:end]
	refused = bytes.HasPrefix(head, []byte(refusal))
	if !refused && !bytes.HasPrefix(head, []byte(served)) {
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
	if length = end + len(headEnd) + int(body); length > maxAnswer {
		return 0, false, errTooLong
	}
	return length, refused, nil
}
