// Package front defines what the fronts of all protocols share: the destination of a request, and
// the error response to a request that is not forwarded.
package front

import (
	"net/http"
	"time"

	"fernlanding/internal/core"
)

// Pool forwards requests to backends; *core.Pool is one. A Pool is safe for concurrent use.
type Pool interface {
	// ReserveID reserves the ID of a request while its body is read. It returns false if the ID
	// belongs to another request. The reservation ends with Do or ReleaseID.
	ReserveID(*core.Request) bool
	// ReleaseID ends the reservation of a request that is not passed to Do. It has no effect on
	// other requests.
	ReleaseID(*core.Request)
	// Do forwards a request and returns its final answer, of which there is exactly one.
	Do(*core.Request) core.Answer
	// Cancel ends a request whose client has disconnected. It may be called at any time, also
	// before Do.
	Cancel(*core.Request)
	// Clock returns the clock of the request's ClientDeadline.
	Clock() core.Clock
}

// Destination is the pool that a request is forwarded to, and the form in which it is forwarded.
type Destination struct {
	Pool             Pool
	ID               string
	Class            int
	Tenant           int                 // -1 means that the request names no tenant
	Key              string              // what the request concerns; may be empty
	Target           string              // path and query of the forwarded request
	Timeout          time.Duration       // limit from the arrival of the request to its response
	MaxBody          int64               // limit of the body in bytes
	NoBody           bool                // rejects a request with a body
	Memory           Memory              // counts the body; nil means that the body is not counted
	MemoryRetryAfter time.Duration       // Retry-After of the response if Memory has none left
	Mirror           func(*core.Request) // sends a copy elsewhere without waiting; may be nil
	Header           []core.HeaderField  // fields that replace the client's fields of the same names
}

// Memory is a share of the process's memory for bodies. A Memory is safe for concurrent use.
type Memory interface {
	// Acquire takes n bytes and reports whether they were available. Otherwise it takes none.
	Acquire(n int64) bool
	// Release gives n bytes back.
	Release(n int64)
}

// RequestError is the reason why a request is not forwarded: the request is invalid, or nothing
// serves it.
type RequestError struct {
	Status     int           // 4xx or 5xx
	Reason     string        // body of the response
	Allow      string        // allowed methods, with status 405
	RetryAfter time.Duration // with status 503; 0 means no Retry-After
}

// Error implements error.
func (e *RequestError) Error() string { return e.Reason }

// Resolver determines the destination of a request from its head alone. A Resolver is safe for
// concurrent use.
type Resolver interface {
	Resolve(r *http.Request) (Destination, *RequestError)
}
