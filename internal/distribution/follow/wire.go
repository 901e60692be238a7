package follow

import (
	"context"
	"net"
	"sync/atomic"
)

// wireCounter counts the bytes on a follower's connections.
type wireCounter struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	in, out atomic.Int64
}

func (w *wireCounter) connect(ctx context.Context, network, address string) (net.Conn, error) {
	dial := w.dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, w}, nil
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter *wireCounter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(int64(n))
	return n, err
}
