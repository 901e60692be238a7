package hollow

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout is the timeout of establishing a connection to a list service.
const dialTimeout = time.Second

// Traffic counts the traffic on connections to list services. A message is all data sent in one
// direction before the direction changes. If requests and responses alternate, each of them is one
// message.
type Traffic struct {
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
	MessagesIn  int64 `json:"messages_in"`
	MessagesOut int64 `json:"messages_out"`
	OpenConns   int   `json:"open"`
}

// meter counts the traffic of many connections. It is safe for concurrent use.
type meter struct {
	bytesIn     atomic.Int64
	bytesOut    atomic.Int64
	messagesIn  atomic.Int64
	messagesOut atomic.Int64
	open        atomic.Int64 // open connections
}

func (m *meter) traffic() Traffic {
	return Traffic{
		BytesIn:     m.bytesIn.Load(),
		BytesOut:    m.bytesOut.Load(),
		MessagesIn:  m.messagesIn.Load(),
		MessagesOut: m.messagesOut.Load(),
		OpenConns:   int(m.open.Load()),
	}
}

// dialer opens metered connections from a fixed local address.
type dialer struct {
	net.Dialer
	meter *meter
}

func newDialer(from netip.Addr, m *meter) *dialer {
	d := &dialer{meter: m}
	d.KeepAlive = -1 // disables keep-alive probes
	d.Timeout = dialTimeout
	if from.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return d
}

// dial opens a metered connection.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	d.meter.open.Add(1)
	return &meteredConn{Conn: c, meter: d.meter}, nil
}

// direction is the direction of the most recent data on a connection.
type direction int32

const (
	noDirection direction = iota
	inbound
	outbound
)

// meteredConn is a connection that counts its traffic.
type meteredConn struct {
	net.Conn
	meter  *meter
	last   atomic.Int32 // a direction
	closed sync.Once
}

// startsMessage records the direction of data and reports whether the data starts a message.
func (c *meteredConn) startsMessage(to direction) bool {
	return direction(c.last.Swap(int32(to))) != to
}

// Read implements [net.Conn].
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.bytesIn.Add(int64(n))
		if c.startsMessage(inbound) {
			c.meter.messagesIn.Add(1)
		}
	}
	return n, err
}

// Write implements [net.Conn].
func (c *meteredConn) Write(b []byte) (int, error) {
	if c.startsMessage(outbound) { // before Write, because the response may arrive before Write returns
		c.meter.messagesOut.Add(1)
	}
	n, err := c.Conn.Write(b)
	c.meter.bytesOut.Add(int64(n))
	return n, err
}

// Close implements [net.Conn].
func (c *meteredConn) Close() error {
	c.closed.Do(func() { c.meter.open.Add(-1) })
	return c.Conn.Close()
}
