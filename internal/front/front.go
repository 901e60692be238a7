// Package front holds what the fronts of all protocols share: where a request is forwarded to, and
// the error responses to requests that are forwarded nowhere.
package front

import (
	"net/http"
	"time"

	"fernlanding/internal/core"
)

// Pool takes requests; *core.Pool is one. It may be used by many goroutines.
type Pool interface {
	// Do takes a request and returns its one final answer.
	Do(*core.Request) core.Answer
	// Cancel ends a request whose client has left. It may come at any time, also before Do.
	Cancel(*core.Request)
	// Clock is the clock of the request's ClientDeadline.
	Clock() core.Clock
}

// Destination is where a request is forwarded to, and as what.
type Destination struct {
	Pool             Pool
	ID               string
	Class            int
	Tenant           int                 // -1: not given
	Key              string              // what the request concerns; may be empty
	Target           string              // forwarded path and query
	Timeout          time.Duration       // from the request's arrival to its response
	MaxBody          int64               // bytes of the body
	NoBody           bool                // a body is an error
	Memory           Memory              // that the body counts in; may be nil
	MemoryRetryAfter time.Duration       // the Retry-After where Memory has none left
	Mirror           func(*core.Request) // has a copy sent elsewhere, without waiting; may be nil
	Header           []core.HeaderField  // replaces the client's fields of these names
}

// Memory is a part of the process's memory for bodies. It may be used by many goroutines.
type Memory interface {
	// Acquire takes n bytes, or none, and reports whether it has.
	Acquire(n int64) bool
	// Release gives n bytes back.
	Release(n int64)
}

// RequestError says why a request is not forwarded: it is invalid, or nobody serves it.
type RequestError struct {
	Status     int           // 4xx or 5xx
	Reason     string        // the response's body
	Allow      string        // of 405: the allowed methods
	RetryAfter time.Duration // of 503; 0: not given
}

// Error implements error.
func (e *RequestError) Error() string { return e.Reason }

// Resolver finds where a request is forwarded to by its head alone. It may be used by many
// goroutines.
type Resolver interface {
	Resolve(r *http.Request) (Destination, *RequestError)
}
