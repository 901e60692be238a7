package pcap

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"fernlanding/internal/pcap/capture"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/packet"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
	"github.com/gopacket/gopacket/reassembly"
)

// ignoringSink is a Sink that discards everything.
type ignoringSink struct{}

func (ignoringSink) Exchange(*http.Exchange)                            {}
func (ignoringSink) StreamFault(*flow.Flow, flow.Direction, http.Fault) {}
func (ignoringSink) SegmentFault(flow.Fault)                            {}
func (ignoringSink) FlowEnded(*flow.Flow, flow.EndReason)               {}

// byteCounter is a flow.Sink and a reassembly.Stream that counts bytes.
type byteCounter struct{ bytes int64 }

func (c *byteCounter) Opened(*flow.Flow)                                {}
func (c *byteCounter) Broken(*flow.Flow, flow.Direction, int64, string) {}
func (c *byteCounter) Finished(*flow.Flow, flow.Direction)              {}
func (c *byteCounter) Fault(flow.Fault)                                 {}
func (c *byteCounter) Ended(*flow.Flow, flow.EndReason)                 {}

func (c *byteCounter) Data(_ *flow.Flow, _ flow.Direction, _ int64, data []byte, _ int64, _ time.Time) {
	c.bytes += int64(len(data))
}

func (c *byteCounter) New(_, _ gopacket.Flow, _ *layers.TCP, _ reassembly.AssemblerContext) reassembly.Stream {
	return c
}

func (c *byteCounter) Accept(
	_ *layers.TCP, _ gopacket.CaptureInfo, _ reassembly.TCPFlowDirection, _ reassembly.Sequence,
	start *bool, _ reassembly.AssemblerContext,
) bool {
	*start = *start || c.bytes == 0 // the first segment of the capture need not be a SYN
	return true
}

func (c *byteCounter) ReassembledSG(sg reassembly.ScatterGather, _ reassembly.AssemblerContext) {
	n, _ := sg.Lengths()
	c.bytes += int64(len(sg.Fetch(n)))
}

func (c *byteCounter) ReassemblyComplete(reassembly.AssemblerContext) bool { return true }

// heapBytes returns the size of the allocated heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heapSampler is a reader that samples the heap size while a capture is read from it.
type heapSampler struct {
	io.Reader
	reads    int
	baseline uint64 // bytes before the capture is read
	peak     uint64 // bytes above the baseline
}

func newHeapSampler(r io.Reader) *heapSampler {
	runtime.GC()
	return &heapSampler{Reader: r, baseline: heapBytes()}
}

func (s *heapSampler) Read(b []byte) (int, error) {
	s.reads++
	if s.reads%256 == 0 {
		s.sample()
	}
	return s.Reader.Read(b)
}

func (s *heapSampler) sample() {
	if heap := heapBytes(); heap > s.baseline {
		s.peak = max(s.peak, heap-s.baseline)
	}
}

// BenchmarkGigabyte reads 1 GiB with HTTP parsing, with flow reassembly only, and with the
// reassembly of the gopacket library.
//
//	go test -run - -bench Gigabyte -benchtime 1x -cpu 1 ./internal/pcap
func BenchmarkGigabyte(b *testing.B) {
	for _, input := range []struct {
		name string
		open func(*testing.B) io.Reader
	}{{"small", shortConnections}, {"huge", endlessConnection}} {
		for _, read := range []struct {
			name string
			read func(*testing.B, io.Reader)
		}{{"http", readHTTP}, {"flows", readFlows}, {"library", readByLibrary}} {
			b.Run(input.name+"/"+read.name, func(b *testing.B) {
				for b.Loop() {
					sampler := newHeapSampler(input.open(b))
					read.read(b, sampler)
					b.ReportMetric(float64(sampler.peak)/(1<<20), "peak-MB")
				}
				b.SetBytes(benchBytes)
			})
		}
	}
}

// readHTTP reads the requests and responses of a capture.
func readHTTP(b *testing.B, input io.Reader) {
	b.Helper()
	summary, err := Read(context.Background(), input, Options{}, ignoringSink{})
	if err != nil || summary.Check() != nil || summary.Stream.Request == 0 {
		b.Fatalf("got error %v, summary %v", err, summary)
	}
}

// readFlows reassembles the streams of a capture.
func readFlows(b *testing.B, input io.Reader) {
	b.Helper()
	sink := &byteCounter{}
	packets, err := capture.Open(input)
	if err != nil {
		b.Fatal(err)
	}
	assembler, decoder := flow.New(flow.Limits{}, sink), packet.New()
	var segment flow.Segment
	for {
		p, err := packets.Next()
		if err != nil {
			break
		}
		if kind, _ := decoder.Decode(&p, &segment); kind == packet.Segment {
			assembler.Add(&segment)
		}
	}
	assembler.Close()
	if sink.bytes < benchBytes/2 {
		b.Fatalf("got %d bytes, want at least %d", sink.bytes, benchBytes/2)
	}
}

// readByLibrary reassembles the streams of a capture with the gopacket library.
func readByLibrary(b *testing.B, input io.Reader) {
	b.Helper()
	sink := &byteCounter{}
	packets, err := pcapgo.NewReader(input)
	if err != nil {
		b.Fatal(err)
	}
	assembler := reassembly.NewAssembler(reassembly.NewStreamPool(sink))
	var ethernet layers.Ethernet
	var ip layers.IPv4
	var tcp layers.TCP
	var payload gopacket.Payload
	parser := gopacket.NewDecodingLayerParser(layers.LayerTypeEthernet, &ethernet, &ip, &tcp, &payload)
	var decoded []gopacket.LayerType
	for {
		data, _, err := packets.ZeroCopyReadPacketData()
		if err != nil {
			break
		}
		if err := parser.DecodeLayers(data, &decoded); err == nil {
			assembler.Assemble(ip.NetworkFlow(), &tcp)
		}
	}
	assembler.FlushAll()
	if sink.bytes < benchBytes/2 {
		b.Fatalf("got %d bytes, want at least %d", sink.bytes, benchBytes/2)
	}
}

// BenchmarkOpenFlows measures the memory per flow of connections that never end.
func BenchmarkOpenFlows(b *testing.B) {
	for _, n := range []int{1000, 10_000, 60_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				sampler := newHeapSampler(openConnections(b, n))
				input := &heapAtEnd{Reader: sampler}
				if _, err := Read(context.Background(), input, Options{}, ignoringSink{}); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(input.heap-sampler.baseline)/float64(n), "B/flow")
			}
		})
	}
}

// heapAtEnd is a reader that measures the heap size at the end of the input, when all flows are
// still open.
type heapAtEnd struct {
	io.Reader
	heap uint64
}

func (h *heapAtEnd) Read(b []byte) (int, error) {
	n, err := h.Reader.Read(b)
	if err != nil {
		runtime.GC()
		h.heap = heapBytes()
	}
	return n, err
}
