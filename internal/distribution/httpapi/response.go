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

// writeTimeout is how long a client may take to read a response before its connection is closed.
const writeTimeout = 10 * time.Second

// writeFollowResponse answers a long poll. The updates are written as they were encoded.
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

// appendHead appends the JSON of a response up to its updates.
func appendHead(to []byte, resp *EncodedResponse) []byte {
	to = append(to, `{"session":`...)
	to = strconv.AppendQuote(to, resp.Session) // as JSON does, because it is letters and digits
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
	// Nobody reads the date and the content type, and they would be most of a heartbeat's response.
	header["Date"] = nil
	header["Content-Type"] = nil
	header["Content-Length"] = []string{strconv.Itoa(length)}
	for _, part := range parts {
		_, _ = w.Write(part) // a follower that has gone reads again
	}
}

// writeError answers with the status that an error stands for.
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

// writeConflict answers with status 409 and the conflict as JSON, which the client decodes again.
func writeConflict(w http.ResponseWriter, conflict *distribution.ConflictError) {
	data, err := json.Marshal(conflict)
	if err != nil {
		writeStatus(w, http.StatusInternalServerError, err.Error())
		return
	}
	setWriteDeadline(w)
	w.WriteHeader(http.StatusConflict)
	_, _ = w.Write(data) // a client that has gone has no use for it
}

// writeStatus answers with a status and a text.
func writeStatus(w http.ResponseWriter, status int, text string) {
	setWriteDeadline(w)
	http.Error(w, text, status)
}

// setWriteDeadline bounds how long the client may take to read the response. A connection keeps its
// deadline, so each response has to set one.
func setWriteDeadline(w http.ResponseWriter) {
	// A test's recorder has no deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}
