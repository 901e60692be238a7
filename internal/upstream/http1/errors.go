package http1

import (
	"errors"
	"fmt"
)

// errNotSent is wrapped by each error that means that nothing was sent. Such an error is not
// evidence against the backend.
var errNotSent = errors.New("not sent")

var (
	errNoDescriptor    = fmt.Errorf("%w: no file descriptor available", errNotSent)
	errEndpointChanged = fmt.Errorf("%w: endpoint has drained, restarted, moved or been removed", errNotSent)
	errSendTooLate     = fmt.Errorf("%w: send deadline exceeded", errNotSent)
	errAttemptEnded    = fmt.Errorf("%w: attempt ended while waiting for a connection", errNotSent)
)

// errDialBackoff means that dials to the endpoint have failed and that no dial is allowed until the
// backoff ends.
var errDialBackoff = errors.New("endpoint is in dial backoff")

// errCanceled means that the attempt was canceled while its response was being read.
var errCanceled = errors.New("attempt canceled")

// errUndelivered means that the complete request has not reached the backend's kernel in time.
var errUndelivered = errors.New("request not delivered in time")

// errResponseTooLarge means that a response body exceeds Config.MaxResponse.
var errResponseTooLarge = errors.New("response body too large")

// Errors of malformed responses.
var (
	errMalformedHead        = errors.New("malformed response head")
	errMalformedLength      = errors.New("malformed or conflicting Content-Length")
	errConflictingFraming   = errors.New("response has both Content-Length and Transfer-Encoding")
	errUnknownCoding        = errors.New("unknown transfer coding")
	errTooManyInformational = errors.New("too many informational responses")
	errSurplusBytes         = errors.New("bytes follow the response")
	errMalformedTrailer     = errors.New("malformed trailer section")
	errTrailerTooLarge      = errors.New("trailer section too large")
)
