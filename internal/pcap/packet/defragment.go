package packet

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"fernlanding/internal/pcap/flow"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/ip4defrag"
	"github.com/gopacket/gopacket/ip6defrag"
	"github.com/gopacket/gopacket/layers"
)

const (
	maxFragments     = 4096             // buffered fragments; beyond the limit all of them are discarded
	fragmentLifetime = 30 * time.Second // in capture time, since the last fragment of a datagram
	expiryInterval   = 1024             // fragments between two scans for expired ones
)

var errFragment = errors.New("invalid IP fragment")

// datagramKey identifies the datagram that a fragment belongs to (RFC 791, section 2.3; RFC 8200,
// section 4.5).
type datagramKey struct {
	src, dst netip.Addr
	id       uint32
}

// incompleteDatagram is a datagram of which fragments are still missing.
type incompleteDatagram struct {
	fragments int       // number of buffered fragments
	last      time.Time // capture time of the last fragment
}

// fragmentTable reassembles datagrams and counts the buffered fragments.
type fragmentTable struct {
	ipv4       *ip4defrag.IPv4Defragmenter
	ipv6       *ip6defrag.IPv6Defragmenter
	incomplete map[datagramKey]*incompleteDatagram
	waiting    int   // number of buffered fragments
	discarded  int64 // number of discarded fragments
	added      int   // number of fragments that have been buffered so far
}

// newFragmentTable returns an empty table.
func newFragmentTable() *fragmentTable {
	t := &fragmentTable{}
	t.discardAll()
	return t
}

// discardAll discards all buffered fragments.
func (t *fragmentTable) discardAll() {
	t.ipv4, t.ipv6 = ip4defrag.NewIPv4Defragmenter(), ip6defrag.NewIPv6Defragmenter()
	t.discarded += int64(t.waiting)
	t.incomplete, t.waiting = map[datagramKey]*incompleteDatagram{}, 0
}

// discardedAndWaiting returns the number of fragments that are part of no reassembled datagram.
func (t *fragmentTable) discardedAndWaiting() int64 { return t.discarded + int64(t.waiting) }

// add counts a buffered fragment. After every expiryInterval fragments it discards the expired
// ones, and above maxFragments it discards all of them.
func (t *fragmentTable) add(key datagramKey, now time.Time) {
	datagram := t.incomplete[key]
	if datagram == nil {
		datagram = &incompleteDatagram{}
		t.incomplete[key] = datagram
	}
	datagram.fragments++
	datagram.last = now
	t.waiting++
	t.added++
	if t.added%expiryInterval == 0 {
		t.discardOlderThan(now.Add(-fragmentLifetime))
	}
	if t.waiting > maxFragments {
		t.discardAll()
	}
}

// discardOlderThan discards the datagrams whose last fragment was captured before oldest.
func (t *fragmentTable) discardOlderThan(oldest time.Time) {
	t.ipv4.DiscardOlderThan(oldest)
	t.ipv6.DiscardOlderThan(oldest)
	for key, datagram := range t.incomplete {
		if datagram.last.Before(oldest) {
			t.discarded += int64(datagram.fragments)
			t.remove(key)
		}
	}
}

// remove stops counting the buffered fragments of a datagram.
func (t *fragmentTable) remove(key datagramKey) {
	if datagram := t.incomplete[key]; datagram != nil {
		t.waiting -= datagram.fragments
		delete(t.incomplete, key)
	}
}

// joinIPv4 adds the decoded IPv4 fragment, and decodes its datagram if it is now complete.
func (d *Decoder) joinIPv4(s *flow.Segment) (Kind, error) {
	ip := d.ipv4
	ip.Payload = bytes.Clone(ip.Payload)
	ip.SrcIP, ip.DstIP = bytes.Clone(ip.SrcIP), bytes.Clone(ip.DstIP)
	joined, err := d.fragments.ipv4.DefragIPv4WithTimestamp(&ip, s.Time)
	if err != nil {
		return Malformed, fmt.Errorf("%w: %w", errFragment, err)
	}
	key := datagramKey{src: addrOf(ip.SrcIP), dst: addrOf(ip.DstIP), id: uint32(ip.Id)}
	if joined == nil {
		d.fragments.add(key, s.Time)
		return Fragment, nil
	}
	d.fragments.remove(key)
	d.ipv4 = *joined
	return d.decodeJoined(layers.LayerTypeIPv4, joined.Protocol, joined.Payload, s)
}

// joinIPv6 adds the decoded IPv6 fragment, and decodes its datagram if it is now complete.
func (d *Decoder) joinIPv6(s *flow.Segment) (Kind, error) {
	ip, fragment := d.ipv6, d.ipv6Fragment
	ip.SrcIP, ip.DstIP = bytes.Clone(ip.SrcIP), bytes.Clone(ip.DstIP)
	fragment.Payload = bytes.Clone(fragment.Payload)
	joined := d.fragments.ipv6.DefragIPv6(&ip, &fragment)
	key := datagramKey{src: addrOf(ip.SrcIP), dst: addrOf(ip.DstIP), id: fragment.Identification}
	if joined == nil {
		d.fragments.add(key, s.Time)
		return Fragment, nil
	}
	d.fragments.remove(key)
	d.ipv6 = *joined
	return d.decodeJoined(layers.LayerTypeIPv6, joined.NextHeader, joined.Payload, s)
}

// decodeJoined sets s from the payload of a reassembled datagram, which has no missing bytes.
func (d *Decoder) decodeJoined(
	ip gopacket.LayerType, protocol layers.IPProtocol, payload []byte, s *flow.Segment,
) (Kind, error) {
	if protocol != layers.IPProtocolTCP {
		return Other, nil
	}
	err := d.parsers[layers.LayerTypeTCP].DecodeLayers(payload, &d.decoded)
	if err != nil || len(d.decoded) == 0 {
		return Malformed, fmt.Errorf("decode reassembled datagram: %w", err)
	}
	d.fillSegment(ip, s)
	d.dropResetPayload(s)
	return Segment, nil
}
