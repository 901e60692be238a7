package core

import (
	"context"
	"sync"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/logic"
)

// Upstream reaches the backends of one pool over one protocol.
type Upstream interface {
	// Apply takes a list or its changes. Once it returns, no Way opened before begins anything new at a backend
	// that drains, is gone, has restarted or moved.
	Apply(full bool, entries []membership.Endpoint)
	// Open returns the way to a listed backend that takes new requests; nil if it is none.
	Open(server string) Way
	// Sweep ends kept connections whose time is up.
	Sweep(now time.Time)
}

// Way is how a backend was reached when the module chose it.
type Way interface {
	// Carry carries an attempt out and returns when nothing of it is left.
	Carry(*Attempt) Result
}

// Result is how an attempt ended.
type Result struct {
	Status logic.Status
	Fault  bool   // the backend says that the request makes no sense, whoever gets it
	Reply  *Reply // with logic.OK and Fault; with logic.Error where replies of all kinds go on
}

// Breaker is something that an attempt waits on and that can be broken off from another goroutine.
type Breaker interface{ Break() }

// Attempt is one Send of the module on its way.
type Attempt struct {
	*Request
	Deadline time.Time
	Begin    time.Time // its first byte leaves by then, or it is not sent; zero: by the deadline
	server   string
	number   int
	sent     int64 // when the module decided
	way      Way   // nil: it can't be carried out

	mu      sync.Mutex
	stopped bool
	hook    Breaker
}

// NewAttempt returns an attempt that no pool knows of, for the tests of an upstream.
func NewAttempt(r *Request, deadline time.Time) *Attempt {
	return &Attempt{Request: r, Deadline: deadline}
}

// Stop breaks the attempt off.
func (a *Attempt) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped = true; a.hook != nil {
		a.hook.Break()
	}
}

// Stopped tells whether the attempt has been broken off.
func (a *Attempt) Stopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopped
}

// Late tells whether the attempt's time is up.
func (a *Attempt) Late() bool { return !time.Now().Before(a.Deadline) }

// Hook has b broken when the attempt is; it is false, and b is not held, if that has happened. At most one is held.
func (a *Attempt) Hook(b Breaker) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopped {
		a.hook = b
	}
	return !a.stopped
}

// Unhook lets go of what Hook holds; it is false if that has been broken.
func (a *Attempt) Unhook() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hook = nil
	return !a.stopped
}

type cancelled context.CancelFunc

// Break implements Breaker.
func (c cancelled) Break() { c() }

// Context returns a context that ends with the attempt's time or when it is stopped, and what lets go of it.
// It takes the place of what is hooked.
func (a *Attempt) Context() (context.Context, func()) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	if !a.Hook(cancelled(cancel)) {
		cancel()
	}
	return ctx, func() { a.Unhook(); cancel() }
}
