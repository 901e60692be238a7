package pcap

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/synth"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/pcapgo"
)

// found keeps what a reading tells.
type found struct {
	exchanges []*http.Exchange
	bodies    map[*http.Message]string
	streams   map[int64][]http.Fault
	segments  map[int64][]flow.Fault
	ends      map[int64]flow.EndReason
}

func newFound() *found {
	return &found{
		bodies: map[*http.Message]string{}, streams: map[int64][]http.Fault{}, segments: map[int64][]flow.Fault{},
		ends: map[int64]flow.EndReason{},
	}
}

func (f *found) Exchange(e *http.Exchange) {
	f.exchanges = append(f.exchanges, e)
	for _, m := range []*http.Message{e.Request, e.Response} {
		if m != nil {
			body, err := m.Body.Bytes()
			if err != nil {
				panic(err)
			}
			f.bodies[m] = string(body)
		}
	}
}

func (f *found) StreamFault(c *flow.Flow, _ flow.Direction, x http.Fault) {
	f.streams[c.ID] = append(f.streams[c.ID], x)
}

func (f *found) SegmentFault(x flow.Fault)                  { f.segments[x.Flow.ID] = append(f.segments[x.Flow.ID], x) }
func (f *found) FlowEnded(c *flow.Flow, why flow.EndReason) { f.ends[c.ID] = why }
func (f *found) faults(id int64) int                        { return len(f.streams[id]) + len(f.segments[id]) }

// message is a message as it was made.
type message struct {
	text, body string
	at, end    int
}

// talk is one made connection.
type talk struct {
	conn  *synth.Conn
	asked []message
	told  []message
}

func framed(rnd *rand.Rand, head, body string) string {
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

// makeTalk makes a connection with pipelined requests and their answers.
func makeTalk(rnd *rand.Rand, i int) *talk {
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), uint16(40000+i))
	server := netip.MustParseAddrPort("10.9.0.1:8443")
	if rnd.IntN(3) == 0 {
		client = netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("fd00::%x", i+1)), uint16(40000+i))
		server = netip.MustParseAddrPort("[fd00::ffff]:8443")
	}
	isn := [2]uint32{rnd.Uint32(), rnd.Uint32()}
	if rnd.IntN(4) == 0 {
		isn[0] = ^uint32(0) - uint32(rnd.IntN(2000)) // wraps
	}
	t := &talk{conn: synth.NewConn(client, server, synth.Link(rnd.IntN(int(synth.LinkCount))), isn)}
	t.conn.Open()
	var at [2]int
	size := 100 + rnd.IntN(1400)
	for burst := range 1 + rnd.IntN(3) {
		var ask, tell string
		for n := range 1 + rnd.IntN(3) {
			body := string(synth.RandomBytes(rnd, rnd.IntN(6000)))
			text := framed(rnd, fmt.Sprintf("POST /usage-rate/%d.%d.%d HTTP/1.1\r\nHost: b\r\nRequest-Id: %d-%d-%d\r\n", i, burst, n, i, burst, n), body)
			t.asked = append(t.asked, message{text, body, at[0] + len(ask), at[0] + len(ask) + len(text)})
			ask += text
			body = string(synth.RandomBytes(rnd, rnd.IntN(3000)))
			text = framed(rnd, "HTTP/1.1 200 OK\r\n", body)
			if rnd.IntN(5) == 0 {
				text = "HTTP/1.1 100 Continue\r\n\r\n" + text
			}
			t.told = append(t.told, message{text, body, at[1] + len(tell), at[1] + len(tell) + len(text)})
			tell += text
		}
		t.conn.Send(0, []byte(ask), size)
		t.conn.Send(1, []byte(tell), size)
		at[0], at[1] = at[0]+len(ask), at[1]+len(tell)
	}
	if rnd.IntN(4) > 0 {
		t.conn.Close()
	}
	return t
}

