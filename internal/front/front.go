// Package front holds what all fronts share: where a request goes, and the answers to those that make no sense.
package front

import (
	"fernlanding/internal/core"
	"net/http"
	"time"
)

// Pool takes requests; *core.Pool is one.
type Pool interface {
	// Do takes a request and returns its one final answer.
	Do(*core.Request) core.Answer
	// Cancel ends a request that nobody waits for any more; it may come at any time.
	Cancel(*core.Request)
	// Clock is the time that the request's GiveUp is told in.
	Clock() core.Clock
}

// Destination is where a request goes, and as what.
type Destination struct {
	Pool             Pool
	ID               string
	Class            int
	Tenant           int                 // -1: not told
	Key              string              // its subject, or empty
	Target           string              // path and query that go on
	Timeout          time.Duration       // from its coming to its answer at most
	MaxBody          int64               // bytes of its body
	NoBody           bool                // a body makes no sense
	Memory           Memory              // that its body counts in; may be nil
	MemoryRetryAfter time.Duration       // where that has none left: when to come again
	Mirror           func(*core.Request) // has a copy sent elsewhere, without a wait; may be nil
	Header           []core.Field        // stands in for the client's fields of these names
}

// Memory is a part of the process's memory for bodies.
type Memory interface {
	// Acquire takes n bytes, or nothing and is false.
	Acquire(n int64) bool
	// Release gives n bytes back.
	Release(n int64)
}

// RequestError is the answer to a request that makes no sense, or that nobody serves.
type RequestError struct {
	Status     int // 4xx or 5xx
	Reason     string
	Allow      string        // of 405: the methods that make sense
	RetryAfter time.Duration // of 503: come again after this
}

// Resolver says where a request goes. Only its head is looked at. It may be called from many goroutines.
type Resolver interface {
	Resolve(r *http.Request) (Destination, *RequestError)
}
