package packet

import (
	"net/netip"
	"testing"
	"time"

	"fernlanding/internal/pcap/capture"
	"fernlanding/internal/pcap/flow"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

var noon = time.Date(2026, 12, 24, 12, 0, 0, 0, time.UTC)

func serialize(t *testing.T, rest ...gopacket.SerializableLayer) []byte {
	t.Helper()
	buf := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buf, gopacket.SerializeOptions{FixLengths: true}, rest...); err != nil {
		t.Fatal(err)
	}
	return append([]byte(nil), buf.Bytes()...)
}

func ipv6Header(next layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{
		Version: 6, HopLimit: 9, NextHeader: next,
		SrcIP: netip.MustParseAddr("fd00::1").AsSlice(), DstIP: netip.MustParseAddr("fd00::2").AsSlice(),
	}
}

func tcpHeader() *layers.TCP {
	return &layers.TCP{SrcPort: 1, DstPort: 2, Seq: 77, ACK: true}
}

func rawIPPacket(data []byte, number int64) *capture.Packet {
	return &capture.Packet{
		Number: number, Time: noon, Link: layers.LinkTypeRaw, Data: data, WireLength: len(data),
	}
}

// Extension headers before the TCP header are skipped (RFC 8200, section 4), and fragments are
// reassembled in any order.
func TestIPv6ExtensionsAndFragments(t *testing.T) {
	decoder := New()
	var s flow.Segment
	// The destination options header holds one PadN option of six bytes and is followed by TCP.
	option := gopacket.Payload{byte(layers.IPProtocolTCP), 0, 1, 4, 0, 0, 0, 0}
	data := serialize(t,
		ipv6Header(layers.IPProtocolIPv6Destination), option, tcpHeader(), gopacket.Payload("hello"))
	kind, err := decoder.Decode(rawIPPacket(data, 1), &s)
	if kind != Segment || err != nil || string(s.Payload) != "hello" || s.Missing != 0 || s.Seq != 77 {
		t.Errorf("after a destination options header: kind %v, error %v, segment %+v", kind, err, s)
	}
	kind, err = decoder.Decode(rawIPPacket(data[:len(data)-2], 2), &s)
	if kind != Segment || err != nil || string(s.Payload) != "hel" || s.Missing != 2 {
		t.Errorf("truncated packet: kind %v, error %v, segment %+v", kind, err, s)
	}
	datagram := serialize(t, tcpHeader(), gopacket.Payload("hello, this is a longer one"))
	fragment := func(from, to int, more byte) []byte {
		head := gopacket.Payload{byte(layers.IPProtocolTCP), 0, byte(from >> 8), byte(from) | more, 0, 0, 0, 9}
		return serialize(t, ipv6Header(layers.IPProtocolIPv6Fragment), head, gopacket.Payload(datagram[from:to]))
	}
	kind, _ = decoder.Decode(rawIPPacket(fragment(24, len(datagram), 0), 3), &s)
	if kind != Fragment || decoder.DiscardedFragments() != 1 {
		t.Errorf("last fragment first: kind %v, %d fragments buffered", kind, decoder.DiscardedFragments())
	}
	kind, err = decoder.Decode(rawIPPacket(fragment(0, 24, 1), 4), &s)
	if kind != Segment || err != nil || string(s.Payload) != "hello, this is a longer one" ||
		decoder.DiscardedFragments() != 0 {
		t.Errorf("reassembled datagram: kind %v, error %v, segment %+v, %d fragments buffered",
			kind, err, s, decoder.DiscardedFragments())
	}
}

// Fragments of incomplete datagrams are discarded and counted, and the number of buffered fragments
// stays within the limit.
func TestIncompleteDatagramsAreDiscarded(t *testing.T) {
	decoder := New()
	var s flow.Segment
	for i := range 3 * maxFragments {
		ip := &layers.IPv4{
			Version: 4, TTL: 9, Id: uint16(i), Flags: layers.IPv4MoreFragments, Protocol: layers.IPProtocolTCP,
			SrcIP: []byte{10, 0, byte(i >> 16), 1}, DstIP: []byte{10, 0, 0, 2},
		}
		data := serialize(t, ip, gopacket.Payload(make([]byte, 64)))
		if kind, _ := decoder.Decode(rawIPPacket(data, int64(i)), &s); kind != Fragment {
			t.Fatalf("fragment %d: got kind %v", i, kind)
		}
		if decoder.fragments.waiting > maxFragments {
			t.Fatalf("%d fragments buffered, limit %d", decoder.fragments.waiting, maxFragments)
		}
	}
	if decoder.DiscardedFragments() != 3*maxFragments {
		t.Errorf("DiscardedFragments() = %d, want %d", decoder.DiscardedFragments(), 3*maxFragments)
	}
}

// A packet of another protocol is not malformed. A packet of an unknown link type is malformed.
func TestOtherAndMalformedPackets(t *testing.T) {
	decoder := New()
	var s flow.Segment
	udp := serialize(t, ipv6Header(layers.IPProtocolUDP), &layers.UDP{SrcPort: 1, DstPort: 2})
	ethernet := &layers.Ethernet{
		SrcMAC: make([]byte, 6), DstMAC: make([]byte, 6), EthernetType: layers.EthernetTypeARP,
	}
	arp := serialize(t, ethernet, gopacket.Payload(make([]byte, 28)))
	shortTCP := serialize(t, ipv6Header(layers.IPProtocolTCP), gopacket.Payload(make([]byte, 9)))
	for name, c := range map[string]struct {
		packet *capture.Packet
		want   Kind
	}{
		"UDP":                  {rawIPPacket(udp, 1), Other},
		"ARP":                  {&capture.Packet{Link: layers.LinkTypeEthernet, Data: arp}, Other},
		"empty":                {rawIPPacket(nil, 1), Malformed},
		"truncated IP header":  {rawIPPacket(udp[:20], 1), Malformed},
		"truncated TCP header": {rawIPPacket(shortTCP, 1), Malformed},
		"unknown link type":    {&capture.Packet{Link: 195, Data: udp}, Malformed},
	} {
		if kind, err := decoder.Decode(c.packet, &s); kind != c.want || (err != nil) != (c.want == Malformed) {
			t.Errorf("%s: got kind %v and error %v, want kind %v", name, kind, err, c.want)
		}
	}
}
