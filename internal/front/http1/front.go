// Package http1 accepts clients' requests over HTTP/1.1 and responds to them.
//
// A Front reads and checks a request, forwards it to the pool that its resolver selects, and writes
// the pool's answer (handler.go, request.go, response.go). Its connTracker accepts connections and
// tracks which of them carry a request (listener.go, tracker.go). Each connection is a clientConn,
// which reads what a client sends while its request is in flight and hides these reads from
// net/http (conn.go). Drain ends the service without losing a request (drain.go).
//
// The package keeps these rules of docs/design/crossings.md:
//
//   - The request of a client that disconnects is canceled, even if the client has sent more bytes
//     after the request: see clientConn.watchForDisconnect and Front.forwardOnce.
//   - What a client sends while its request is in flight is its next request: see
//     clientConn.pipelined.
//   - A request that has been read is answered before its connection is closed: see
//     clientConn.stopReadingIfIdle.
//   - During a drain, a connection that the kernel has accepted is served: see
//     connTracker.acceptPending.
package http1

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fernlanding/internal/front"
)

const (
	maxRequestHead = 16 << 10 // bytes of a request head

	// A client that connects must get a response or a close within 3 s. It has headTimeout to send
	// a head, and firstRequestTimeout from the time it connects to the end of the body of its first
	// request. The body of a later request has headTimeout.
	headTimeout         = 2200 * time.Millisecond
	firstRequestTimeout = 2800 * time.Millisecond

	idleTimeout = 10 * time.Second // limit of the wait for the next request on a connection
	writeMargin = 5 * time.Second  // added to the longest timeout, for the client to read its response
)

// Config is the configuration of a Front.
type Config struct {
	Listener   net.Listener
	Resolver   front.Resolver
	IsHealthy  func() bool     // reports whether the services behind the front can serve requests
	MaxTimeout time.Duration   // longest timeout of a request
	Quota      DescriptorQuota // limit of open connections
	Log        *slog.Logger
}

// Front accepts requests from clients and forwards them to the pools that the resolver selects.
type Front struct {
	cfg        Config
	server     *http.Server
	conns      *connTracker
	draining   atomic.Bool // health checks fail
	noNewConns atomic.Bool // clients may be unable to open new connections to this replica
	closing    atomic.Bool // each connection closes after its response
}

// New returns a Front, which accepts connections once Serve is called.
func New(cfg Config) *Front {
	f := &Front{cfg: cfg, conns: newConnTracker(cfg.Listener, cfg.Quota)}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxRequestHead,
		WriteTimeout:      headTimeout + cfg.MaxTimeout + writeMargin,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: f.conns.onStateChange,
		ErrorLog:  debugLogger(cfg.Log),
	}
	return f
}

// connKey is the context key of the clientConn that carries a request.
type connKey struct{}

// debugLogger returns a logger that logs net/http's messages about failing clients at the debug
// level.
func debugLogger(l *slog.Logger) *log.Logger { return slog.NewLogLogger(l.Handler(), slog.LevelDebug) }

// Addr returns the address that clients connect to.
func (f *Front) Addr() string { return f.conns.Addr().String() }

// Serve accepts connections until the listener is closed.
func (f *Front) Serve() error {
	err := f.server.Serve(f.conns)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve: %w", err)
}

// Close ends the front at once.
func (f *Front) Close() { _ = f.server.Close() } // the error is of no use: the listener is no longer needed

// CloseIdleConnection closes one connection that carries no request and reports whether there was
// one.
func (f *Front) CloseIdleConnection() bool {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.evict()
}

// Stats holds the connection counts of a front and the state of its drain.
type Stats struct {
	Open   int // open connections
	Silent int // connections that have never carried a request
	Idle   int // connections between two requests

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
		Draining: f.draining.Load(), NoNewConnections: f.noNewConns.Load(), Closing: f.closing.Load(),
	}
}
