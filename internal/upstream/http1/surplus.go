package http1

import (
	"bytes"

	"fernlanding/internal/socket"
)

// surplus is what has arrived behind a response that is complete by its own framing.
type surplus int

const (
	noSurplus      surplus = iota
	repeatedHead           // the response is sent a second time
	surplusUnknown         // noise, or the rest of a body whose framing is too short
)

// surplus returns what has arrived behind the response that has just been read. A body whose
// announced length is too short cannot be distinguished from a complete body with noise behind it,
// so such a response must not be served. A copy of the response's own head shows that the body
// ended where its framing says.
func (c *conn) surplus() surplus {
	if c.reader.Buffered() == 0 {
		if socket.PeekState(c.Conn) != socket.Readable {
			return noSurplus
		}
		_, _ = c.reader.Peek(1) // does not wait, and fails only if the connection has been closed
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail: the bytes are buffered
	if len(buffered) > 0 && bytes.HasPrefix(buffered, c.rawHead) {
		return repeatedHead
	}
	return surplusUnknown
}
