package standin

import (
	"context"
	"fernlanding/internal/membership"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// served is an HTTP server on a loopback socket.
type served struct {
	listener net.Listener
	server   *http.Server
	done     chan struct{} // closed when it ends
	over     sync.WaitGroup
	traffic  traffic
}

// traffic counts what has gone over all connections of a server.
type traffic struct{ in, out, open atomic.Int64 }

// Traffic is what has gone over all connections of a server, and how many are open.
type Traffic struct{ BytesIn, BytesOut, Open int64 }

// Traffic is what has been read and written so far.
func (s *served) Traffic() Traffic {
	return Traffic{s.traffic.in.Load(), s.traffic.out.Load(), s.traffic.open.Load()}
}

func (s *served) serve(h http.Handler) (err error) {
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.done = make(chan struct{})
	s.server = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	s.over.Go(func() { _ = s.server.Serve(counting{s.listener, &s.traffic}) })
	return nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// counted is a connection that counts what goes over it.
type counted struct {
	net.Conn
	all    *traffic
	wrote  atomic.Int64
	closed sync.Once
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.all.in.Add(int64(n))
	return n, err
}

func (c *counted) Close() error {
	c.closed.Do(func() { c.all.open.Add(-1) })
	return c.Conn.Close()
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wrote.Add(int64(n))
	c.all.out.Add(int64(n))
	return n, err
}

// counting is a listener of counted connections.
type counting struct {
	net.Listener
	all *traffic
}

func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.all.open.Add(1)
	return &counted{Conn: c, all: l.all}, nil
}

// Addr is where it listens.
func (s *served) Addr() string { return s.listener.Addr().String() }

// Close ends it and all that it is asked.
func (s *served) Close() {
	close(s.done)
	_ = s.server.Close()
	s.over.Wait()
}

// Members are backends as a registry lists them.
func Members(all []membership.Endpoint) (out []Member) {
	for _, e := range all {
		status := "SERVING"
		if e.Status == membership.Draining {
			status = "DRAINING"
		}
		out = append(out, Member{Name: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Cell, Weight: e.Weight, SinceMs: e.SinceMs, Status: status})
	}
	return out
}
