package http1

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

// checkFraming rejects requests whose end may be seen at two places.
func checkFraming(r *http.Request) *front.RequestError {
	if !r.ProtoAtLeast(1, 1) { // in these net/http drops a Transfer-Encoding unseen
		return &front.RequestError{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) > 0 { // with a Content-Length beside it the body may hide another request
		return &front.RequestError{Status: http.StatusLengthRequired, Reason: "a body needs Content-Length alone"}
	}
	return nil
}

// reserveBodyMemory takes the memory for a request's body and returns how many bytes that is. A
// body that is too large takes none: readBody rejects it.
func reserveBodyMemory(r *http.Request, dest *front.Destination) (int64, *front.RequestError) {
	n := r.ContentLength
	if dest.Memory == nil || n <= 0 || n > dest.MaxBody {
		return 0, nil
	}
	if !dest.Memory.Acquire(n) {
		return 0, &front.RequestError{
			Status: http.StatusServiceUnavailable, Reason: "no memory is left for the body",
			RetryAfter: dest.MemoryRetryAfter,
		}
	}
	return n, nil
}

// readBody reads a body of known length. Its buffer grows with what comes: a length alone costs no
// memory.
func readBody(
	w http.ResponseWriter, r *http.Request, conn *clientConn, dest *front.Destination,
) ([]byte, *front.RequestError) {
	switch {
	case r.ContentLength > dest.MaxBody:
		return nil, &front.RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large"}
	case r.ContentLength > 0 && dest.NoBody:
		return nil, &front.RequestError{Status: http.StatusBadRequest, Reason: "a body on a GET"}
	case r.ContentLength == 0:
		return nil, nil
	}
	deadline := time.Now().Add(headTimeout)
	if conn.isFirstRequest() {
		deadline = conn.acceptedAt.Add(firstRequestTimeout)
	}
	// Errors of SetReadDeadline say that the connection is closed, which the read says too.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline)
	var body bytes.Buffer
	_, err := body.ReadFrom(r.Body)
	// While the answer is awaited net/http reads on, to see a client that leaves; that has no
	// deadline.
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, &front.RequestError{Status: http.StatusBadRequest, Reason: "the body broke off"}
	}
	return body.Bytes(), nil
}

// hopByHopFields are the fields that concern one connection (RFC 9110, section 7.6.1) or the
// framing.
var hopByHopFields = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader returns the fields of a request that are forwarded: all but those that concern
// the connection, and the replacements instead of the client's fields of their names. It takes the
// others out of h.
func forwardedHeader(h http.Header, replacements []core.HeaderField) []core.HeaderField {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
	for _, field := range replacements {
		delete(h, field.Name)
	}
	fields := make([]core.HeaderField, 0, len(h)+len(replacements))
	for name, values := range h {
		for _, value := range values {
			fields = append(fields, core.HeaderField{Name: name, Value: value})
		}
	}
	return append(fields, replacements...)
}
