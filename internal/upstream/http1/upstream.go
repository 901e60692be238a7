// Package http1 carries attempts to backends over HTTP/1.1 and keeps their connections for reuse.
//
// An Upstream holds the endpoints of one pool (endpoint.go) and the connections to them
// (connpool.go, dial.go). Each attempt is one RoundTrip (roundtrip.go): the request is written
// (request.go), and the response is read and turned into the attempt's outcome (response.go,
// body.go, head.go).
//
// These rules of docs/design/crossings.md are kept here:
//
//   - A RoundTrip sends its request at most once. It never retries by itself: whether another
//     attempt is allowed is decided in package logic, which has to know of each of them.
//   - Nothing is sent once the client has left: RoundTrip looks after the dial, and conn.Cancel
//     ends a write or read that is under way.
//   - Nothing begins at an endpoint that has drained, restarted, moved or gone once UpdateEndpoints
//     has returned: see roundTripper.beginWrite.
//   - A connection is reused only ReuseDelay after its last response, and only if nothing follows
//     that response: see Upstream.takeIdle.
//   - Non-idempotent requests avoid kept connections for a while after one broke under a request:
//     see Upstream.requiresNewConn.
package http1

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// UntrustedReuseDelay is the reuse delay where backends may be faulty. A second response or
	// noise may follow a response. It came within 2 ms where it was seen; a connection that is used
	// again sooner could take it for the next request's response.
	UntrustedReuseDelay = 20 * time.Millisecond

	// newConnWindow is how long non-idempotent requests get new connections after a kept one broke.
	// One such request is lost in that time at most, for a handshake each.
	newConnWindow = 30 * time.Second
)

// Quota is this upstream's part of the process's file descriptors.
type Quota interface {
	// Acquire takes a descriptor and reports whether there was room, or others could make some. It
	// may close kept connections of other upstreams, and is called with no lock held.
	Acquire() bool
	// Release gives a descriptor back.
	Release()
	// Overdrawn reports whether kept connections are to be closed.
	Overdrawn() bool
}

// Memory is this upstream's part of the process's memory for bodies.
type Memory interface {
	// Reserve waits for n bytes until the context ends.
	Reserve(ctx context.Context, n int64) error
	// Release gives n bytes back.
	Release(n int64)
}

// Config is what an Upstream is made of.
type Config struct {
	DialTimeout      time.Duration // a connection that is not established by then has failed
	IdleClose        time.Duration // a backend closes a connection that has been idle this long
	ReuseDelay       time.Duration // between a response and the next request on its connection; see UntrustedReuseDelay
	Quota            Quota
	Memory           Memory
	MaxResponse      int64 // bytes of a response's body; a longer one is an error
	UncountedBody    int64 // bytes of a body that is not counted in Memory
	HoldUntilRelease bool  // memory is given back by the response's Release, not once the body has been read

	// IsNonIdempotent reports whether a request of a class may not be sent again once it may have
	// run; nil: none.
	IsNonIdempotent func(class int) bool

	// PassAllStatuses has responses of every status forwarded with their header. Otherwise only
	// those with status 200 are, with their Content-Type.
	PassAllStatuses bool

	// LimitDials has connections to a backend that has not proven itself opened a few at a time:
	// see start.DialLimiter.
	LimitDials bool
}

// Upstream holds the connections to all endpoints of a pool. It stands in for http.Transport, which
// by itself retries a GET or a request with an idempotency key when a kept connection turns out to
// be dead: an attempt that the decision module would not know of. It may be used by many
// goroutines.
type Upstream struct {
	cfg           Config
	dialer        func(ctx context.Context, network, addr string) (net.Conn, error)
	newConnWindow time.Duration // see requiresNewConn
	maxIdle       time.Duration // connections idle for longer are closed, well before the backend does it

	mu        sync.Mutex
	endpoints map[string]*endpoint // by name
	open      int                  // connections, idle or in use
	lastBreak time.Time            // when a kept connection last broke under a request; zero if none has
}

// New returns an Upstream with no endpoints.
func New(cfg Config) *Upstream {
	dialer := net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1}
	return &Upstream{
		cfg:           cfg,
		dialer:        dialer.DialContext,
		maxIdle:       cfg.IdleClose * 3 / 4,
		newConnWindow: newConnWindow,
		endpoints:     map[string]*endpoint{},
	}
}

// Stats counts the listed backends and the connections to them.
type Stats struct {
	Backends, Open, Idle int
	Unreachable          int // backends to which the last dial failed
}

// Stats returns the present counts.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := Stats{Backends: len(u.endpoints), Open: u.open}
	for _, e := range u.endpoints {
		stats.Idle += len(e.idle)
		if e.unreachable {
			stats.Unreachable++
		}
	}
	return stats
}
