package pcap

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/pcap/capture"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/packet"
	"fernlanding/internal/pcap/synth"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
	"github.com/gopacket/gopacket/reassembly"
)

// benchBytes is the size of each made capture.
const benchBytes = 1 << 30

// endless repeats a capture's packets up to a size. The sequence numbers of a connection that never ends go on.
type endless struct {
	head, block []byte
	left        int64
	pos         int
	seqs        []seqPlace
}

// seqPlace is where a packet of the block has its sequence number, and by how much that grows in each block.
type seqPlace struct {
	at   int
	step uint32
}

func (e *endless) Read(p []byte) (int, error) {
	if len(e.head) > 0 {
		n := copy(p, e.head)
		e.head = e.head[n:]
		return n, nil
	}
	if e.left <= 0 {
		return 0, io.EOF
	}
	n := copy(p, e.block[e.pos:])
	e.left -= int64(n)
	if e.pos += n; e.pos == len(e.block) {
		e.pos = 0
		for _, s := range e.seqs {
			b := e.block[s.at:]
			binary.BigEndian.PutUint32(b, binary.BigEndian.Uint32(b)+s.step)
		}
	}
	return n, nil
}

const (
	pcapHead   = 24 // bytes of a file's head
	recordHead = 16
	seqOffset  = 14 + 20 + 4 // of the sequence number in an Ethernet frame of TCP over IPv4 without options
)

func blockOf(b *testing.B, conns []*synth.Conn) (head, block []byte, seqs []int) {
	b.Helper()
	var buf bytes.Buffer
	w := pcapgo.NewWriter(&buf)
	if err := w.WriteFileHeader(1<<16, layers.LinkTypeEthernet); err != nil {
		b.Fatal(err)
	}
	for _, c := range conns {
		for _, p := range c.Parts {
			packets, err := c.Packets(p, noon)
			if err != nil {
				b.Fatal(err)
			}
			seqs = append(seqs, buf.Len()-pcapHead+recordHead+seqOffset)
			if err := w.WritePacket(gopacket.CaptureInfo{Timestamp: noon, CaptureLength: len(packets[0].Data), Length: packets[0].WireLength}, packets[0].Data); err != nil {
				b.Fatal(err)
			}
		}
	}
	return buf.Bytes()[:pcapHead], buf.Bytes()[pcapHead:], seqs
}

func exact(head string, n int) []byte {
	for body := n; ; body-- {
		m := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, body)
		if len(m)+body == n {
			return []byte(m + strings.Repeat("x", body))
		}
	}
}

// smallFlows is a thousand connections of two exchanges each, over and over.
func smallFlows(b *testing.B) io.Reader {
	var conns []*synth.Conn
	for i := range 1000 {
		c := synth.NewConn(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 4000), netip.MustParseAddrPort("10.9.0.1:80"), synth.Ethernet, [2]uint32{7, 7})
		c.Open()
		for range 2 {
			c.Send(0, exact("POST /u HTTP/1.1\r\n", 2800), 1400)
			c.Send(1, exact("HTTP/1.1 200 OK\r\n", 1400), 1400)
		}
		c.Close()
		conns = append(conns, c)
	}
	head, block, _ := blockOf(b, conns)
	return &endless{head: head, block: block, left: benchBytes}
}

// hugeFlow is one connection that never ends.
func hugeFlow(b *testing.B) io.Reader {
	c := synth.NewConn(netip.MustParseAddrPort("10.0.0.1:4000"), netip.MustParseAddrPort("10.9.0.1:80"), synth.Ethernet, [2]uint32{7, 7})
	for range 100 {
		c.Send(0, exact("POST /u HTTP/1.1\r\n", 1400), 1400)
		c.Send(1, exact("HTTP/1.1 200 OK\r\n", 1400), 1400)
	}
	head, block, at := blockOf(b, []*synth.Conn{c})
	e := &endless{head: head, block: block, left: benchBytes}
	for _, a := range at {
		e.seqs = append(e.seqs, seqPlace{a, 100 * 1400})
	}
	return e
}

// openFlows is connections that never end, each with one packet.
func openFlows(b *testing.B, n int) io.Reader {
	var conns []*synth.Conn
	for i := range n {
		c := synth.NewConn(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4000), netip.MustParseAddrPort("10.9.0.1:80"), synth.Ethernet, [2]uint32{7, 7})
		c.Send(0, []byte("POST /u HTTP/1.1\r\n"), 1400)
		conns = append(conns, c)
	}
	head, block, _ := blockOf(b, conns)
	return io.MultiReader(bytes.NewReader(head), bytes.NewReader(block))
}

// counting is a Sink that counts.
type counting struct{ exchanges, faults int }

func (c *counting) Exchange(*http.Exchange)                            { c.exchanges++ }
func (c *counting) StreamFault(*flow.Flow, flow.Direction, http.Fault) { c.faults++ }
func (c *counting) SegmentFault(flow.Fault)                            { c.faults++ }
func (c *counting) FlowEnded(*flow.Flow, flow.EndReason)               {}

// discard is a flow.Sink that counts bytes, and a Stream of the library's.
type discard struct{ bytes int64 }

