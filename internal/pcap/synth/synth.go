// Package synth synthesizes the packets of TCP connections, for captures that are written and for
// captures with known faults in tests and benchmarks.
package synth

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Packet is a packet of a synthetic capture.
type Packet struct {
	Time       time.Time
	Data       []byte
	WireLength int // bytes, before truncation by Part.Truncated
}

// Part is a TCP segment that has not been serialized yet.
type Part struct {
	Direction int // 0 from the client, 1 from the server
	Seq       uint32
	Ack       uint32
	SYN, FIN  bool
	RST       bool
	Data      []byte
	Truncated int  // bytes at the end of the packet that are not captured
	Fragments int  // number of IPv4 fragments; 0 and 1 mean one packet
	Altered   bool // a test has already injected a fault into the part
}

// Conn synthesizes the segments of one connection.
type Conn struct {
	Client, Server netip.AddrPort
	Link           Link
	Parts          []Part

	nextSeq [2]uint32 // by direction
}

// NewConn returns a connection with the given initial sequence numbers of the client and the
// server.
func NewConn(client, server netip.AddrPort, link Link, initialSeq [2]uint32) *Conn {
	return &Conn{Client: client, Server: server, Link: link, nextSeq: initialSeq}
}

// Open adds the three-way handshake.
func (c *Conn) Open() {
	c.add(Part{Direction: 0, SYN: true})
	c.add(Part{Direction: 1, SYN: true})
	c.add(Part{Direction: 0})
}

// Send adds data in segments of at most size bytes.
func (c *Conn) Send(dir int, data []byte, size int) {
	for len(data) > 0 {
		n := min(size, len(data))
		c.add(Part{Direction: dir, Data: data[:n]})
		data = data[n:]
	}
}

// Close adds the FINs of both endpoints.
func (c *Conn) Close() {
	c.add(Part{Direction: 0, FIN: true})
	c.add(Part{Direction: 1, FIN: true})
	c.add(Part{Direction: 0})
}

// Reset adds a RST in a direction.
func (c *Conn) Reset(dir int) { c.add(Part{Direction: dir, RST: true}) }

// add adds a part with the next sequence number of its direction.
func (c *Conn) add(p Part) {
	p.Seq, p.Ack = c.nextSeq[p.Direction], c.nextSeq[1-p.Direction]
	c.nextSeq[p.Direction] += uint32(len(p.Data))
	if p.SYN || p.FIN {
		c.nextSeq[p.Direction]++
	}
	c.Parts = append(c.Parts, p)
}

// RandomBytes returns n random bytes.
func RandomBytes(rnd *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rnd.IntN(256))
	}
	return b
}
