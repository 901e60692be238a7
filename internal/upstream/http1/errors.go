package http1

import (
	"errors"
	"fmt"
)

// errNotSent is the class of the errors after which nothing was sent, and which are no evidence
// against the backend.
var errNotSent = errors.New("not sent")

var (
	errNoDescriptor    = fmt.Errorf("%w: no file descriptor is left", errNotSent)
	errEndpointChanged = fmt.Errorf("%w: the endpoint has drained, restarted, moved or left", errNotSent)
	errSendTooLate     = fmt.Errorf("%w: past the time by which it had to be sent", errNotSent)
	errAttemptEnded    = fmt.Errorf("%w: the attempt ended while it waited for a connection", errNotSent)
)

// errDialBackoff says that dials to the endpoint have failed and that none is made for now.
var errDialBackoff = errors.New("dials to the endpoint are backed off")

// errCanceled says that the attempt has been canceled while its response was read.
var errCanceled = errors.New("attempt canceled")

// errResponseTooLarge says that a response's body is longer than Config.MaxResponse.
var errResponseTooLarge = errors.New("response body too large")

// What makes a response malformed.
var (
	errMalformedHead        = errors.New("malformed head")
	errMalformedLength      = errors.New("malformed or conflicting Content-Length")
	errConflictingFraming   = errors.New("both Content-Length and Transfer-Encoding")
	errUnknownCoding        = errors.New("unknown transfer coding")
	errUnknownLength        = errors.New("neither Content-Length nor Transfer-Encoding")
	errTooManyInformational = errors.New("too many informational responses")
	errMalformedTrailer     = errors.New("malformed trailer section")
	errTrailerTooLarge      = errors.New("trailer section too large")
)
