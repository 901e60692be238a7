package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"fernlanding/internal/distribution"
)

// writeTimeout limits the time to write a response. The connection is closed after it.
const writeTimeout = 10 * time.Second

// writeFollowResponse answers a long poll. It writes the encoded updates unchanged.
func writeFollowResponse(w http.ResponseWriter, resp *EncodedResponse) {
	head := appendHead(nil, resp)
	if len(resp.Updates) == 0 {
		writeBody(w, append(head, '}'))
		return
	}
	parts := make([][]byte, 0, 2*len(resp.Updates)+1)
	parts = append(parts, append(head, `,"updates":[`...))
	for i, update := range resp.Updates {
		if i > 0 {
			parts = append(parts, []byte{','})
		}
		parts = append(parts, update)
	}
	writeBody(w, append(parts, []byte("]}"))...)
}

// appendHead appends the JSON of a response up to the updates.
func appendHead(to []byte, resp *EncodedResponse) []byte {
	to = append(to, `{"session":`...)
	to = strconv.AppendQuote(to, resp.Session) // valid JSON, because it is letters and digits
	to = append(to, `,"source_age_ms":`...)
	to = strconv.AppendInt(to, resp.SourceAge.Milliseconds(), 10)
	if resp.Disconnected {
		to = append(to, `,"cut":true`...)
	}
	return to
}

// writeJSON answers with a value as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeStatus(w, http.StatusInternalServerError, err.Error())
		return
	}
	writeBody(w, data)
}

// writeBody answers with the concatenation of parts.
func writeBody(w http.ResponseWriter, parts ...[]byte) {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	setWriteDeadline(w)
	header := w.Header()
	// No client reads Date and Content-Type, which would be most of the response to a heartbeat.
	header["Date"] = nil
	header["Content-Type"] = nil
	header["Content-Length"] = []string{strconv.Itoa(length)}
	for _, part := range parts {
		_, _ = w.Write(part) // a follower whose connection failed reads again
	}
}

// writeError answers with the status that corresponds to an error.
func writeError(w http.ResponseWriter, err error) {
	var conflict *distribution.ConflictError
	var overloaded *OverloadedError
	switch {
	case errors.As(err, &conflict):
		writeConflict(w, conflict)
	case errors.As(err, &overloaded):
		w.Header().Set("Retry-After", strconv.Itoa(int(overloaded.RetryAfter/time.Second)))
		writeStatus(w, http.StatusServiceUnavailable, overloaded.Reason)
	case errors.Is(err, distribution.ErrUnknownSession):
		writeStatus(w, http.StatusGone, err.Error())
	case errors.Is(err, ErrNotFound):
		writeStatus(w, http.StatusNotFound, err.Error())
	case errors.Is(err, ErrNotSource):
		writeStatus(w, http.StatusForbidden, err.Error())
	case errors.Is(err, ErrSuperseded), errors.Is(err, context.Canceled), errors.Is(err, distribution.ErrFull):
		writeStatus(w, http.StatusServiceUnavailable, err.Error())
	default:
		writeStatus(w, http.StatusInternalServerError, err.Error())
	}
}

// writeConflict answers with status 409 and the conflict as JSON, which the client decodes.
func writeConflict(w http.ResponseWriter, conflict *distribution.ConflictError) {
	data, err := json.Marshal(conflict)
	if err != nil {
		writeStatus(w, http.StatusInternalServerError, err.Error())
		return
	}
	setWriteDeadline(w)
	w.WriteHeader(http.StatusConflict)
	_, _ = w.Write(data) // nothing to do if the connection failed
}

// writeStatus answers with a status and a text body.
func writeStatus(w http.ResponseWriter, status int, text string) {
	setWriteDeadline(w)
	http.Error(w, text, status)
}

// setWriteDeadline limits the time to write a response to writeTimeout. A connection keeps its
// deadline, so every response has to set a new one.
func setWriteDeadline(w http.ResponseWriter) {
	// The error is ignored because response recorders in tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}
