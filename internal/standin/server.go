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

// served is an HTTP server on a loopback socket.
type served struct {
	listener net.Listener
	server   *http.Server
	done     chan struct{} // closed when it ends
	over     sync.WaitGroup
}

func (s *served) serve(h http.Handler) (err error) {
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.done = make(chan struct{})
	s.server = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	s.over.Go(func() { _ = s.server.Serve(counting{s.listener}) })
	return nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// counted is a connection that counts what has been written to it.
type counted struct {
	net.Conn
	wrote atomic.Int64
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wrote.Add(int64(n))
	return n, err
}

// counting is a listener of counted connections.
type counting struct{ net.Listener }

func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{Conn: c}, nil
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