// spoil spoils a connection's segments, and tells whether the reading has to report it. What can be made good again
// (order, repeats) need not be reported.
func spoil(rnd *rand.Rand, c *synth.Conn) (reported bool) {
	var with []int // parts with data
	for i, p := range c.Parts {
		if len(p.Data) > 2 && !p.Altered {
			with = append(with, i)
		}
	}
	if with == nil {
		return false
	}
	// No part is spoilt twice, lest one fault undo another.
	pick := func() int {
		i := with[rnd.IntN(len(with))]
		c.Parts[i].Altered = true
		return i
	}
	switch rnd.IntN(8) {
	case 0: // lost
		i := pick()
		c.Parts = slices.Delete(c.Parts, i, i+1)
		return true
	case 1: // repeated, now or late
		i := pick()
		c.Parts = slices.Insert(c.Parts, i+1+rnd.IntN(len(c.Parts)-i), c.Parts[i])
	case 2: // out of order
		i := pick()
		p := c.Parts[i]
		j := min(len(c.Parts)-1, i+1+rnd.IntN(4))
		c.Parts = slices.Insert(slices.Delete(c.Parts, i, i+1), j, p)
	case 3: // repeated with other bytes, right after
		i := pick()
		p := c.Parts[i]
		p.Data = slices.Clone(p.Data)
		p.Data[rnd.IntN(len(p.Data))] ^= 0x55
		c.Parts = slices.Insert(c.Parts, i+1, p)
		return true
	case 4: // cut by the snap length
		i := pick()
		c.Parts[i].Truncated = 1 + rnd.IntN(len(c.Parts[i].Data)-1)
		return true
	case 5: // a keep-alive probe
		i := pick()
		p := c.Parts[i]
		probe := synth.Part{Direction: p.Direction, Seq: p.Seq + uint32(len(p.Data)) - 1, Data: []byte{0}}
		c.Parts = slices.Insert(c.Parts, i+1, probe)
	case 6: // overlapping its neighbour with the same bytes
		for range 8 {
			i := pick()
			if i+1 < len(c.Parts) && c.Parts[i+1].Direction == c.Parts[i].Direction && len(c.Parts[i+1].Data) > 0 && !c.Parts[i+1].Altered {
				c.Parts[i+1].Altered = true
				n := 1 + rnd.IntN(len(c.Parts[i].Data)-1)
				c.Parts[i+1].Seq -= uint32(n)
				c.Parts[i+1].Data = append(slices.Clone(c.Parts[i].Data[len(c.Parts[i].Data)-n:]), c.Parts[i+1].Data...)
				break
			}
		}
	case 7: // in fragments
		c.Parts[pick()].Fragments = 2 + rnd.IntN(3)
	}
	return false
}

// trusted is how far a half's bytes reach without a hole, in the packets that are there.
func trusted(c *synth.Conn, dir int, isn uint32) int {
	type span struct{ from, to int }
	var spans []span
	for _, p := range c.Parts {
		if p.Direction == dir && len(p.Data) > p.Truncated {
			from := int(int32(p.Seq - isn - 1))
			spans = append(spans, span{from, from + len(p.Data) - p.Truncated})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.from - b.from })
	reach := 0
	for _, s := range spans {
		if s.from <= reach {
			reach = max(reach, s.to)
		}
	}
	return reach
}

// file writes packets as a file of the kind.
func file(t *testing.T, kind int, link synth.Link, packets []synth.Packet) []byte {
	t.Helper()
	var buf bytes.Buffer
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	info := func(p synth.Packet) gopacket.CaptureInfo {
		return gopacket.CaptureInfo{Timestamp: p.Time, CaptureLength: len(p.Data), Length: p.WireLength}
	}
	switch kind {
	case 0, 1:
		w := pcapgo.NewWriter(&buf)
		if kind == 1 {
			w = pcapgo.NewWriterNanos(&buf)
		}
		check(w.WriteFileHeader(1<<18, link.Type()))
		for _, p := range packets {
			check(w.WritePacket(info(p), p.Data))
		}
	default:
		w, err := pcapgo.NewNgWriter(&buf, link.Type())
		check(err)
		for _, p := range packets {
			check(w.WritePacket(info(p), p.Data))
		}
		check(w.Flush())
	}
	if kind == 3 {
		var z bytes.Buffer
		w := gzip.NewWriter(&z)
		_, err := w.Write(buf.Bytes())
		check(err)
		check(w.Close())
		return z.Bytes()
	}
	return buf.Bytes()
}

