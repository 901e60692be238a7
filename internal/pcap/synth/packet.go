package synth

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// ipLayer is an IPv4 or IPv6 header.
type ipLayer interface {
	gopacket.SerializableLayer
	gopacket.NetworkLayer
}

// serializeOptions enable the computation of lengths and checksums.
var serializeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// Packets returns the packets of a part: one packet, or the number of IPv4 fragments that the part
// requests.
func (c *Conn) Packets(p Part, at time.Time) ([]Packet, error) {
	src, dst := c.Client, c.Server
	if p.Direction == 1 {
		src, dst = dst, src
	}
	tcp := tcpHeader(p, src.Port(), dst.Port())
	ip := ipHeader(src.Addr(), dst.Addr())
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, fmt.Errorf("compute checksum: %w", err)
	}
	if ipv4, ok := ip.(*layers.IPv4); ok && p.Fragments > 1 && len(p.Data) > 8*p.Fragments {
		return c.fragments(ipv4, tcp, p, src.Addr(), at)
	}
	packet, err := c.frame(src.Addr(), at, ip, tcp, gopacket.Payload(p.Data))
	if err != nil {
		return nil, err
	}
	packet.Data = packet.Data[:len(packet.Data)-p.Truncated]
	return []Packet{packet}, nil
}

// tcpHeader returns the TCP header of a part between two ports.
func tcpHeader(p Part, src, dst uint16) *layers.TCP {
	return &layers.TCP{
		SrcPort: layers.TCPPort(src),
		DstPort: layers.TCPPort(dst),
		Seq:     p.Seq,
		Ack:     p.Ack,
		ACK:     !p.SYN || p.Direction == 1,
		SYN:     p.SYN,
		FIN:     p.FIN,
		RST:     p.RST,
		PSH:     len(p.Data) > 0,
		Window:  65535,
	}
}

// ipHeader returns an IPv4 or IPv6 header between two addresses.
func ipHeader(src, dst netip.Addr) ipLayer {
	if src.Is4() {
		return &layers.IPv4{
			Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: src.AsSlice(), DstIP: dst.AsSlice(),
		}
	}
	return &layers.IPv6{
		Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolTCP, SrcIP: src.AsSlice(), DstIP: dst.AsSlice(),
	}
}

// fragments returns the IPv4 fragments of a part.
func (c *Conn) fragments(ip *layers.IPv4, tcp *layers.TCP, p Part, src netip.Addr, at time.Time) ([]Packet, error) {
	buffer := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buffer, serializeOptions, tcp, gopacket.Payload(p.Data)); err != nil {
		return nil, fmt.Errorf("serialize: %w", err)
	}
	datagram := slices.Clone(buffer.Bytes())
	size := (len(datagram)/p.Fragments + 7) / 8 * 8 // fragment offsets are in units of 8 bytes (RFC 791, section 3.1)
	ip.Id = uint16(p.Seq>>3) | 1
	var packets []Packet
	for from := 0; from < len(datagram); from += size {
		end := min(from+size, len(datagram))
		header := *ip
		header.FragOffset = uint16(from / 8)
		if end < len(datagram) {
			header.Flags = layers.IPv4MoreFragments
		}
		packet, err := c.frame(src, at, &header, gopacket.Payload(datagram[from:end]))
		if err != nil {
			return nil, err
		}
		packets = append(packets, packet)
	}
	return packets, nil
}

// frame serializes a packet: the link layer header and the given layers.
func (c *Conn) frame(src netip.Addr, at time.Time, rest ...gopacket.SerializableLayer) (Packet, error) {
	buffer := gopacket.NewSerializeBuffer()
	all := append(c.Link.header(src), rest...)
	if err := gopacket.SerializeLayers(buffer, serializeOptions, all...); err != nil {
		return Packet{}, fmt.Errorf("serialize: %w", err)
	}
	data := slices.Clone(buffer.Bytes())
	return Packet{Time: at, Data: data, WireLength: len(data)}, nil
}
