package http1

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"fernlanding/internal/core"
)

// maxSmallResponse is the size in bytes up to which head and body of a response are written at once.
const maxSmallResponse = 4 << 10

// responseWriter writes one response to a connection.
type responseWriter struct {
	conn   *clientConn
	noBody bool // the response has no body, because the method is HEAD
	last   bool // the connection closes after the response
}

// responseBuffers is a pool of buffers of type *[]byte.
var responseBuffers = sync.Pool{New: func() any { return new(make([]byte, 0, maxSmallResponse)) }}

// write writes a response, with Retry-After if retryAfter is more than 0.
func (w *responseWriter) write(resp *core.Response, retryAfter time.Duration) error {
	buffer, _ := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(buffer)
	b := w.appendHead((*buffer)[:0], resp, retryAfter)
	body := resp.Body
	if w.noBody {
		body = nil
	}
	if len(b)+len(body) <= maxSmallResponse {
		b, body = append(b, body...), nil
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write reports that the connection is closed
	_, err := w.conn.Write(b)
	if err == nil && len(body) > 0 {
		_, err = w.conn.Write(body)
	}
	return err
}

// appendHead appends the head of a response to b.
func (w *responseWriter) appendHead(b []byte, resp *core.Response, retryAfter time.Duration) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(resp.StatusCode), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(resp.StatusCode)...)
	b = append(b, "\r\n"...)
	hasDate, hasLength := false, false
	for _, field := range resp.Header {
		hasDate = hasDate || field.Name == "Date"
		hasLength = hasLength || field.Name == "Content-Length"
		b = appendField(b, field.Name, field.Value)
	}
	if !hasDate {
		b = append(b, "Date: "...)
		b = time.Now().UTC().AppendFormat(b, http.TimeFormat)
		b = append(b, "\r\n"...)
	}
	// A response to HEAD gives the length of a body that it does not have.
	if !hasLength && statusAllowsBody(resp.StatusCode) {
		b = appendField(b, "Content-Length", strconv.Itoa(len(resp.Body)))
	}
	if retryAfter > 0 {
		b = appendField(b, "Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if w.last {
		b = appendField(b, "Connection", "close")
	}
	return append(b, "\r\n"...)
}

// appendField appends a header field line.
func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// verdictStatus returns the status for a verdict without a response from a backend.
func verdictStatus(v core.Verdict) int {
	switch v {
	case core.Shed, core.NotAdmitted:
		return http.StatusServiceUnavailable
	case core.Expired:
		return http.StatusGatewayTimeout
	case core.Rejected:
		return http.StatusBadRequest
	default:
		return http.StatusBadGateway
	}
}

// statusAllowsBody reports whether a response of this status may have a body (RFC 9110, section
// 15).
func statusAllowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
