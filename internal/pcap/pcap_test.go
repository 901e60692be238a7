package pcap

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/synth"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/pcapgo"
)

// In captures with random faults of all kinds, each message that is complete in the packets is read
// byte for byte, each flow with an irreparable fault is reported, and every byte is accounted for.
func TestCompleteMessagesAreReadByteForByte(t *testing.T) {
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 15))
		link := synth.Link(rnd.IntN(int(synth.LinkCount)))
		var conns []*generatedConn
		mustBeReported := map[netip.AddrPort]bool{}
		for i := range 1 + rnd.IntN(5) {
			g := generateConn(rnd, i)
			g.conn.Link = link
			for range rnd.IntN(3) {
				if injectFault(rnd, g.conn) {
					mustBeReported[g.conn.Client] = true
				}
			}
			conns = append(conns, g)
		}
		file := encodeFile(t, fileFormat(seed%uint64(fileFormatCount)), link, interleave(t, rnd, conns))
		sink, summary := readCapture(t, file)
		if !summary.Complete() || summary.Malformed > 0 || summary.DiscardedFragments > 0 {
			t.Errorf("seed %d: got summary %+v, want a complete one without malformed packets", seed, summary)
		}
		exchanges, faults := sink.byRequestID(), sink.faultsByClient()
		for _, g := range conns {
			checkMessages(t, seed, g, exchanges, sink.bodies)
			if mustBeReported[g.conn.Client] && faults[g.conn.Client] == 0 {
				t.Fatalf("seed %d: no fault of client %v is reported, want at least one", seed, g.conn.Client)
			}
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// byRequestID returns the exchanges by request ID.
func (r *recorder) byRequestID() map[string]*http.Exchange {
	exchanges := map[string]*http.Exchange{}
	for _, e := range r.exchanges {
		if e.Request != nil {
			exchanges[e.Request.FieldValue("Request-Id")] = e
		}
	}
	return exchanges
}

// faultsByClient returns a number for each client that is 0 if and only if the client has no
// faults.
func (r *recorder) faultsByClient() map[netip.AddrPort]int {
	faults := map[netip.AddrPort]int{}
	for _, e := range r.exchanges {
		faults[e.Flow.Addresses[0]] += r.faultCount(e.Flow.ID)
	}
	for id, ofFlow := range r.segmentFaults {
		faults[ofFlow[0].Flow.Addresses[0]] += r.faultCount(id)
	}
	return faults
}

// checkMessages checks that all messages that are complete in the packets of a connection were
// read.
func checkMessages(
	t *testing.T, seed uint64, g *generatedConn, exchanges map[string]*http.Exchange, bodies map[*http.Message]string,
) {
	t.Helper()
	contiguous := [2]int{g.contiguousBytes(0), g.contiguousBytes(1)}
	for n, request := range g.requests {
		if request.end > contiguous[0] {
			continue
		}
		_, rest, _ := strings.Cut(request.text, "Request-Id: ")
		id, _, _ := strings.Cut(rest, "\r\n")
		e := exchanges[id]
		if e == nil {
			t.Fatalf("seed %d: request %s was not read: it ends at byte %d of %d contiguous ones",
				seed, id, request.end, contiguous[0])
		}
		if bodies[e.Request] != request.body || !strings.HasPrefix(request.text, string(e.Request.RawHead)) {
			t.Fatalf("seed %d: request %s was read with another head or body", seed, id)
		}
		response := g.responses[n]
		if response.end <= contiguous[1] && (e.Response == nil || bodies[e.Response] != response.body) {
			t.Fatalf("seed %d: the response to %s was not read, or was read with another body", seed, id)
		}
	}
}

// A file that is truncated at any byte is read up to that byte, and the summary says that the file
// is incomplete.
func TestTruncatedFileIsReadAsFarAsPossible(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	g := generateConn(rnd, 1)
	g.conn.Link = synth.Ethernet
	packets := interleave(t, rnd, []*generatedConn{g})
	for format := range fileFormatCount {
		data := encodeFile(t, format, synth.Ethernet, packets)
		lastPackets := int64(-1)
		for n := len(data) / 7; n < len(data); n += 1 + len(data)/97 {
			summary, err := Read(context.Background(), bytes.NewReader(data[:n]), Options{}, newRecorder())
			if err != nil {
				t.Fatalf("format %d, %d bytes: %v", format, n, err)
			}
			if err := summary.Check(); err != nil {
				t.Errorf("format %d, %d bytes: %v", format, n, err)
			}
			if summary.Packets < lastPackets {
				t.Errorf("format %d, %d bytes: got %d packets, want at least the %d packets of a shorter prefix",
					format, n, summary.Packets, lastPackets)
			}
			lastPackets = summary.Packets
			if summary.Complete() && summary.Packets == int64(len(packets)) {
				t.Errorf("format %d: %d of %d bytes were read as a complete file", format, n, len(data))
			}
		}
	}
	for _, noCapture := range []string{"", "abc", "no capture at all", "\x1f\x8bno gzip"} {
		_, err := Read(context.Background(), strings.NewReader(noCapture), Options{}, newRecorder())
		if err == nil || !strings.Contains(err.Error(), "capture: ") {
			t.Errorf("input %q: got error %v", noCapture, err)
		}
	}
}

func TestReadEndsWithContext(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	g := generateConn(rnd, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	data := encodeFile(t, pcapMicroseconds, g.conn.Link, interleave(t, rnd, []*generatedConn{g}))
	_, err := Read(ctx, bytes.NewReader(data), Options{}, newRecorder())
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
}

// FuzzRead runs with: go test -fuzz FuzzRead -fuzztime 60s ./internal/pcap.
func FuzzRead(f *testing.F) {
	rnd := rand.New(rand.NewPCG(2, 2))
	for cutBytes := range 4 {
		g := generateConn(rnd, 1)
		g.conn.Parts = g.conn.Parts[:min(12, len(g.conn.Parts))]
		data := encodeFuzzSeed(f, g.conn)
		f.Add(data[:len(data)-cutBytes])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		opts := Options{Flow: flow.Limits{Flows: 8, Pending: 4096}}
		summary, err := Read(context.Background(), bytes.NewReader(data), opts, newRecorder())
		if err != nil {
			return
		}
		if err := summary.Check(); err != nil {
			t.Error(err)
		}
	})
}

// encodeFuzzSeed returns a pcap file with the packets of a connection.
func encodeFuzzSeed(f *testing.F, c *synth.Conn) []byte {
	f.Helper()
	var buf bytes.Buffer
	w := pcapgo.NewWriter(&buf)
	if err := w.WriteFileHeader(1<<16, c.Link.Type()); err != nil {
		f.Fatal(err)
	}
	for _, part := range c.Parts {
		packets, err := c.Packets(part, noon)
		if err != nil {
			f.Fatal(err)
		}
		for _, p := range packets {
			info := gopacket.CaptureInfo{Timestamp: p.Time, CaptureLength: len(p.Data), Length: p.WireLength}
			if err := w.WritePacket(info, p.Data); err != nil {
				f.Fatal(err)
			}
		}
	}
	return buf.Bytes()
}
