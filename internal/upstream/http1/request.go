package http1

import (
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"fernlanding/internal/core"
)

const (
	// timeoutHeader is the name of the field that tells a backend for how many milliseconds its
	// caller waits.
	timeoutHeader = "Request-Timeout-Ms"

	maxCopiedBody = 4 << 10 // bytes of a body that are copied, so that one write sends them with the head
)

// writeRequest writes a request. An error means that the last byte was not written.
func (rt *roundTripper) writeRequest(a *core.Attempt, c *conn) error {
	first, rest := c.encodeRequest(a)
	if err := rt.writeFirst(a, c, first); err != nil || len(rest) == 0 {
		return err
	}
	_, err := c.Write(rest)
	return err
}

// writeFirst writes the first part of a request. An error means that its last byte was not written.
func (rt *roundTripper) writeFirst(a *core.Attempt, c *conn, request []byte) error {
	if c.raw == nil {
		_, err := rt.beginWrite(a, func() (int, error) { return c.Write(request) })
		return err
	}
	var written int
	var err error
	rawErr := c.raw.Write(func(fd uintptr) bool {
		written, err = rt.beginWrite(a, func() (int, error) { return writeNonblocking(fd, request) })
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case rawErr != nil:
		return rawErr
	case err == nil && written < len(request):
		_, err = c.Write(request[written:])
	}
	return err
}

// beginWrite makes the first write of a request, provided that the endpoint has not changed since
// it was selected and that SendBy has not passed. It holds writeMu for the check and the write.
// UpdateEndpoints waits for writeMu, so nothing begins at an endpoint that has changed once
// UpdateEndpoints has returned.
func (rt *roundTripper) beginWrite(a *core.Attempt, write func() (int, error)) (int, error) {
	rt.endpoint.writeMu.RLock()
	defer rt.endpoint.writeMu.RUnlock()
	if rt.endpoint.epoch != rt.epoch {
		return 0, errEndpointChanged
	}
	if !a.SendBy.IsZero() && time.Now().After(a.SendBy) {
		return 0, errSendTooLate
	}
	return write()
}

// writeNonblocking writes as much as the socket's buffer accepts. It returns EAGAIN if the buffer
// accepts nothing.
func writeNonblocking(fd uintptr, b []byte) (int, error) {
	for {
		n, err := syscall.Write(int(fd), b)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// encodeRequest encodes the head of a request and the first part of its body into one buffer, so that
// one write sends a small request. rest is the rest of the body. The result is valid until the next
// call.
func (c *conn) encodeRequest(a *core.Attempt) (first, rest []byte) {
	r, b := a.Request, c.request[:0]
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	for _, field := range r.Header {
		if field.Name != timeoutHeader {
			b = appendField(b, field.Name, field.Value)
		}
	}
	b = appendIntField(b, timeoutHeader, max(1, time.Until(a.Deadline).Milliseconds()))
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = appendIntField(b, "Content-Length", int64(len(r.Body)))
	}
	b = append(b, "\r\n"...)
	copied := min(len(r.Body), maxCopiedBody)
	b = append(b, r.Body[:copied]...)
	c.request = b
	return b, r.Body[copied:]
}

// appendField appends a header field line.
func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// appendIntField appends a header field line with a decimal value.
func appendIntField(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, value, 10)
	return append(b, "\r\n"...)
}
