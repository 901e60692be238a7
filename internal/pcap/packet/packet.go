// Package packet finds the TCP segment in a captured packet: Ethernet with VLAN tags (also doubled), Linux cooked
// captures of both versions, loopback and raw IP; IPv4 and IPv6 with extension headers and fragments.
package packet

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"fernlanding/internal/pcap/capture"
	"fernlanding/internal/pcap/flow"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/ip4defrag"
	"github.com/gopacket/gopacket/ip6defrag"
	"github.com/gopacket/gopacket/layers"
)

// Kind is what a packet is.
type Kind int

// The kinds of packet.
const (
	Segment   Kind = iota // of TCP
	Other                 // of another protocol
	Fragment              // of an IP datagram of which more is to come
	Malformed             // of no sense, or cut before its TCP header ends
)

const (
	mostFragments  = 4096 // that wait for others; beyond it all of them are given up
	fragmentsLife  = 30 * time.Second
	fragmentsEvery = 1024 // fragments between two looks at old ones
)

// Decoder decodes packets. It is not safe for concurrent use.
type Decoder struct {
	parsers map[gopacket.LayerType]*gopacket.DecodingLayerParser
	decoded []gopacket.LayerType

	eth      layers.Ethernet
	tag      layers.Dot1Q
	sll      layers.LinuxSLL
	sll2     layers.LinuxSLL2
	loop     layers.Loopback
	ip4      layers.IPv4
	ip6      layers.IPv6
	skip     layers.IPv6ExtensionSkipper
	fragment layers.IPv6Fragment
	tcp      layers.TCP
	payload  gopacket.Payload

	frag4   *ip4defrag.IPv4Defragmenter
	frag6   *ip6defrag.IPv6Defragmenter
	waiting map[datagram]*pieces
	count   int // fragments that wait
	given   int64
	seen    int
}

// New returns a Decoder.
func New() *Decoder {
	d := &Decoder{parsers: map[gopacket.LayerType]*gopacket.DecodingLayerParser{}}
	d.reset()
	for _, first := range []gopacket.LayerType{
		layers.LayerTypeEthernet, layers.LayerTypeLinuxSLL, layers.LayerTypeLinuxSLL2,
		layers.LayerTypeLoopback, layers.LayerTypeIPv4, layers.LayerTypeIPv6, layers.LayerTypeTCP,
	} {
		p := gopacket.NewDecodingLayerParser(first, &d.eth, &d.tag, &d.sll, &d.sll2, &d.loop, &d.ip4, &d.ip6, &d.fragment, &d.skip,
			&d.tcp, &d.payload)
		p.AddDecodingLayer(&d.fragment) // the skipper would take fragments for any other extension
		p.IgnoreUnsupported = true
		d.parsers[first] = p
	}
	return d
}

// datagram is what the fragments of one have in common (RFC 791, section 2.3; RFC 8200, section 4.5).
type datagram struct {
	src, dst netip.Addr
	id       uint32
}

// pieces are the fragments of a datagram that wait for the rest.
type pieces struct {
	n    int
	last time.Time
}

func (d *Decoder) reset() {
	d.frag4, d.frag6 = ip4defrag.NewIPv4Defragmenter(), ip6defrag.NewIPv6Defragmenter()
	d.given += int64(d.count)
	d.waiting, d.count = map[datagram]*pieces{}, 0
}

// DiscardedFragments is how many fragments were given up, with those that still wait.
func (d *Decoder) DiscardedFragments() int64 { return d.given + int64(d.count) }

// Decode fills in s from a packet; its payload is good as long as the packet's data. The error says what makes a packet
// Bad.
func (d *Decoder) Decode(p *capture.Packet, s *flow.Segment) (Kind, error) {
	var first gopacket.LayerType
	switch p.Link {
	case layers.LinkTypeEthernet:
		first = layers.LayerTypeEthernet
	case layers.LinkTypeLinuxSLL:
		first = layers.LayerTypeLinuxSLL
	case layers.LinkTypeLinuxSLL2:
		first = layers.LayerTypeLinuxSLL2
	case layers.LinkTypeNull, layers.LinkTypeLoop:
		first = layers.LayerTypeLoopback
	case layers.LinkTypeRaw, layers.LinkTypeIPv4, layers.LinkTypeIPv6, 12, 14: // two more numbers for raw IP
		if first = layers.LayerTypeIPv4; len(p.Data) > 0 && p.Data[0]>>4 == 6 {
			first = layers.LayerTypeIPv6
		}
	default:
		return Malformed, fmt.Errorf("found link type %d, expected Ethernet, Linux cooked, loopback or raw IP", p.Link)
	}
	s.Packet, s.Time = p.Number, p.Time
	if err := d.parsers[first].DecodeLayers(p.Data, &d.decoded); err != nil {
		return Malformed, fmt.Errorf("cannot be decoded: %w", err)
	}
	var ip gopacket.LayerType
	var fragment6 bool
	for _, l := range d.decoded {
		switch l {
		case layers.LayerTypeIPv4, layers.LayerTypeIPv6:
			if ip != 0 {
				return Other, nil // a tunnel
			}
			ip = l
		case layers.LayerTypeIPv6Fragment:
			fragment6 = d.fragment.FragmentOffset != 0 || d.fragment.MoreFragments
		case layers.LayerTypeTCP:
			if ip == 0 {
				return Other, nil
			}
			return d.segment(ip, s, false), nil
		}
	}
	switch {
	case ip == layers.LayerTypeIPv4 && (d.ip4.Flags&layers.IPv4MoreFragments != 0 || d.ip4.FragOffset != 0):
		return d.join4(s)
	case fragment6:
		return d.join6(s)
	}
	return Other, nil
}

