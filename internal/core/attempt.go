package core

import (
	"context"
	"sync"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/logic"
)

// Upstream reaches the backends of one pool over one protocol. The pool calls UpdateEndpoints and
// RoundTripper with its lock held, so neither may call back into the pool.
type Upstream interface {
	// UpdateEndpoints applies a snapshot (full) or a delta. Once it returns, no RoundTripper
	// returned before begins anything new at a backend that is draining, was removed, has restarted
	// or has moved.
	UpdateEndpoints(full bool, entries []membership.Endpoint)
	// RoundTripper returns the RoundTripper for a listed backend that accepts new requests; nil if
	// it is none.
	RoundTripper(server string) RoundTripper
	// CloseExpired closes idle connections that have reached their idle timeout.
	CloseExpired(now time.Time)
}

// RoundTripper reaches one backend, as it was listed when the module selected it.
type RoundTripper interface {
	// RoundTrip carries an attempt out and returns when nothing of it is left.
	RoundTrip(*Attempt) AttemptResult
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Status         logic.Status
	InvalidRequest bool      // the backend rejects the request itself: every backend would
	Response       *Response // with logic.OK and InvalidRequest; with logic.Error where error responses are passed on
}

// Canceler is an operation of an attempt that another goroutine can cancel.
type Canceler interface {
	// Cancel ends the operation. It is called with the attempt's lock held, so it must not call the
	// attempt.
	Cancel()
}

// Attempt is one attempt of a request at one backend. Its exported methods may be called from any
// goroutine.
type Attempt struct {
	*Request
	Deadline time.Time
	SendBy   time.Time // the attempt is not sent if its first byte has not left by then; zero: no limit but Deadline

	server       string
	number       int          // of the request's attempts, from 0
	sentAt       int64        // when the module decided to forward it, in microseconds of the pool's clock
	roundTripper RoundTripper // nil: the attempt can't be carried out

	mu       sync.Mutex // guards what follows
	canceled bool
	canceler Canceler // of the operation in progress; nil: none
}

// NewAttempt returns an attempt that belongs to no pool, for the tests of an upstream.
func NewAttempt(r *Request, deadline time.Time) *Attempt {
	return &Attempt{Request: r, Deadline: deadline}
}

// Cancel cancels the attempt and the operation that SetCanceler has registered.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.canceler != nil {
		a.canceler.Cancel()
	}
}

// Canceled reports whether the attempt has been canceled.
func (a *Attempt) Canceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// DeadlinePassed reports whether the attempt's deadline has passed.
func (a *Attempt) DeadlinePassed() bool { return !time.Now().Before(a.Deadline) }

// SetCanceler registers c to be canceled with the attempt, in place of any other. It returns false,
// and registers nothing, if the attempt has been canceled.
func (a *Attempt) SetCanceler(c Canceler) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		return false
	}
	a.canceler = c
	return true
}

// ClearCanceler unregisters what SetCanceler has registered. It returns false if the attempt has
// been canceled.
func (a *Attempt) ClearCanceler() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceler = nil
	return !a.canceled
}

// contextCanceler is a Canceler that cancels a context.
type contextCanceler context.CancelFunc

// Cancel implements Canceler.
func (c contextCanceler) Cancel() { c() }

// Context returns a context that ends at the attempt's deadline or when the attempt is canceled,
// and a function that releases it. It takes the place of the registered Canceler.
func (a *Attempt) Context() (context.Context, func()) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	if !a.SetCanceler(contextCanceler(cancel)) {
		cancel()
	}
	release := func() {
		a.ClearCanceler()
		cancel()
	}
	return ctx, release
}
