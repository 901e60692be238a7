// Package synth makes the packets of TCP connections: for captures that are written, and for those with known faults
// that tests and benchmarks read.
package synth

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Link is how packets are framed.
type Link int

// The framings.
const (
	Ethernet Link = iota
	VLAN
	QinQ
	SLL
	SLL2
	Loopback
	RawIP
	LinkCount // how many there are
)

// Type is the link type that a file gives for the framing.
func (l Link) Type() layers.LinkType {
	return [...]layers.LinkType{
		layers.LinkTypeEthernet, layers.LinkTypeEthernet, layers.LinkTypeEthernet, layers.LinkTypeLinuxSLL,
		layers.LinkTypeLinuxSLL2, layers.LinkTypeNull, layers.LinkTypeRaw,
	}[l]
}

// Packet is a packet of a made capture.
type Packet struct {
	Time       time.Time
	Data       []byte
	WireLength int // its length on the wire
}

// Part is a segment before it is framed.
type Part struct {
	Direction int // 0 from the client
	Seq       uint32
	Ack       uint32
	SYN, FIN  bool
	RST       bool
	Data      []byte
	Truncated int  // bytes at its end that the capture lacks
	Fragments int  // fragments that it comes in
	Altered   bool // something has been done to it already
}

// Conn makes the segments of one connection.
type Conn struct {
	Client, Server netip.AddrPort
	Link           Link
	Parts          []Part
	next           [2]uint32
}

// NewConn returns a connection that begins at the given sequence numbers.
func NewConn(client, server netip.AddrPort, link Link, isn [2]uint32) *Conn {
	return &Conn{Client: client, Server: server, Link: link, next: isn}
}

// Open adds the handshake.
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

// Close adds the FINs of both sides.
func (c *Conn) Close() {
	c.add(Part{Direction: 0, FIN: true})
	c.add(Part{Direction: 1, FIN: true})
	c.add(Part{Direction: 0})
}

// Reset adds an RST.
func (c *Conn) Reset(dir int) { c.add(Part{Direction: dir, RST: true}) }

func (c *Conn) add(p Part) {
	p.Seq, p.Ack = c.next[p.Direction], c.next[1-p.Direction]
	c.next[p.Direction] += uint32(len(p.Data))
	if p.SYN || p.FIN {
		c.next[p.Direction]++
	}
	c.Parts = append(c.Parts, p)
}

// Packets frames a part, in one packet or in the fragments that it asks for.
func (c *Conn) Packets(p Part, at time.Time) ([]Packet, error) {
	src, dst := c.Client, c.Server
	if p.Direction == 1 {
		src, dst = dst, src
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(src.Port()), DstPort: layers.TCPPort(dst.Port()), Seq: p.Seq, Ack: p.Ack,
		ACK: !p.SYN || p.Direction == 1, SYN: p.SYN, FIN: p.FIN, RST: p.RST, PSH: len(p.Data) > 0, Window: 65535,
	}
	var ip gopacket.SerializableLayer
	if src.Addr().Is4() {
		v4 := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: src.Addr().AsSlice(), DstIP: dst.Addr().AsSlice()}
		if err := tcp.SetNetworkLayerForChecksum(v4); err != nil {
			return nil, fmt.Errorf("checksum: %w", err)
		}
		ip = v4
	} else {
		v6 := &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolTCP, SrcIP: src.Addr().AsSlice(), DstIP: dst.Addr().AsSlice()}
		if err := tcp.SetNetworkLayerForChecksum(v6); err != nil {
			return nil, fmt.Errorf("checksum: %w", err)
		}
		ip = v6
	}
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if v4, ok := ip.(*layers.IPv4); ok && p.Fragments > 1 && len(p.Data) > 8*p.Fragments {
		return c.fragments(v4, tcp, p, at, opts)
	}
	one, err := c.frame(at, opts, src.Addr().Is4(), ip, tcp, gopacket.Payload(p.Data))
	if err != nil {
		return nil, err
	}
	one.Data = one.Data[:len(one.Data)-p.Truncated]
	return []Packet{one}, nil
}

// fragments frames a part in fragments.
func (c *Conn) fragments(ip *layers.IPv4, tcp *layers.TCP, p Part, at time.Time, opts gopacket.SerializeOptions) ([]Packet, error) {
	buf := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buf, opts, tcp, gopacket.Payload(p.Data)); err != nil {
		return nil, fmt.Errorf("serialize: %w", err)
	}
	data, size := slices.Clone(buf.Bytes()), (len(buf.Bytes())/p.Fragments+7)/8*8
	ip.Id = uint16(p.Seq>>3) | 1
	var out []Packet
	for from := 0; from < len(data); from += size {
		part := *ip
		part.FragOffset = uint16(from / 8)
		end := min(from+size, len(data))
		if end < len(data) {
			part.Flags = layers.IPv4MoreFragments
		}
		one, err := c.frame(at, opts, true, &part, gopacket.Payload(data[from:end]))
		if err != nil {
			return nil, err
		}
		out = append(out, one)
	}
	return out, nil
}

// frame puts the link's header before a packet.
func (c *Conn) frame(at time.Time, opts gopacket.SerializeOptions, v4 bool, rest ...gopacket.SerializableLayer) (Packet, error) {
	kind, family := layers.EthernetTypeIPv4, layers.ProtocolFamilyIPv4
	if !v4 {
		kind, family = layers.EthernetTypeIPv6, layers.ProtocolFamilyIPv6Linux
	}
	eth := &layers.Ethernet{SrcMAC: []byte{2, 0, 0, 0, 0, 1}, DstMAC: []byte{2, 0, 0, 0, 0, 2}, EthernetType: kind}
	tag := &layers.Dot1Q{VLANIdentifier: 7, Type: kind}
	var head []gopacket.SerializableLayer
	switch c.Link {
	case Ethernet:
		head = append(head, eth)
	case VLAN:
		eth.EthernetType = layers.EthernetTypeDot1Q
		head = append(head, eth, tag)
	case QinQ:
		eth.EthernetType = layers.EthernetTypeQinQ
		head = append(head, eth, &layers.Dot1Q{VLANIdentifier: 8, Type: layers.EthernetTypeDot1Q}, tag)
	case SLL: // packet type, hardware type, address length, address, protocol
		head = append(head, gopacket.Payload{0, 0, 0, 1, 0, 6, 2, 0, 0, 0, 0, 1, 0, 0, byte(kind >> 8), byte(kind)})
	case SLL2: // protocol, reserved, interface, hardware type, packet type, address length, address
		head = append(head, gopacket.Payload{byte(kind >> 8), byte(kind), 0, 0, 0, 0, 0, 1, 0, 1, 0, 6, 2, 0, 0, 0, 0, 1, 0, 0})
	case Loopback:
		head = append(head, gopacket.Payload{byte(family), 0, 0, 0})
	}
	buf := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buf, opts, append(head, rest...)...); err != nil {
		return Packet{}, fmt.Errorf("serialize: %w", err)
	}
	data := slices.Clone(buf.Bytes())
	return Packet{Time: at, Data: data, WireLength: len(data)}, nil
}

// RandomBytes are n bytes that hold nothing that could be taken for a message's frame.
func RandomBytes(rnd *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rnd.IntN(256))
	}
	return b
}
