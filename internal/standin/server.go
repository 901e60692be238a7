package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fernlanding/internal/membership"
)

// server is an HTTP server on a loopback socket that counts its traffic.
type server struct {
	listener   net.Listener
	httpServer *http.Server
	done       chan struct{} // closed when the server is closed
	serving    sync.WaitGroup
	traffic    traffic
}

// traffic counts the bytes read and written on all connections of a server, and the open
// connections.
type traffic struct{ in, out, open atomic.Int64 }

// Traffic is the bytes read and written on all connections of a server, and the number of open
// connections.
type Traffic struct{ BytesIn, BytesOut, OpenConns int64 }

// Traffic returns the traffic of the server so far.
func (s *server) Traffic() Traffic {
	return Traffic{BytesIn: s.traffic.in.Load(), BytesOut: s.traffic.out.Load(), OpenConns: s.traffic.open.Load()}
}

// serve starts the server on a free loopback port.
func (s *server) serve(h http.Handler) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener = listener
	s.done = make(chan struct{})
	s.httpServer = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.serving.Go(func() {
		_ = s.httpServer.Serve(countingListener{listener, &s.traffic}) // returns after Close
	})
	return nil
}

// Addr returns the address that the server listens on.
func (s *server) Addr() string { return s.listener.Addr().String() }

// Close stops the server, closes its connections and waits for its goroutine.
func (s *server) Close() {
	close(s.done)
	_ = s.httpServer.Close() // the listener's error is of no use
	s.serving.Wait()
}

// connKey is the context key of the countingConn on which a request was received.
type connKey struct{}

// countingConn is a connection that counts its traffic.
type countingConn struct {
	net.Conn
	total        *traffic     // traffic of all connections of the server
	bytesWritten atomic.Int64 // bytes written on this connection
	closed       sync.Once
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	c.total.out.Add(int64(n))
	return n, err
}

// Close implements net.Conn. Only the first call counts the connection as closed.
func (c *countingConn) Close() error {
	c.closed.Do(func() { c.total.open.Add(-1) })
	return c.Conn.Close()
}

// countingListener is a listener of countingConns.
type countingListener struct {
	net.Listener
	total *traffic // traffic of all connections of the server
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.total.open.Add(1)
	return &countingConn{Conn: c, total: l.total}, nil
}

// Members converts endpoints to members of a Discovery.
func Members(endpoints []membership.Endpoint) []Member {
	var members []Member
	for _, e := range endpoints {
		status := statusServing
		if e.Status == membership.Draining {
			status = statusDraining
		}
		members = append(members, Member{
			Name: e.Name, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, StartedMs: e.StartedMs,
			Status: status,
		})
	}
	return members
}
