package http1

import (
	"io"
	"net/http"
	"time"

	"fernlanding/internal/front"
)

const (
	requestOverhead = 16 << 10 // bytes that a request in flight costs beside its head and body
	headCopies      = 2        // copies of a head that a request in flight holds: parsed and encoded
	fieldOverhead   = 160      // bytes that a parsed field costs beside its name and value
)

// minBodyBuffer is the initial capacity in bytes of the buffer of a body that is received in parts.
const minBodyBuffer = 4 << 10

// continueResponse tells a client that waits for it to send its body (RFC 9110, section 10.1.1).
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

var (
	errBodyBrokeOff = badRequest("the body broke off")
	errBodyTooLarge = &front.RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large"}
	errBodyOnGet    = badRequest("a body on a GET")
	errNoMemory     = &front.RequestError{
		Status: http.StatusServiceUnavailable, Reason: "no memory is left for the request",
	}
	errExpectation = &front.RequestError{Status: http.StatusExpectationFailed, Reason: "unknown expectation"}
)

// noMemoryError returns errNoMemory with the Retry-After of a destination.
func noMemoryError(dest *front.Destination) *front.RequestError {
	return &front.RequestError{
		Status: errNoMemory.Status, Reason: errNoMemory.Reason, RetryAfter: dest.MemoryRetryAfter,
	}
}

// checkBody rejects a request whose body is not accepted.
func checkBody(r *http.Request, dest *front.Destination) *front.RequestError {
	switch {
	case r.ContentLength > dest.MaxBody:
		return errBodyTooLarge
	case r.ContentLength > 0 && dest.NoBody:
		return errBodyOnGet
	case !isExpectationKnown(r):
		return errExpectation
	}
	return nil
}

// isExpectationKnown reports whether a request has no Expect field other than 100-continue.
func isExpectationKnown(r *http.Request) bool {
	expectations := r.Header["Expect"]
	return len(expectations) == 0 || len(expectations) == 1 && hasToken(expectations, "100-continue")
}

// reserveServiceMemory takes the memory for the body of a request from the share of its service, and
// returns a function that gives it back.
func reserveServiceMemory(r *clientRequest, dest *front.Destination) (release func(), ok bool) {
	if dest.Memory == nil || r.ContentLength == 0 {
		return func() {}, true
	}
	if !dest.Memory.Acquire(r.ContentLength) {
		return nil, false
	}
	return func() { dest.Memory.Release(r.ContentLength) }, true
}

// requestMemory is the memory that a request holds.
type requestMemory struct {
	claim *front.Claim
	fixed int64 // bytes beside the body
}

// newRequestMemory returns the memory of a request, with nothing claimed yet.
func (f *Front) newRequestMemory(r *clientRequest) *requestMemory {
	return &requestMemory{
		claim: f.cfg.Memory.NewClaim(),
		fixed: requestOverhead + headCopies*int64(r.headSize) + fieldOverhead*int64(len(r.Header)),
	}
}

// resizeBody sets the memory of the body and reports whether there was room. Otherwise it changes
// nothing.
func (m *requestMemory) resizeBody(bytes int64) bool { return m.claim.Resize(m.fixed + bytes) }

// bodyReader reads the body of a request.
type bodyReader struct {
	conn   *clientConn
	length int64
	memory *requestMemory
}

// read reads the body. Its buffer grows with the bytes that arrive, so a Content-Length alone costs
// no memory.
func (b *bodyReader) read(expectsContinue bool) ([]byte, *rejection) {
	if b.length <= int64(b.conn.receivedBytes()) { // the usual case, also of a request without a body
		return b.readReceived()
	}
	deadline := b.conn.bodyDeadline()
	b.conn.setReadDeadline(deadline)
	if expectsContinue {
		_ = b.conn.SetWriteDeadline(deadline) // as with the write, the next read reports an error too
		_, _ = io.WriteString(b.conn, continueResponse)
	}
	return b.readParts()
}

// bodyDeadline returns the time by which a body that begins now has to be complete.
func (c *clientConn) bodyDeadline() time.Time {
	if c.isFirstRequest() {
		return c.acceptedAt.Add(firstRequestTimeout)
	}
	return time.Now().Add(headTimeout)
}

// readReceived returns a body that has been received with the head.
func (b *bodyReader) readReceived() ([]byte, *rejection) {
	b.memory.claim.Finish()
	if !b.memory.resizeBody(b.length) {
		return nil, &rejection{err: errNoMemory, unread: b.length}
	}
	if b.length == 0 {
		return nil, nil
	}
	body := make([]byte, b.length)
	b.conn.takeReceived(body)
	return body, nil
}

// readParts reads a body as it arrives.
func (b *bodyReader) readParts() ([]byte, *rejection) {
	var body []byte
	for int64(len(body)) < b.length {
		if len(body) == cap(body) {
			capacity := min(b.length, max(2*int64(cap(body)), minBodyBuffer))
			if !b.memory.resizeBody(capacity) {
				return nil, &rejection{err: errNoMemory, unread: b.length - int64(len(body))}
			}
			body = append(make([]byte, 0, capacity), body...)
		}
		n, err := b.conn.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return nil, &rejection{err: errBodyBrokeOff}
		}
	}
	b.memory.claim.Finish()
	return body, nil
}

// discardBody reads and drops n bytes of a body.
func (c *clientConn) discardBody(n int64) error {
	c.setReadDeadline(c.bodyDeadline())
	return c.drop(n - int64(c.discardReceived(n)))
}

// drop reads and drops n bytes from the client. It holds no buffer while it waits.
func (c *clientConn) drop(n int64) error {
	for n > 0 {
		read, err := c.awaitRead(func(fd uintptr) (int, error) {
			chunk, _ := readChunks.Get().(*[readChunk]byte)
			defer readChunks.Put(chunk)
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.readAvailableLocked(fd, chunk[:min(n, readChunk)])
		})
		if err != nil {
			return err
		}
		n -= int64(read)
	}
	return nil
}
