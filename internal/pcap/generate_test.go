package pcap

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/pcap/synth"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/pcapgo"
)

var noon = time.Date(2026, 12, 24, 12, 0, 0, 0, time.UTC)

// generatedMessage is a generated request or response.
type generatedMessage struct {
	text, body string
	end        int // offset after the last byte in the stream
}

// generatedConn is a generated connection with its messages.
type generatedConn struct {
	conn       *synth.Conn
	initialSeq [2]uint32
	requests   []generatedMessage
	responses  []generatedMessage
}

// generateMessage returns a message whose body is framed by Content-Length or by chunks.
func generateMessage(rnd *rand.Rand, head, body string) string {
	if rnd.IntN(3) > 0 {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	var b strings.Builder
	b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for rest := body; rest != ""; {
		n := 1 + rnd.IntN(len(rest))
		fmt.Fprintf(&b, "%x;x=1\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return b.String() + "0\r\nTrailer: x\r\n\r\n"
}

// generateConn returns connection number i, with pipelined requests and their responses.
func generateConn(rnd *rand.Rand, i int) *generatedConn {
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), uint16(40000+i))
	server := netip.MustParseAddrPort("10.9.0.1:8443")
	if rnd.IntN(3) == 0 {
		client = netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("fd00::%x", i+1)), uint16(40000+i))
		server = netip.MustParseAddrPort("[fd00::ffff]:8443")
	}
	initialSeq := [2]uint32{rnd.Uint32(), rnd.Uint32()}
	if rnd.IntN(4) == 0 {
		initialSeq[0] = ^uint32(0) - uint32(rnd.IntN(2000)) // the sequence numbers wrap
	}
	link := synth.Link(rnd.IntN(int(synth.LinkCount)))
	g := &generatedConn{conn: synth.NewConn(client, server, link, initialSeq), initialSeq: initialSeq}
	g.conn.Open()
	var offsets [2]int
	segmentSize := 100 + rnd.IntN(1400)
	for burst := range 1 + rnd.IntN(3) {
		sent := g.generateBurst(rnd, i, burst, offsets)
		for dir, text := range sent {
			g.conn.Send(dir, []byte(text), segmentSize)
			offsets[dir] += len(text)
		}
	}
	if rnd.IntN(4) > 0 {
		g.conn.Close()
	}
	return g
}

// generateBurst adds pipelined requests and their responses, which begin at the given offsets of
// the two directions. It returns the data of each direction.
func (g *generatedConn) generateBurst(rnd *rand.Rand, i, burst int, offsets [2]int) (sent [2]string) {
	for n := range 1 + rnd.IntN(3) {
		body := string(synth.RandomBytes(rnd, rnd.IntN(6000)))
		head := fmt.Sprintf("POST /usage-rate/%d.%d.%d HTTP/1.1\r\nHost: b\r\nRequest-Id: %d-%d-%d\r\n",
			i, burst, n, i, burst, n)
		text := generateMessage(rnd, head, body)
		sent[0] += text
		g.requests = append(g.requests, generatedMessage{text: text, body: body, end: offsets[0] + len(sent[0])})

		body = string(synth.RandomBytes(rnd, rnd.IntN(3000)))
		text = generateMessage(rnd, "HTTP/1.1 200 OK\r\n", body)
		if rnd.IntN(5) == 0 {
			text = "HTTP/1.1 100 Continue\r\n\r\n" + text
		}
		sent[1] += text
		g.responses = append(g.responses, generatedMessage{text: text, body: body, end: offsets[1] + len(sent[1])})
	}
	return sent
}

// contiguousBytes returns the number of bytes of a direction that the segments contain before the
// first gap.
func (g *generatedConn) contiguousBytes(dir int) int {
	type span struct{ from, to int }
	var spans []span
	for _, p := range g.conn.Parts {
		if p.Direction == dir && len(p.Data) > p.Truncated {
			from := int(int32(p.Seq - g.initialSeq[dir] - 1))
			spans = append(spans, span{from, from + len(p.Data) - p.Truncated})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.from - b.from })
	end := 0
	for _, s := range spans {
		if s.from <= end {
			end = max(end, s.to)
		}
	}
	return end
}

// interleave returns the packets of all connections in random order. The segments of each
// connection stay in order.
func interleave(t *testing.T, rnd *rand.Rand, conns []*generatedConn) []synth.Packet {
	t.Helper()
	remaining := make([][]synth.Part, len(conns))
	for i, g := range conns {
		remaining[i] = g.conn.Parts
	}
	var all []synth.Packet
	for now := noon; ; now = now.Add(time.Duration(rnd.IntN(2000)) * time.Microsecond) {
		var open []int
		for i, parts := range remaining {
			if len(parts) > 0 {
				open = append(open, i)
			}
		}
		if open == nil {
			return all
		}
		i := open[rnd.IntN(len(open))]
		packets, err := conns[i].conn.Packets(remaining[i][0], now)
		if err != nil {
			t.Fatal(err)
		}
		remaining[i] = remaining[i][1:]
		if len(packets) > 1 && rnd.IntN(2) == 0 {
			slices.Reverse(packets)
		}
		all = append(all, packets...)
	}
}

// fileFormat is the format of a capture file.
type fileFormat int

const (
	pcapMicroseconds fileFormat = iota
	pcapNanoseconds
	pcapng
	pcapngGzip
	fileFormatCount
)

// packetWriter writes the packets of one of the formats.
type packetWriter interface {
	WritePacket(info gopacket.CaptureInfo, data []byte) error
}

// encodeFile returns a capture file with the packets.
func encodeFile(tb testing.TB, format fileFormat, link synth.Link, packets []synth.Packet) []byte {
	tb.Helper()
	check := func(err error) {
		tb.Helper()
		if err != nil {
			tb.Fatal(err)
		}
	}
	var buf bytes.Buffer
	writeAll := func(w packetWriter) {
		tb.Helper()
		for _, p := range packets {
			info := gopacket.CaptureInfo{Timestamp: p.Time, CaptureLength: len(p.Data), Length: p.WireLength}
			check(w.WritePacket(info, p.Data))
		}
	}
	switch format {
	case pcapMicroseconds, pcapNanoseconds:
		w := pcapgo.NewWriter(&buf)
		if format == pcapNanoseconds {
			w = pcapgo.NewWriterNanos(&buf)
		}
		check(w.WriteFileHeader(1<<18, link.Type()))
		writeAll(w)
	default:
		w, err := pcapgo.NewNgWriter(&buf, link.Type())
		check(err)
		writeAll(w)
		check(w.Flush())
	}
	if format != pcapngGzip {
		return buf.Bytes()
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write(buf.Bytes())
	check(err)
	check(w.Close())
	return compressed.Bytes()
}
