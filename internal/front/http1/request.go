package http1

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

// checkFraming rejects requests whose end is ambiguous.
func checkFraming(r *http.Request) *front.RequestError {
	if !r.ProtoAtLeast(1, 1) { // net/http silently drops the Transfer-Encoding of such requests
		return &front.RequestError{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) > 0 { // together with a Content-Length, the body may hide another request
		return &front.RequestError{Status: http.StatusLengthRequired, Reason: "a body needs Content-Length alone"}
	}
	return nil
}

// reserveBodyMemory takes the memory for the body of a request and returns the number of bytes. It
// takes none for a body that is too large, because readBody rejects that body.
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

// readBody reads a body of known length. Its buffer grows with the bytes that arrive, so a
// Content-Length alone costs no memory.
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
	// An error of SetReadDeadline means that the connection is closed, which the read reports too.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline)
	var body bytes.Buffer
	_, err := body.ReadFrom(r.Body)
	// While the request waits for its answer, net/http reads on to detect a disconnect. That read
	// has no deadline.
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, &front.RequestError{Status: http.StatusBadRequest, Reason: "the body broke off"}
	}
	return body.Bytes(), nil
}

// hopByHopFields are the names of the fields that concern a single connection (RFC 9110, section
// 7.6.1) or the framing of the message.
var hopByHopFields = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader returns the fields of a request that are forwarded: all fields but those that
// concern the connection, with replacements in place of the client's fields of the same names. It
// deletes the fields that are not forwarded from h.
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
