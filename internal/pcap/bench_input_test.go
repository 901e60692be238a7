package pcap

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"

	"fernlanding/internal/pcap/synth"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
)

// benchBytes is the size in bytes of each generated capture.
const benchBytes = 1 << 30

const (
	fileHeaderBytes   = 24
	packetHeaderBytes = 16
	sequenceOffset    = 14 + 20 + 4 // in a frame: Ethernet, IPv4 without options, TCP ports
)

// repeatedCapture is a capture file that repeats a block of packets up to a size. The sequence
// numbers of a connection that never ends are incremented with each repetition.
type repeatedCapture struct {
	header, block []byte
	remaining     int64 // bytes
	offset        int   // next byte of the block
	sequences     []sequenceNumber
}

// sequenceNumber is the offset of a packet's sequence number in the block, and the increment of the
// sequence number for each repetition.
type sequenceNumber struct {
	offset    int
	increment uint32
}

func (r *repeatedCapture) Read(p []byte) (int, error) {
	if len(r.header) > 0 {
		n := copy(p, r.header)
		r.header = r.header[n:]
		return n, nil
	}
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	n := copy(p, r.block[r.offset:])
	r.remaining -= int64(n)
	r.offset += n
	if r.offset == len(r.block) {
		r.offset = 0
		for _, s := range r.sequences {
			b := r.block[s.offset:]
			binary.BigEndian.PutUint32(b, binary.BigEndian.Uint32(b)+s.increment)
		}
	}
	return n, nil
}

// encodeBlock returns the file header and the packets of a capture file, and the offsets of the
// sequence numbers in the packets.
func encodeBlock(b *testing.B, conns []*synth.Conn) (header, block []byte, sequenceOffsets []int) {
	b.Helper()
	var buf bytes.Buffer
	w := pcapgo.NewWriter(&buf)
	if err := w.WriteFileHeader(1<<16, layers.LinkTypeEthernet); err != nil {
		b.Fatal(err)
	}
	for _, c := range conns {
		for _, part := range c.Parts {
			packets, err := c.Packets(part, noon)
			if err != nil {
				b.Fatal(err)
			}
			packet := packets[0]
			sequenceOffsets = append(sequenceOffsets, buf.Len()-fileHeaderBytes+packetHeaderBytes+sequenceOffset)
			info := gopacket.CaptureInfo{
				Timestamp: noon, CaptureLength: len(packet.Data), Length: packet.WireLength,
			}
			if err := w.WritePacket(info, packet.Data); err != nil {
				b.Fatal(err)
			}
		}
	}
	return buf.Bytes()[:fileHeaderBytes], buf.Bytes()[fileHeaderBytes:], sequenceOffsets
}

// messageOfSize returns a message of exactly n bytes, with the given start of the head.
func messageOfSize(head string, n int) []byte {
	for body := n; ; body-- {
		m := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, body)
		if len(m)+body == n {
			return []byte(m + strings.Repeat("x", body))
		}
	}
}

// benchConn returns a connection from a client address to the server.
func benchConn(client netip.Addr) *synth.Conn {
	return synth.NewConn(netip.AddrPortFrom(client, 4000), netip.MustParseAddrPort("10.9.0.1:80"),
		synth.Ethernet, [2]uint32{7, 7})
}

// shortConnections returns a capture of 1000 connections with two exchanges each, repeated.
func shortConnections(b *testing.B) io.Reader {
	b.Helper()
	var conns []*synth.Conn
	for i := range 1000 {
		c := benchConn(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}))
		c.Open()
		for range 2 {
			c.Send(0, messageOfSize("POST /u HTTP/1.1\r\n", 2800), 1400)
			c.Send(1, messageOfSize("HTTP/1.1 200 OK\r\n", 1400), 1400)
		}
		c.Close()
		conns = append(conns, c)
	}
	header, block, _ := encodeBlock(b, conns)
	return &repeatedCapture{header: header, block: block, remaining: benchBytes}
}

// endlessConnection returns a capture of one connection that never ends.
func endlessConnection(b *testing.B) io.Reader {
	b.Helper()
	c := benchConn(netip.MustParseAddr("10.0.0.1"))
	for range 100 {
		c.Send(0, messageOfSize("POST /u HTTP/1.1\r\n", 1400), 1400)
		c.Send(1, messageOfSize("HTTP/1.1 200 OK\r\n", 1400), 1400)
	}
	header, block, offsets := encodeBlock(b, []*synth.Conn{c})
	r := &repeatedCapture{header: header, block: block, remaining: benchBytes}
	for _, offset := range offsets {
		r.sequences = append(r.sequences, sequenceNumber{offset: offset, increment: 100 * 1400})
	}
	return r
}

// openConnections returns a capture of n connections that never end, each with one packet.
func openConnections(b *testing.B, n int) io.Reader {
	b.Helper()
	var conns []*synth.Conn
	for i := range n {
		c := benchConn(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}))
		c.Send(0, []byte("POST /u HTTP/1.1\r\n"), 1400)
		conns = append(conns, c)
	}
	header, block, _ := encodeBlock(b, conns)
	return io.MultiReader(bytes.NewReader(header), bytes.NewReader(block))
}
