package httpapi

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes received and sent on connections. It is safe for concurrent use.
type Traffic struct{ In, Out atomic.Int64 }

// Dial returns a DialFunc that opens connections with dial and counts their bytes. A nil dial means
// the default dialer of [NewClient].
func (t *Traffic) Dial(dial DialFunc) DialFunc {
	if dial == nil {
		dial = defaultDial()
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.count(conn), nil
	}
}

// count returns a connection that counts the bytes of conn.
func (t *Traffic) count(conn net.Conn) net.Conn { return &countedConn{Conn: conn, traffic: t} }

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}
