// Package http1 takes clients' requests over HTTP/1.1 and answers them.
//
// A Front reads and checks a request, forwards it to the pool that its resolver names, and writes
// the pool's answer (handler.go, request.go, response.go). Its connTracker accepts connections and
// knows which of them carry a request (listener.go, tracker.go); each is a clientConn, which reads
// behind net/http's back what a client sends while its request is in flight (conn.go). Drain ends
// the service without losing a request (drain.go).
//
// These rules of docs/design/crossings.md are kept here:
//
//   - A client that leaves has its request canceled, whatever it has sent behind it: see
//     clientConn.watch and Front.forward.
//   - What a client sends while its request is in flight is its next request: see
//     clientConn.pipelined.
//   - A request that has been read is answered before its connection is closed: see
//     clientConn.stopReadingIfQuiet.
//   - During a drain a connection that the kernel has accepted is served: see
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
	maxRequestHead = 16 << 10 // bytes of a request before its body

	// A client that connects is owed a response or a close within 3 s: it has headTimeout to send a
	// head, and firstRequestTimeout from its connecting to the end of its first request's body. A
	// later body has as long as a head.
	headTimeout         = 2200 * time.Millisecond
	firstRequestTimeout = 2800 * time.Millisecond

	idleTimeout = 10 * time.Second // for the next request on a connection
	writeLeeway = 5 * time.Second  // beyond the longest deadline, for the client to take its response
)

// Config is what a Front is made of.
type Config struct {
	Listener   net.Listener
	Resolver   front.Resolver
	IsHealthy  func() bool   // reports whether what is behind the front can serve
	MaxTimeout time.Duration // of any request
	Quota      Quota         // of open connections
	Log        *slog.Logger
}

// Front takes requests from clients and forwards them to the pools that the resolver names.
type Front struct {
	cfg      Config
	server   *http.Server
	conns    *connTracker
	draining atomic.Bool // health checks fail
	noNew    atomic.Bool // clients may be unable to open new connections to this replica
	closing  atomic.Bool // each connection ends with its response
}

// New returns a front that serves from Serve on.
func New(cfg Config) *Front {
	f := &Front{cfg: cfg, conns: newConnTracker(cfg.Listener, cfg.Quota)}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxRequestHead,
		WriteTimeout:      headTimeout + cfg.MaxTimeout + writeLeeway,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: f.conns.onStateChange,
		ErrorLog:  debugLogger(cfg.Log),
	}
	return f
}

// connKey is the context key of the clientConn on which a request came.
type connKey struct{}

// debugLogger sends net/http's remarks on broken clients to the debug level.
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
func (f *Front) Close() { _ = f.server.Close() } // the listener's error is of no use: the front has ended

// CloseIdleConnection closes one connection that carries no request and reports whether there was
// one.
func (f *Front) CloseIdleConnection() bool {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.evict()
}

// Stats counts a front's connections and says how far its drain has come.
type Stats struct {
	Open   int // connections
	Silent int // connections that have never carried a request
	Idle   int // connections between two requests

	Draining         bool // health checks fail
	NoNewConnections bool // clients may be unable to open new connections to this replica
	Closing          bool // each connection ends with its response
}

// Stats returns the present counts.
func (f *Front) Stats() Stats {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return Stats{
		Open: len(f.conns.conns), Silent: f.conns.silent.Len(), Idle: f.conns.idle.Len(),
		Draining: f.draining.Load(), NoNewConnections: f.noNew.Load(), Closing: f.closing.Load(),
	}
}
