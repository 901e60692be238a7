package core

import (
	"context"
	"fernlanding/internal/membership"
	"fernlanding/logic"
	"sync"
	"time"
)

// Upstream reaches the backends of one pool over one protocol.
type Upstream interface {
	// UpdateEndpoints takes a list or its changes. Once it returns, no Way opened before begins anything new at a backend
	// that drains, is gone, has restarted or moved.
	UpdateEndpoints(full bool, entries []membership.Endpoint)
	// RoundTripper returns the way to a listed backend that takes new requests; nil if it is none.
	RoundTripper(server string) RoundTripper
	// CloseExpired ends kept connections whose time is up.
	CloseExpired(now time.Time)
}

// RoundTripper is how a backend was reached when the module chose it.
type RoundTripper interface {
	// RoundTrip carries an attempt out and returns when nothing of it is left.
	RoundTrip(*Attempt) AttemptResult
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Status         logic.Status
	InvalidRequest bool      // the backend says that the request makes no sense, whoever gets it
	Response       *Response // with logic.OK and Fault; with logic.Error where replies of all kinds go on
}

// Canceler is something that an attempt waits on and that can be broken off from another goroutine.
type Canceler interface{ Cancel() }

// Attempt is one Send of the module on its way.
type Attempt struct {
	*Request
	Deadline time.Time
	SendBy   time.Time // its first byte leaves by then, or it is not sent; zero: by the deadline
	server   string
	number   int
	sent     int64        // when the module decided
	way      RoundTripper // nil: it can't be carried out

	mu      sync.Mutex
	stopped bool
	hook    Canceler
}

// NewAttempt returns an attempt that no pool knows of, for the tests of an upstream.
func NewAttempt(r *Request, deadline time.Time) *Attempt {
	return &Attempt{Request: r, Deadline: deadline}
}

// Cancel breaks the attempt off.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped = true; a.hook != nil {
		a.hook.Cancel()
	}
}

// Canceled tells whether the attempt has been broken off.
func (a *Attempt) Canceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopped
}

// DeadlinePassed tells whether the attempt's time is up.
func (a *Attempt) DeadlinePassed() bool { return !time.Now().Before(a.Deadline) }

// SetCanceler has b broken when the attempt is; it is false, and b is not held, if that has happened. At most one is held.
func (a *Attempt) SetCanceler(b Canceler) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopped {
		a.hook = b
	}
	return !a.stopped
}

// ClearCanceler lets go of what Hook holds; it is false if that has been broken.
func (a *Attempt) ClearCanceler() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hook = nil
	return !a.stopped
}

type cancelled context.CancelFunc

// Cancel implements Breaker.
func (c cancelled) Cancel() { c() }

// Context returns a context that ends with the attempt's time or when it is stopped, and what lets go of it.
// It takes the place of what is hooked.
func (a *Attempt) Context() (context.Context, func()) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	if !a.SetCanceler(cancelled(cancel)) {
		cancel()
	}
	return ctx, func() { a.ClearCanceler(); cancel() }
}
