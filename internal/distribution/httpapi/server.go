package httpapi

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Limits of the connections of a server.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 8 << 10
	serverIdleTimeout = 2 * time.Minute
)

// NewServer returns an HTTP server for a source or relay. The server logs nothing.
func NewServer(service Service) *http.Server {
	return &http.Server{
		Handler:           Handler(service),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// Listener returns a listener that counts the bytes of its connections. The listener keeps up to
// maxConns connections open at a time and closes further connections at once.
func Listener(inner net.Listener, maxConns int, traffic *Traffic) net.Listener {
	return &limitedListener{Listener: inner, maxConns: int64(maxConns), traffic: traffic}
}

// limitedListener limits the number of open connections.
type limitedListener struct {
	net.Listener
	maxConns int64
	open     atomic.Int64
	traffic  *Traffic
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxConns {
			return &limitedConn{Conn: l.traffic.count(conn), listener: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close() // no data is lost: nothing has been read or written
	}
}

// limitedConn is a connection that its listener counts as open until the connection is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	closed   atomic.Bool
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}
