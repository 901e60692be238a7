// Package packet decodes the TCP segment of a captured packet. It supports Ethernet with VLAN tags
// (also stacked), Linux cooked captures of both versions, loopback and raw IP, and IPv4 and IPv6
// with extension headers and fragments.
package packet

import (
	"fmt"
	"net/netip"

	"fernlanding/internal/pcap/capture"
	"fernlanding/internal/pcap/flow"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Kind is the kind of a decoded packet.
type Kind int

// The kinds of packet.
const (
	Segment   Kind = iota // TCP segment
	Other                 // packet of another protocol
	Fragment              // fragment of an IP datagram that is still incomplete
	Malformed             // packet that cannot be decoded, or that is truncated before the end of its TCP header
)

// Link types for raw IP that libpcap uses on some systems, in addition to layers.LinkTypeRaw.
const (
	linkTypeRawBSD     layers.LinkType = 12
	linkTypeRawOpenBSD layers.LinkType = 14
)

// DecodeError reports a malformed packet.
type DecodeError struct {
	Packet int64 // number in the capture, from 1
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("packet %d: %v", e.Packet, e.Err) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Decoder decodes packets and reassembles IP fragments. A Decoder is not safe for concurrent use.
type Decoder struct {
	parsers map[gopacket.LayerType]*gopacket.DecodingLayerParser // by first layer
	decoded []gopacket.LayerType

	ethernet      layers.Ethernet
	vlan          layers.Dot1Q
	sll           layers.LinuxSLL
	sll2          layers.LinuxSLL2
	loopback      layers.Loopback
	ipv4          layers.IPv4
	ipv6          layers.IPv6
	ipv6Extension layers.IPv6ExtensionSkipper
	ipv6Fragment  layers.IPv6Fragment
	tcp           layers.TCP
	payload       gopacket.Payload

	fragments *fragmentTable
}

// New returns a Decoder.
func New() *Decoder {
	d := &Decoder{
		parsers:   map[gopacket.LayerType]*gopacket.DecodingLayerParser{},
		fragments: newFragmentTable(),
	}
	for _, first := range []gopacket.LayerType{
		layers.LayerTypeEthernet, layers.LayerTypeLinuxSLL, layers.LayerTypeLinuxSLL2,
		layers.LayerTypeLoopback, layers.LayerTypeIPv4, layers.LayerTypeIPv6, layers.LayerTypeTCP,
	} {
		parser := gopacket.NewDecodingLayerParser(first,
			&d.ethernet, &d.vlan, &d.sll, &d.sll2, &d.loopback,
			&d.ipv4, &d.ipv6, &d.ipv6Fragment, &d.ipv6Extension, &d.tcp, &d.payload)
		// ipv6Fragment is added again after ipv6Extension, which otherwise skips fragment headers.
		parser.AddDecodingLayer(&d.ipv6Fragment)
		parser.IgnoreUnsupported = true
		d.parsers[first] = parser
	}
	return d
}

// DiscardedFragments returns the number of fragments that were discarded, plus those whose datagram
// is still incomplete.
func (d *Decoder) DiscardedFragments() int64 { return d.fragments.discardedAndWaiting() }

// Decode decodes a packet into s. The payload of s is valid as long as the packet's data. The error
// is the reason for which a packet is Malformed, and nil for the other kinds.
func (d *Decoder) Decode(p *capture.Packet, s *flow.Segment) (Kind, error) {
	first, err := firstLayer(p)
	if err != nil {
		return Malformed, err
	}
	s.Packet, s.Time = p.Number, p.Time
	if err := d.parsers[first].DecodeLayers(p.Data, &d.decoded); err != nil {
		return Malformed, fmt.Errorf("decode layers: %w", err)
	}
	return d.decodeIP(s)
}

// firstLayer returns the type of the outermost layer of a packet.
func firstLayer(p *capture.Packet) (gopacket.LayerType, error) {
	switch p.Link {
	case layers.LinkTypeEthernet:
		return layers.LayerTypeEthernet, nil
	case layers.LinkTypeLinuxSLL:
		return layers.LayerTypeLinuxSLL, nil
	case layers.LinkTypeLinuxSLL2:
		return layers.LayerTypeLinuxSLL2, nil
	case layers.LinkTypeNull, layers.LinkTypeLoop:
		return layers.LayerTypeLoopback, nil
	case layers.LinkTypeRaw, layers.LinkTypeIPv4, layers.LinkTypeIPv6, linkTypeRawBSD, linkTypeRawOpenBSD:
		if len(p.Data) > 0 && p.Data[0]>>4 == 6 {
			return layers.LayerTypeIPv6, nil
		}
		return layers.LayerTypeIPv4, nil
	default:
		return 0, fmt.Errorf("unsupported link type %d: expected Ethernet, Linux cooked, loopback or raw IP", p.Link)
	}
}

// decodeIP sets s from the decoded layers. A packet with a second IP header is tunneled, and its
// kind is Other.
func (d *Decoder) decodeIP(s *flow.Segment) (Kind, error) {
	var ip gopacket.LayerType
	isIPv6Fragment := false
	for _, layer := range d.decoded {
		switch layer {
		case layers.LayerTypeIPv4, layers.LayerTypeIPv6:
			if ip != 0 {
				return Other, nil
			}
			ip = layer
		case layers.LayerTypeIPv6Fragment:
			isIPv6Fragment = d.ipv6Fragment.FragmentOffset != 0 || d.ipv6Fragment.MoreFragments
		case layers.LayerTypeTCP:
			if ip == 0 {
				return Other, nil
			}
			d.fillSegment(ip, s)
			s.Missing = d.missingBytes(ip)
			d.dropResetPayload(s)
			return Segment, nil
		}
	}
	switch {
	case ip == layers.LayerTypeIPv4 && (d.ipv4.Flags&layers.IPv4MoreFragments != 0 || d.ipv4.FragOffset != 0):
		return d.joinIPv4(s)
	case isIPv6Fragment:
		return d.joinIPv6(s)
	}
	return Other, nil
}

// fillSegment sets s from the decoded IP and TCP headers.
func (d *Decoder) fillSegment(ip gopacket.LayerType, s *flow.Segment) {
	var src, dst netip.Addr
	if ip == layers.LayerTypeIPv4 {
		src, dst = addrOf(d.ipv4.SrcIP), addrOf(d.ipv4.DstIP)
	} else {
		src, dst = addrOf(d.ipv6.SrcIP), addrOf(d.ipv6.DstIP)
	}
	s.Src = netip.AddrPortFrom(src.Unmap(), uint16(d.tcp.SrcPort))
	s.Dst = netip.AddrPortFrom(dst.Unmap(), uint16(d.tcp.DstPort))
	s.Seq, s.SYN, s.FIN, s.RST = d.tcp.Seq, d.tcp.SYN, d.tcp.FIN, d.tcp.RST
	s.Payload, s.Missing = d.tcp.Payload, 0
}

// missingBytes returns the number of payload bytes that the snap length cut off, computed from the
// length in the IP header.
func (d *Decoder) missingBytes(ip gopacket.LayerType) int {
	var payloadBytes int
	if ip == layers.LayerTypeIPv4 {
		payloadBytes = int(d.ipv4.Length) - int(d.ipv4.IHL)*4 - len(d.tcp.Contents)
	} else {
		payloadBytes = int(d.ipv6.Length) - (len(d.ipv6.Payload) - len(d.tcp.Payload))
	}
	return max(0, payloadBytes-len(d.tcp.Payload))
}

// dropResetPayload removes the payload of a RST, which is explanatory text and not stream data
// (RFC 9293, section 3.5.3).
func (d *Decoder) dropResetPayload(s *flow.Segment) {
	if s.RST {
		s.Payload, s.Missing = nil, 0
	}
}

// addrOf returns the address in a header field, whose length the decoder has checked.
func addrOf(b []byte) netip.Addr {
	addr, _ := netip.AddrFromSlice(b)
	return addr
}
