package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"fernlanding/internal/front"
)

const (
	maxRequestIDBytes = 128
	maxTimeoutMS      = 1e9 // beyond which a client's timeout counts as this

	// The answer to a request is to leave this long before its client gives up, so that a busy core
	// does not make it late, but a request with little time keeps most of it.
	answerMargin         = 30 * time.Millisecond
	answerMarginFraction = 8 // of the request's time: the margin is at most one part of so many
)

// singleFields are the header fields that may occur once.
var singleFields = [...]string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Tenant", "Idempotency-Key"}

// checkSingleFields rejects a header in which a field occurs more than once that would then have
// two meanings.
func checkSingleFields(header http.Header) *front.RequestError {
	for _, name := range singleFields {
		if len(header[name]) > 1 {
			return badRequest(name + " is given twice")
		}
	}
	return nil
}

// badRequest returns the answer to a request that is invalid.
func badRequest(reason string) *front.RequestError {
	return &front.RequestError{Status: http.StatusBadRequest, Reason: reason}
}

// firstValue returns the first value of a field whose name is in canonical form; empty: there is
// none.
func firstValue(header http.Header, name string) string {
	if values := header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// parseTimeout parses the value of a Request-Timeout-Ms field.
func parseTimeout(text string) (time.Duration, *front.RequestError) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, badRequest("Request-Timeout-Ms is no time")
	}
	return time.Duration(min(ms, maxTimeoutMS)) * time.Millisecond, nil
}

// answerTimeout returns within what time a request is answered whose client waits for a time.
func answerTimeout(clientWait time.Duration) time.Duration {
	return clientWait - min(answerMargin, clientWait/answerMarginFraction)
}