var noon = time.Date(2026, 12, 24, 12, 0, 0, 0, time.UTC)

// interleave frames all parts of all connections, each in its order, mixed.
func interleave(t *testing.T, rnd *rand.Rand, talks []*talk) []synth.Packet {
	t.Helper()
	left := make([][]synth.Part, len(talks))
	for i, x := range talks {
		left[i] = x.conn.Parts
	}
	var out []synth.Packet
	for now := noon; ; now = now.Add(time.Duration(rnd.IntN(2000)) * time.Microsecond) {
		var open []int
		for i, l := range left {
			if len(l) > 0 {
				open = append(open, i)
			}
		}
		if open == nil {
			return out
		}
		i := open[rnd.IntN(len(open))]
		packets, err := talks[i].conn.Packets(left[i][0], now)
		if err != nil {
			t.Fatal(err)
		}
		if left[i] = left[i][1:]; len(packets) > 1 && rnd.IntN(2) == 0 {
			slices.Reverse(packets)
		}
		out = append(out, packets...)
	}
}

func read(t *testing.T, data []byte) (*found, *Summary) {
	t.Helper()
	f := newFound()
	sum, err := Read(context.Background(), bytes.NewReader(data), Options{}, f)
	if err != nil {
		t.Fatal(err)
	}
	if err := sum.Check(); err != nil {
		t.Error(err)
	}
	return f, sum
}

