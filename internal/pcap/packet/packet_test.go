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

func v6(next layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{Version: 6, HopLimit: 9, NextHeader: next, SrcIP: netip.MustParseAddr("fd00::1").AsSlice(), DstIP: netip.MustParseAddr("fd00::2").AsSlice()}
}

func tcp() *layers.TCP {
	return &layers.TCP{SrcPort: 1, DstPort: 2, Seq: 77, ACK: true}
}

func raw(data []byte, n int64) *capture.Packet {
	return &capture.Packet{Number: n, Time: noon, Link: layers.LinkTypeRaw, Data: data, WireLength: len(data)}
}

// Extension headers before the segment are passed over (RFC 8200, section 4), and fragments are put together.
func TestIPv6ExtensionsAndFragments(t *testing.T) {
	d := New()
	var s flow.Segment
	// A destination option of six bytes of padding, then TCP.
	option := gopacket.Payload{byte(layers.IPProtocolTCP), 0, 1, 4, 0, 0, 0, 0}
	data := serialize(t, v6(layers.IPProtocolIPv6Destination), option, tcp(), gopacket.Payload("hello"))
	if k, err := d.Decode(raw(data, 1), &s); k != Segment || err != nil || string(s.Payload) != "hello" || s.Missing != 0 || s.Seq != 77 {
		t.Errorf("behind an option: %v, %v, %+v", k, err, s)
	}
	if k, err := d.Decode(raw(data[:len(data)-2], 2), &s); k != Segment || err != nil || string(s.Payload) != "hel" || s.Missing != 2 {
		t.Errorf("cut: %v, %v, %+v", k, err, s)
	}
	whole := serialize(t, tcp(), gopacket.Payload("hello, this is a longer one"))
	piece := func(from, to int, more byte) []byte {
		head := gopacket.Payload{byte(layers.IPProtocolTCP), 0, byte(from >> 8), byte(from) | more, 0, 0, 0, 9}
		return serialize(t, v6(layers.IPProtocolIPv6Fragment), head, gopacket.Payload(whole[from:to]))
	}
	if k, _ := d.Decode(raw(piece(24, len(whole), 0), 3), &s); k != Fragment || d.DiscardedFragments() != 1 {
		t.Errorf("the last fragment first: %v, %d wait", k, d.DiscardedFragments())
	}
	if k, err := d.Decode(raw(piece(0, 24, 1), 4), &s); k != Segment || err != nil || string(s.Payload) != "hello, this is a longer one" || d.DiscardedFragments() != 0 {
		t.Errorf("put together: %v, %v, %+v, %d wait", k, err, s, d.DiscardedFragments())
	}
}

// Fragments that never come together are given up and counted, and hold no more than their bound.
func TestFragmentsThatNeverComeTogether(t *testing.T) {
	d := New()
	var s flow.Segment
	for i := range 3 * mostFragments {
		ip := &layers.IPv4{
			Version: 4, TTL: 9, Id: uint16(i), Flags: layers.IPv4MoreFragments, Protocol: layers.IPProtocolTCP,
			SrcIP: []byte{10, 0, byte(i >> 16), 1}, DstIP: []byte{10, 0, 0, 2},
		}
		if k, _ := d.Decode(raw(serialize(t, ip, gopacket.Payload(make([]byte, 64))), int64(i)), &s); k != Fragment {
			t.Fatalf("fragment %d: %v", i, k)
		}
		if d.count > mostFragments {
			t.Fatalf("%d fragments wait", d.count)
		}
	}
	if d.DiscardedFragments() != 3*mostFragments {
		t.Errorf("%d fragments are counted, of %d", d.DiscardedFragments(), 3*mostFragments)
	}
}

// What is no TCP is told from what makes no sense, and a link that is not known is named.
func TestOthersAndBad(t *testing.T) {
	d := New()
	var s flow.Segment
	udp := serialize(t, v6(layers.IPProtocolUDP), &layers.UDP{SrcPort: 1, DstPort: 2})
	arp := serialize(t, &layers.Ethernet{SrcMAC: make([]byte, 6), DstMAC: make([]byte, 6), EthernetType: layers.EthernetTypeARP}, gopacket.Payload(make([]byte, 28)))
	for name, c := range map[string]struct {
		p    *capture.Packet
		want Kind
	}{
		"UDP":         {raw(udp, 1), Other},
		"ARP":         {&capture.Packet{Link: layers.LinkTypeEthernet, Data: arp}, Other},
		"empty":       {raw(nil, 1), Malformed},
		"cut head":    {raw(udp[:20], 1), Malformed},
		"half a TCP":  {raw(serialize(t, v6(layers.IPProtocolTCP), gopacket.Payload(make([]byte, 9))), 1), Malformed},
		"other links": {&capture.Packet{Link: 195, Data: udp}, Malformed},
	} {
		if k, err := d.Decode(c.p, &s); k != c.want || (err != nil) != (c.want == Malformed) {
			t.Errorf("%s: %v, %v", name, k, err)
		}
	}
}