// segment fills in what the headers say.
func (d *Decoder) segment(ip gopacket.LayerType, s *flow.Segment, joined bool) Kind {
	var src, dst netip.Addr
	want, header := 0, len(d.tcp.Contents)
	if ip == layers.LayerTypeIPv4 {
		src, _ = netip.AddrFromSlice(d.ip4.SrcIP)
		dst, _ = netip.AddrFromSlice(d.ip4.DstIP)
		want = int(d.ip4.Length) - int(d.ip4.IHL)*4 - header
	} else {
		src, _ = netip.AddrFromSlice(d.ip6.SrcIP)
		dst, _ = netip.AddrFromSlice(d.ip6.DstIP)
		want = int(d.ip6.Length) - (len(d.ip6.Payload) - len(d.tcp.Payload))
	}
	s.Src = netip.AddrPortFrom(src.Unmap(), uint16(d.tcp.SrcPort))
	s.Dst = netip.AddrPortFrom(dst.Unmap(), uint16(d.tcp.DstPort))
	s.Seq, s.SYN, s.FIN, s.RST = d.tcp.Seq, d.tcp.SYN, d.tcp.FIN, d.tcp.RST
	s.Payload, s.Missing = d.tcp.Payload, 0
	if !joined && want > len(s.Payload) {
		s.Missing = want - len(s.Payload)
	}
	if s.RST {
		s.Payload, s.Missing = nil, 0 // a RST's text is no data (RFC 9293, section 3.5.3)
	}
	return Segment
}

var errFragment = errors.New("a fragment that makes no sense")

// wait counts a fragment in, and gives up old ones, and all where there are too many.
func (d *Decoder) wait(k datagram, now time.Time) (Kind, error) {
	w := d.waiting[k]
	if w == nil {
		w = &pieces{}
		d.waiting[k] = w
	}
	w.n++
	w.last = now
	d.count++
	if d.seen++; d.seen%fragmentsEvery == 0 {
		before := now.Add(-fragmentsLife)
		d.frag4.DiscardOlderThan(before)
		d.frag6.DiscardOlderThan(before)
		for k, w := range d.waiting {
			if w.last.Before(before) {
				d.given += int64(w.n)
				d.gather(k)
			}
		}
	}
	if d.count > mostFragments {
		d.reset()
	}
	return Fragment, nil
}

// gather forgets the fragments of a datagram.
func (d *Decoder) gather(k datagram) {
	if w := d.waiting[k]; w != nil {
		d.count -= w.n
		delete(d.waiting, k)
	}
}

func addr(b []byte) netip.Addr {
	a, _ := netip.AddrFromSlice(b)
	return a
}

func (d *Decoder) join4(s *flow.Segment) (Kind, error) {
	ip := d.ip4
	ip.Payload = append([]byte(nil), ip.Payload...)
	ip.SrcIP, ip.DstIP = append([]byte(nil), ip.SrcIP...), append([]byte(nil), ip.DstIP...)
	out, err := d.frag4.DefragIPv4WithTimestamp(&ip, s.Time)
	if err != nil {
		return Malformed, fmt.Errorf("%w: %w", errFragment, err)
	}
	k := datagram{addr(ip.SrcIP), addr(ip.DstIP), uint32(ip.Id)}
	if out == nil {
		return d.wait(k, s.Time)
	}
	d.ip4 = *out
	return d.joined(k, layers.LayerTypeIPv4, out.Protocol, out.Payload, s)
}

func (d *Decoder) join6(s *flow.Segment) (Kind, error) {
	ip, fragment := d.ip6, d.fragment
	ip.SrcIP, ip.DstIP = append([]byte(nil), ip.SrcIP...), append([]byte(nil), ip.DstIP...)
	fragment.Payload = append([]byte(nil), fragment.Payload...)
	out := d.frag6.DefragIPv6(&ip, &fragment)
	k := datagram{addr(ip.SrcIP), addr(ip.DstIP), fragment.Identification}
	if out == nil {
		return d.wait(k, s.Time)
	}
	d.ip6 = *out
	return d.joined(k, layers.LayerTypeIPv6, out.NextHeader, out.Payload, s)
}

// joined decodes what was put together.
func (d *Decoder) joined(k datagram, ip gopacket.LayerType, protocol layers.IPProtocol, data []byte, s *flow.Segment) (Kind, error) {
	d.gather(k)
	if protocol != layers.IPProtocolTCP {
		return Other, nil
	}
	if err := d.parsers[layers.LayerTypeTCP].DecodeLayers(data, &d.decoded); err != nil || len(d.decoded) == 0 {
		return Malformed, fmt.Errorf("cannot be decoded when put together: %w", err)
	}
	return d.segment(ip, s, true), nil
}

// DecodeError is a packet of no sense.
type DecodeError struct {
	Packet int64
	Err    error
}

// Error implements error.
func (f *DecodeError) Error() string { return fmt.Sprintf("packet %d: %v", f.Packet, f.Err) }

// Unwrap returns the cause.
func (f *DecodeError) Unwrap() error { return f.Err }