// Captures with every fault, mixed: each request that was whole in the packets comes out byte for byte, each flow with a
// fault that cannot be made good is reported, and every byte is accounted for.
func TestWhatWasWholeComesOutByteForByte(t *testing.T) {
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 15))
		link := synth.Link(rnd.IntN(int(synth.LinkCount)))
		var talks []*talk
		must := map[netip.AddrPort]bool{}
		isn := map[*talk][2]uint32{}
		for i := range 1 + rnd.IntN(5) {
			x := makeTalk(rnd, i)
			x.conn.Link = link
			isn[x] = [2]uint32{x.conn.Parts[0].Seq, x.conn.Parts[1].Seq}
			for range rnd.IntN(3) {
				if spoil(rnd, x.conn) {
					must[x.conn.Client] = true
				}
			}
			talks = append(talks, x)
		}
		got, sum := read(t, file(t, int(seed%4), link, interleave(t, rnd, talks)))
		if !sum.Complete() || sum.Malformed > 0 || sum.DiscardedFragments > 0 {
			t.Errorf("seed %d: %+v", seed, sum)
		}
		texts := map[string]*http.Exchange{}
		reported := map[netip.AddrPort]int{}
		for _, e := range got.exchanges {
			if e.Request != nil {
				texts[e.Request.FieldValue("Request-Id")] = e
			}
			reported[e.Flow.Addresses[0]] += got.faults(e.Flow.ID)
		}
		for id, faults := range got.segments {
			reported[faults[0].Flow.Addresses[0]] += got.faults(id)
		}
		for _, x := range talks {
			reach := [2]int{trusted(x.conn, 0, isn[x][0]), trusted(x.conn, 1, isn[x][1])}
			for n, m := range x.asked {
				id, _, _ := strings.Cut(m.text[strings.Index(m.text, "Request-Id: ")+12:], "\r\n")
				e := texts[id]
				if m.end > reach[0] {
					continue
				}
				if e == nil {
					t.Fatalf("seed %d: request %s was whole up to %d of %d and did not come out", seed, id, m.end, reach[0])
				}
				if got.bodies[e.Request] != m.body || !strings.HasPrefix(m.text, string(e.Request.RawHead)) {
					t.Fatalf("seed %d: request %s came out changed", seed, id)
				}
				if told := x.told[n]; told.end <= reach[1] && (e.Response == nil || got.bodies[e.Response] != told.body) {
					t.Fatalf("seed %d: the answer to %s came out changed, or not at all", seed, id)
				}
			}
			if must[x.conn.Client] && reported[x.conn.Client] == 0 {
				t.Fatalf("seed %d: nothing is reported of %v, which was spoilt", seed, x.conn.Client)
			}
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// A file that is cut anywhere is read up to there, and says so.
func TestATruncatedFileIsReadAsFarAsItGoes(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	x := makeTalk(rnd, 1)
	x.conn.Link = synth.Ethernet
	packets := interleave(t, rnd, []*talk{x})
	for kind := range 4 {
		data := file(t, kind, synth.Ethernet, packets)
		last := int64(-1)
		for n := len(data) / 7; n < len(data); n += 1 + len(data)/97 {
			f := newFound()
			sum, err := Read(context.Background(), bytes.NewReader(data[:n]), Options{}, f)
			if err != nil {
				t.Fatalf("kind %d, %d bytes: %v", kind, n, err)
			}
			if err := sum.Check(); err != nil {
				t.Errorf("kind %d, %d bytes: %v", kind, n, err)
			}
			if sum.Packets < last {
				t.Errorf("kind %d, %d bytes: %d packets, with fewer bytes %d", kind, n, sum.Packets, last)
			}
			if last = sum.Packets; sum.Complete() && sum.Packets == int64(len(packets)) {
				t.Errorf("kind %d: %d of %d bytes pass for the whole file", kind, n, len(data))
			}
		}
	}
	for _, bad := range []string{"", "abc", "no capture at all", "\x1f\x8bno gzip"} {
		if _, err := Read(context.Background(), strings.NewReader(bad), Options{}, newFound()); err == nil || !strings.Contains(err.Error(), "capture: ") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// A reading can be broken off.
func TestAReadingHeedsItsContext(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	x := makeTalk(rnd, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	data := file(t, 0, x.conn.Link, interleave(t, rnd, []*talk{x}))
	if _, err := Read(ctx, bytes.NewReader(data), Options{}, newFound()); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

// FuzzRead: go test -fuzz FuzzRead -fuzztime 60s ./internal/pcap
func FuzzRead(f *testing.F) {
	rnd := rand.New(rand.NewPCG(2, 2))
	for kind := range 4 {
		x := makeTalk(rnd, 1)
		x.conn.Parts = x.conn.Parts[:min(12, len(x.conn.Parts))]
		var packets []synth.Packet
		for _, p := range x.conn.Parts {
			one, err := x.conn.Packets(p, noon)
			if err != nil {
				f.Fatal(err)
			}
			packets = append(packets, one...)
		}
		var buf bytes.Buffer
		w := pcapgo.NewWriter(&buf)
		if err := w.WriteFileHeader(1<<16, x.conn.Link.Type()); err != nil {
			f.Fatal(err)
		}
		for _, p := range packets {
			if err := w.WritePacket(gopacket.CaptureInfo{Timestamp: p.Time, CaptureLength: len(p.Data), Length: p.WireLength}, p.Data); err != nil {
				f.Fatal(err)
			}
		}
		f.Add(buf.Bytes()[:buf.Len()-kind])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		sum, err := Read(context.Background(), bytes.NewReader(data), Options{Flow: flow.Limits{Flows: 8, Pending: 4096}}, newFound())
		if err != nil {
			return
		}
		if err := sum.Check(); err != nil {
			t.Error(err)
		}
	})
}
