package httpapi

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	headTimeout    = 5 * time.Second
	maxHeadBytes   = 8 << 10
	serverIdleTime = 2 * time.Minute
)

// Traffic counts the bytes of connections.
type Traffic struct{ In, Out atomic.Int64 }

// NewServer returns a server of a source or relay.
func NewServer(service Service) *http.Server {
	return &http.Server{
		Handler: Handler(service), ReadHeaderTimeout: headTimeout, IdleTimeout: serverIdleTime, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// Listener counts the bytes of its connections and takes so many at a time; a further one is closed at once.
func Listener(inner net.Listener, most int, traffic *Traffic) net.Listener {
	return &listener{Listener: inner, most: int64(most), traffic: traffic}
}

type listener struct {
	net.Listener
	most    int64
	open    atomic.Int64
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	listener *listener
	closed   atomic.Bool
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.traffic.In.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.traffic.Out.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}
