package core

import (
	"context"
	"sync"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/logic"
)

// Upstream forwards attempts to the backends of one pool over one protocol. The pool calls
// UpdateEndpoints and RoundTripper with the pool's lock held, so neither may call back into the
// pool.
type Upstream interface {
	// UpdateEndpoints applies a snapshot (full) or a delta. After UpdateEndpoints returns, a
	// RoundTripper obtained earlier starts nothing new on a backend that is draining, was removed,
	// has restarted or has a new address.
	UpdateEndpoints(full bool, entries []membership.Endpoint)
	// RoundTripper returns the RoundTripper of a backend. It returns nil if the backend is not
	// listed or does not accept new requests.
	RoundTripper(server string) RoundTripper
	// CloseExpired closes the connections that have reached their idle timeout.
	CloseExpired(now time.Time)
}

// RoundTripper forwards attempts to one backend, as the backend was listed when the balancer
// selected it.
type RoundTripper interface {
	// RoundTrip executes an attempt. It returns after the attempt has ended completely.
	RoundTrip(*Attempt) AttemptResult
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Status         logic.Status
	InvalidRequest bool      // the backend rejected the request as invalid, as every backend would
	Response       *Response // set for logic.OK and InvalidRequest, and for logic.Error if errors are forwarded
}

// Canceler is an operation of an attempt, such as a read, that another goroutine can cancel.
type Canceler interface {
	// Cancel ends the operation. The caller holds the attempt's lock, so Cancel must not call the
	// attempt's methods.
	Cancel()
}

// Attempt is one forwarding of a request to one backend. The exported methods are safe for
// concurrent use.
type Attempt struct {
	*Request
	Deadline time.Time
	SendBy   time.Time // latest time for sending the first byte; zero means Deadline

	// DeliverBy is the latest time at which the backend may receive the complete request: the end of
	// the dedup window. An upstream that knows at that time that the backend has not received it ends
	// the attempt so that it never does. Zero means no limit.
	DeliverBy time.Time

	server       string
	number       int          // index of the attempt within its request, from 0
	sentAt       int64        // time of the balancer's decision to forward, in microseconds of the pool's clock
	roundTripper RoundTripper // nil if the attempt cannot be sent

	mu       sync.Mutex // guards the fields below
	canceled bool
	canceler Canceler // the operation in progress; may be nil
}

// NewAttempt returns an attempt that belongs to no pool, for tests of upstreams.
func NewAttempt(r *Request, deadline time.Time) *Attempt {
	return &Attempt{Request: r, Deadline: deadline}
}

// Cancel cancels the attempt and the operation registered by SetCanceler, if any.
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

// SetCanceler registers c to be canceled with the attempt and replaces any earlier registration. If
// the attempt has been canceled, SetCanceler registers nothing and returns false.
func (a *Attempt) SetCanceler(c Canceler) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.canceled {
		return false
	}
	a.canceler = c
	return true
}

// ClearCanceler removes the registration made by SetCanceler. It returns false if the attempt has
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

// Context returns a context that is done at the attempt's deadline or when the attempt is canceled,
// and a function that releases the context. The context replaces the registered Canceler.
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
