// Package http1 accepts clients' requests over HTTP/1.1 and responds to them.
//
// A Front accepts connections (listener.go) and serves each on a goroutine of its own (serve.go):
// it reads a head (conn.go, headscanner.go), parses it (head.go), reads the body (body.go), forwards
// the request to the pool that its resolver selects (handler.go), and writes the pool's answer
// (response.go). Requests that are not forwarded are rejected (reject.go). The connTracker tracks
// which connections carry a request (tracker.go). While a request is in flight, a disconnectWatch
// reads what its client sends (watch.go). Drain ends the service without losing a request
// (drain.go). What clients can cost is bounded by memory (body.go) and by pace (pace.go).
//
// The package keeps these rules of docs/design/crossings.md:
//
//   - The request of a client that disconnects is canceled, even if the client has sent more bytes
//     after the request: see clientConn.watchForDisconnect.
//   - What a client sends while its request is in flight is its next request: see
//     clientConn.received.
//   - A request whose head has been read is answered before its connection is closed: see
//     clientConn.stopReadingIfIdle.
//   - During a drain, a connection that the kernel has accepted is served: see
//     connTracker.acceptPending.
//   - What a client costs before its request is known to be valid is bounded: see headScanner and
//     front.RequestMemory.
package http1

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"fernlanding/internal/front"
)

const (
	// A client that connects must get a response or a close within 3 s. It has headTimeout to send
	// a head, and firstRequestTimeout from the time it connects to the end of the body of its first
	// request. The body of a later request has headTimeout.
	headTimeout         = 2200 * time.Millisecond
	firstRequestTimeout = 2800 * time.Millisecond

	idleTimeout  = 10 * time.Second // limit of the wait for the next request on a connection
	writeTimeout = 5 * time.Second  // limit of the write of a response, for a client that does not read

	acceptBackoff = 5 * time.Millisecond // wait after a failed accept, for example without a descriptor
)

// Config is the configuration of a Front.
type Config struct {
	Listener  net.Listener
	Resolver  front.Resolver
	IsHealthy func() bool          // reports whether the services behind the front can serve requests
	Quota     DescriptorQuota      // limit of open connections
	Memory    *front.RequestMemory // limit of the memory of requests
	Log       *slog.Logger
}

// Front accepts requests from clients and forwards them to the pools that the resolver selects.
type Front struct {
	cfg        Config
	conns      *connTracker
	rejections *rejectionPacer
	accepts    acceptPacer // used by Serve only
	draining   atomic.Bool // health checks fail
	noNewConns atomic.Bool // clients may be unable to open new connections to this replica
	closing    atomic.Bool // each connection closes after its response
}

// New returns a Front, which accepts connections once Serve is called.
func New(cfg Config) *Front {
	cores := runtime.GOMAXPROCS(0)
	return &Front{
		cfg: cfg, conns: newConnTracker(cfg.Listener, cfg.Quota, cfg.Memory),
		rejections: newRejectionPacer(cores), accepts: acceptPacer{batch: acceptBatch * cores},
	}
}

// Addr returns the address that clients connect to.
func (f *Front) Addr() string { return f.conns.listener.Addr().String() }

// Serve accepts connections until the listener is closed.
func (f *Front) Serve() error {
	for {
		c, err := f.conns.accept()
		switch {
		case err == nil:
			go f.serveConn(c)
			time.Sleep(f.accepts.delay(time.Now()))
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporaryAcceptError(err):
			time.Sleep(acceptBackoff)
		default:
			return fmt.Errorf("serve: %w", err)
		}
	}
}

// isTemporaryAcceptError reports whether a later accept may succeed.
func isTemporaryAcceptError(err error) bool {
	for _, temporary := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// Close ends the front at once.
func (f *Front) Close() { f.conns.close() }

// CloseIdleConnection closes one connection that carries no request and reports whether there was
// one.
func (f *Front) CloseIdleConnection() bool {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.evict()
}

// Stats holds the connection counts of a front and the state of its drain.
type Stats struct {
	Open     int // open connections
	Silent   int // connections that have never carried a request
	Idle     int // connections between two requests
	Rejected int // connections whose request was invalid, and which are about to close

	Draining         bool // health checks fail
	NoNewConnections bool // clients may be unable to open new connections to this replica
	Closing          bool // each connection closes after its response
}

// Stats returns the current counts and state.
func (f *Front) Stats() Stats {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return Stats{
		Open: len(f.conns.conns), Silent: f.conns.silent.Len(), Idle: f.conns.idle.Len(),
		Rejected: f.conns.rejected.Len(),
		Draining: f.draining.Load(), NoNewConnections: f.noNewConns.Load(), Closing: f.closing.Load(),
	}
}