func (d *discard) Opened(*flow.Flow)                                {}
func (d *discard) Broken(*flow.Flow, flow.Direction, int64, string) {}
func (d *discard) Finished(*flow.Flow, flow.Direction)              {}
func (d *discard) Fault(flow.Fault)                                 {}
func (d *discard) Ended(*flow.Flow, flow.EndReason)                 {}
func (d *discard) Data(_ *flow.Flow, _ flow.Direction, _ int64, data []byte, _ int64, _ time.Time) {
	d.bytes += int64(len(data))
}

func (d *discard) New(_, _ gopacket.Flow, _ *layers.TCP, _ reassembly.AssemblerContext) reassembly.Stream {
	return d
}

func (d *discard) Accept(_ *layers.TCP, _ gopacket.CaptureInfo, _ reassembly.TCPFlowDirection, _ reassembly.Sequence, start *bool, _ reassembly.AssemblerContext) bool {
	*start = *start || d.bytes == 0 // the first of all may have no SYN
	return true
}

func (d *discard) ReassembledSG(sg reassembly.ScatterGather, _ reassembly.AssemblerContext) {
	n, _ := sg.Lengths()
	d.bytes += int64(len(sg.Fetch(n)))
}
func (d *discard) ReassemblyComplete(reassembly.AssemblerContext) bool { return true }

// peak samples the heap.
type peak struct {
	io.Reader
	n    int
	base uint64
	most uint64
}

func newPeak(r io.Reader) *peak {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return &peak{Reader: r, base: m.HeapAlloc}
}

func (p *peak) Read(b []byte) (int, error) {
	if p.n++; p.n%256 == 0 {
		p.look()
	}
	return p.Reader.Read(b)
}

func (p *peak) look() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if m.HeapAlloc > p.base {
		p.most = max(p.most, m.HeapAlloc-p.base)
	}
}

// BenchmarkGigabyte reads a gigabyte: with HTTP, flows alone, and flows alone by the library's own reassembly.
//
//	go test -run - -bench Gigabyte -benchtime 1x -cpu 1 ./internal/pcap
func BenchmarkGigabyte(b *testing.B) {
	for _, kind := range []struct {
		name string
		from func(*testing.B) io.Reader
	}{{"small", smallFlows}, {"huge", hugeFlow}} {
		b.Run(kind.name+"/http", func(b *testing.B) {
			for b.Loop() {
				r := newPeak(kind.from(b))
				sink := &counting{}
				sum, err := Read(context.Background(), r, Options{}, sink)
				if err != nil || sum.Check() != nil || sum.Stream.Request == 0 {
					b.Fatalf("%v, %v", err, sum)
				}
				b.ReportMetric(float64(r.most)/(1<<20), "peak-MB")
			}
			b.SetBytes(benchBytes)
		})
		b.Run(kind.name+"/flows", func(b *testing.B) {
			for b.Loop() {
				r := newPeak(kind.from(b))
				sink := &discard{}
				file, err := capture.Open(r)
				if err != nil {
					b.Fatal(err)
				}
				a, d := flow.New(flow.Limits{}, sink), packet.New()
				var s flow.Segment
				for {
					p, err := file.Next()
					if err != nil {
						break
					}
					if k, _ := d.Decode(&p, &s); k == packet.Segment {
						a.Add(&s)
					}
				}
				a.Close()
				if sink.bytes < benchBytes/2 {
					b.Fatalf("%d bytes", sink.bytes)
				}
				b.ReportMetric(float64(r.most)/(1<<20), "peak-MB")
			}
			b.SetBytes(benchBytes)
		})
		b.Run(kind.name+"/library", func(b *testing.B) {
			for b.Loop() {
				r := newPeak(kind.from(b))
				sink := &discard{}
				file, err := pcapgo.NewReader(r)
				if err != nil {
					b.Fatal(err)
				}
				a := reassembly.NewAssembler(reassembly.NewStreamPool(sink))
				var eth layers.Ethernet
				var ip layers.IPv4
				var tcp layers.TCP
				var payload gopacket.Payload
				parser := gopacket.NewDecodingLayerParser(layers.LayerTypeEthernet, &eth, &ip, &tcp, &payload)
				var decoded []gopacket.LayerType
				for {
					data, _, err := file.ZeroCopyReadPacketData()
					if err != nil {
						break
					}
					if err := parser.DecodeLayers(data, &decoded); err == nil {
						a.Assemble(ip.NetworkFlow(), &tcp)
					}
				}
				a.FlushAll()
				if sink.bytes < benchBytes/2 {
					b.Fatalf("%d bytes", sink.bytes)
				}
				b.ReportMetric(float64(r.most)/(1<<20), "peak-MB")
			}
			b.SetBytes(benchBytes)
		})
	}
}

// BenchmarkOpenFlows is the memory of connections that never end.
func BenchmarkOpenFlows(b *testing.B) {
	for _, n := range []int{1000, 10_000, 60_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				r := newPeak(openFlows(b, n))
				open := &atEnd{Reader: r}
				if _, err := Read(context.Background(), open, Options{}, &counting{}); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(open.heap-r.base)/float64(n), "B/flow")
			}
		})
	}
}

// atEnd looks at the heap when the input is over and all flows are still open.
type atEnd struct {
	io.Reader
	heap uint64
}

func (a *atEnd) Read(b []byte) (int, error) {
	n, err := a.Reader.Read(b)
	if err != nil {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		a.heap = m.HeapAlloc
	}
	return n, err
}
