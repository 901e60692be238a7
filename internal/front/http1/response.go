package http1

import (
	"net/http"
	"strconv"
	"time"

	"fernlanding/internal/core"
	"fernlanding/internal/front"
)

// errorLingerTimeout is how long the front reads what the client of an invalid request still sends,
// so that the client can read its error response.
const errorLingerTimeout = 500 * time.Millisecond

// writeError responds to a request that is not forwarded. The connection closes afterwards, because
// the bytes that follow may not be the next request.
func (f *Front) writeError(w http.ResponseWriter, reqErr *front.RequestError) {
	// net/http reads the rest of a body before it closes the connection. The rest may never arrive.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(errorLingerTimeout))
	if reqErr.Allow != "" {
		w.Header().Set("Allow", reqErr.Allow)
	}
	f.writeResponse(w, &core.Response{
		StatusCode: reqErr.Status,
		Header:     []core.HeaderField{{Name: "Content-Type", Value: "text/plain"}},
		Body:       []byte(reqErr.Reason + "\n"),
	}, reqErr.RetryAfter, true)
}

// writeAnswer writes the answer of a pool and releases its response.
func (f *Front) writeAnswer(w http.ResponseWriter, answer core.Answer) {
	defer answer.Response.Close()
	if answer.Verdict == core.Canceled {
		panic(http.ErrAbortHandler) // a return would send a response with status 200
	}
	resp := answer.Response
	if resp == nil {
		resp = &core.Response{StatusCode: verdictStatus(answer.Verdict)}
	}
	retryAfter := time.Duration(answer.RetryAfter) * time.Microsecond
	f.writeResponse(w, resp, retryAfter, answer.Verdict == core.Rejected)
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

// writeResponse writes a response, with Retry-After if retryAfter is more than 0. The connection
// closes after the response if last is set or the front is closing its connections.
func (f *Front) writeResponse(w http.ResponseWriter, resp *core.Response, retryAfter time.Duration, last bool) {
	h := w.Header()
	h["Content-Type"] = nil // prevents net/http from guessing one
	for _, field := range resp.Header {
		h[field.Name] = append(h[field.Name], field.Value)
	}
	if last || f.closing.Load() {
		h["Connection"] = []string{"close"}
	}
	// A response to HEAD gives the length of a body that it does not have.
	if statusAllowsBody(resp.StatusCode) && h["Content-Length"] == nil {
		h["Content-Length"] = []string{strconv.Itoa(len(resp.Body))}
	}
	if retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	w.WriteHeader(resp.StatusCode)
	if len(resp.Body) > 0 {
		_, _ = w.Write(resp.Body) // a client that has disconnected is not an error
	}
}

// statusAllowsBody reports whether a response of this status may have a body (RFC 9110, section
// 15).
func statusAllowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
