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

// dialTimeout bounds the opening of a connection to a list service.
const dialTimeout = time.Second

// Traffic is what has gone over connections to list services. A message is what is written, or read, in one go before the
// direction turns, which is a request or an answer where they alternate.
type Traffic struct {
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
	MessagesIn  int64 `json:"messages_in"`
	MessagesOut int64 `json:"messages_out"`
	Open        int   `json:"open"` // connections
}

// meter counts traffic of many connections.
type meter struct {
	bytesIn, bytesOut, messagesIn, messagesOut, open atomic.Int64
}

func (m *meter) traffic() Traffic {
	return Traffic{
		BytesIn: m.bytesIn.Load(), BytesOut: m.bytesOut.Load(), MessagesIn: m.messagesIn.Load(), MessagesOut: m.messagesOut.Load(),
		Open: int(m.open.Load()),
	}
}

// dialer opens metered connections from one local address.
type dialer struct {
	net.Dialer
	meter *meter
}

func newDialer(from netip.Addr, m *meter) *dialer {
	d := &dialer{meter: m}
	d.KeepAlive, d.Timeout = -1, dialTimeout
	if from.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return d
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	d.meter.open.Add(1)
	return &metered{Conn: c, meter: d.meter}, nil
}

// direction is the one that the last bytes of a connection went.
type direction int32

const (
	none direction = iota
	in
	out
)

// metered is a connection that counts what goes over it.
type metered struct {
	net.Conn
	meter  *meter
	last   atomic.Int32 // direction
	closed sync.Once
}

// turned tells whether bytes that go in a direction begin a message.
func (c *metered) turned(to direction) bool { return direction(c.last.Swap(int32(to))) != to }

// Read implements net.Conn.
func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.bytesIn.Add(int64(n))
		if c.turned(in) {
			c.meter.messagesIn.Add(1)
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *metered) Write(b []byte) (int, error) {
	if c.turned(out) { // before the answer can come
		c.meter.messagesOut.Add(1)
	}
	n, err := c.Conn.Write(b)
	c.meter.bytesOut.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *metered) Close() error {
	c.closed.Do(func() { c.meter.open.Add(-1) })
	return c.Conn.Close()
}
