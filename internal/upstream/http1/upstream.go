// Package http1 carries attempts to backends over HTTP/1.1 and reuses idle connections to them.
//
// An Upstream holds the endpoints of one pool (endpoint.go) and the connections to them
// (connpool.go, dial.go). RoundTrip carries out one attempt (roundtrip.go): it writes the request
// (request.go), reads the response (head.go, body.go) and derives the result of the attempt
// (response.go).
//
// The package keeps these rules of docs/design/crossings.md:
//
//   - RoundTrip sends its request at most once and never retries it. Package logic decides whether
//     another attempt is allowed, because it has to know of every attempt.
//   - RoundTrip sends nothing after the client has disconnected: it checks the attempt after the
//     dial, and conn.Cancel ends a write or read in progress.
//   - Once UpdateEndpoints has returned, no request begins at an endpoint that is draining, was
//     removed, has restarted or has moved: see roundTripper.beginWrite.
//   - A connection is reused only after ReuseDelay has passed since its last response, and only if
//     no bytes followed that response: see Upstream.takeIdle.
//   - A connection with an open request ends by a reset, so that what has not been delivered never
//     is: see Upstream.closeLocked.
//   - A response is served only if nothing contradicts its end: see conn.surplus and readToEnd.
//   - Non-idempotent requests avoid idle connections for a while after a reused connection failed
//     under a request: see Upstream.requiresNewConn.
package http1

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// UntrustedReuseDelay is the ReuseDelay for backends that may be faulty. A faulty backend may
	// send a second response or noise after a response. Such bytes have been seen to arrive within
	// 2 ms. If a connection is reused before they arrive, they may be taken for the response to its
	// next request.
	UntrustedReuseDelay = 20 * time.Millisecond

	// newConnWindow is how long non-idempotent requests use new connections after a reused
	// connection failed. At most one such request is lost in that time, at the cost of one
	// handshake per request.
	newConnWindow = 30 * time.Second
)

// DescriptorQuota is the share of the process's file descriptors that an upstream may use.
type DescriptorQuota interface {
	// Acquire takes a descriptor and reports whether one was available or could be made available.
	// Acquire may close idle connections of other upstreams, so it is called with no lock held.
	Acquire() bool
	// Release gives a descriptor back.
	Release()
	// OverFairShare reports whether the upstream has to close idle connections.
	OverFairShare() bool
}

// Memory is the share of the process's memory for bodies that an upstream may use.
type Memory interface {
	// Reserve waits until n bytes are available, or returns an error when the context ends.
	Reserve(ctx context.Context, n int64) error
	// Release gives n bytes back.
	Release(n int64)
}

// Config is the configuration of an Upstream.
type Config struct {
	DialTimeout        time.Duration // limit for establishing a connection
	BackendIdleTimeout time.Duration // idle time after which a backend closes a connection
	ReuseDelay         time.Duration // minimum time from a response to the next request; see UntrustedReuseDelay
	Quota              DescriptorQuota
	Memory             Memory
	MaxResponse        int64 // limit of a response body in bytes; a longer body is an error
	MaxUncountedBody   int64 // limit in bytes up to which a body is not counted in Memory

	// IsNonIdempotent reports whether a request of a class must not be sent again once it may have
	// run. A nil function means that no class is non-idempotent.
	IsNonIdempotent func(class int) bool

	// PassAllStatuses forwards responses of every status with their header. Without it, only
	// responses with status 200 are forwarded, with their Content-Type.
	PassAllStatuses bool

	// LimitDials limits concurrent dials to a backend to a few until connections to the backend
	// have been established: see start.DialLimiter.
	LimitDials bool
}

// Upstream holds the connections to all endpoints of a pool. It replaces http.Transport, which by
// itself retries a GET or a request with an idempotency key when a reused connection turns out to
// be dead. The decision module would not know of that attempt. An Upstream is safe for concurrent
// use.
type Upstream struct {
	cfg           Config
	dialer        func(ctx context.Context, network, addr string) (net.Conn, error)
	newConnWindow time.Duration // see requiresNewConn
	maxIdle       time.Duration // limit of idle time, well below BackendIdleTimeout

	mu               sync.Mutex
	endpoints        map[string]*endpoint // by name
	openConns        int                  // connections that are idle or in use
	lastReuseFailure time.Time            // when a reused connection last failed under a request; zero if none has
}

// New returns an Upstream with no endpoints.
func New(cfg Config) *Upstream {
	dialer := net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1}
	return &Upstream{
		cfg:           cfg,
		dialer:        dialer.DialContext,
		maxIdle:       cfg.BackendIdleTimeout * 3 / 4,
		newConnWindow: newConnWindow,
		endpoints:     map[string]*endpoint{},
	}
}

// Stats holds the numbers of listed backends and of connections to them.
type Stats struct {
	Backends, Open, Idle int
	Unreachable          int // backends whose last dial failed
}

// Stats returns the current numbers.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := Stats{Backends: len(u.endpoints), Open: u.openConns}
	for _, e := range u.endpoints {
		stats.Idle += len(e.idle)
		if e.unreachable {
			stats.Unreachable++
		}
	}
	return stats
}
