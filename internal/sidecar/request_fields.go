package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"fernlanding/internal/front"
)

const (
	maxRequestIDBytes = 128
	maxTimeoutMS      = 1e9 // larger timeouts of clients are reduced to this

	// A response is due this long before the client's timeout, so that a busy core does not delay
	// the response beyond the timeout. responseMarginDivisor limits the margin for short timeouts.
	responseMargin        = 30 * time.Millisecond
	responseMarginDivisor = 8 // the margin is at most 1/8 of the client's timeout
)

// singleFields are the header fields that may occur only once.
var singleFields = [...]string{"Request-Id", "Request-Class", "Request-Timeout-Ms", "Tenant", "Idempotency-Key"}

// checkSingleFields rejects a header that repeats one of singleFields, since the meaning of such a
// field would be ambiguous.
func checkSingleFields(header http.Header) *front.RequestError {
	for _, name := range singleFields {
		if len(header[name]) > 1 {
			return badRequest(name + " is given twice")
		}
	}
	return nil
}

// badRequest returns the error of an invalid request.
func badRequest(reason string) *front.RequestError {
	return &front.RequestError{Status: http.StatusBadRequest, Reason: reason}
}

// firstValue returns the first value of a field, or an empty string if there is none. The name must
// be in canonical form.
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

// responseTimeout returns the time within which a response is due if the client waits for
// clientWait.
func responseTimeout(clientWait time.Duration) time.Duration {
	return clientWait - min(responseMargin, clientWait/responseMarginDivisor)
}
