package write

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/pcap"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"

	"github.com/gopacket/gopacket/pcapgo"
)

var (
	clientAddr = netip.MustParseAddrPort("127.0.0.1:4000")
	serverAddr = netip.MustParseAddrPort("[::1]:80")
	noon       = time.Date(2026, 12, 24, 12, 0, 0, 0, time.UTC)
)

// recorder is a Sink that counts exchanges and records the ends of flows and the faults.
type recorder struct {
	ends     []flow.EndReason
	requests int // number of exchanges
	faults   []string
}

func (r *recorder) Exchange(*http.Exchange) { r.requests++ }

func (r *recorder) StreamFault(_ *flow.Flow, _ flow.Direction, fault http.Fault) {
	r.faults = append(r.faults, string(fault.Kind))
}

func (r *recorder) SegmentFault(fault flow.Fault) {
	r.faults = append(r.faults, string(fault.Kind))
}

func (r *recorder) FlowEnded(_ *flow.Flow, reason flow.EndReason) {
	r.ends = append(r.ends, reason)
}

// Closes, resets, both interfaces and the comments are read as they were written.
func TestWrittenFileReadsBack(t *testing.T) {
	var buf bytes.Buffer
	f, err := New(&buf, 0, "client", "upstream")
	if err != nil {
		t.Fatal(err)
	}
	closed := f.Open(0, clientAddr, netip.MustParseAddrPort("127.0.0.1:80"), noon)
	reset := f.Open(1, netip.MustParseAddrPort("[::1]:4001"), serverAddr, noon)
	request := []byte("POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("x", 3000))
	for _, c := range []*Conn{closed, reset} {
		c.Data(0, request, noon, "request r1, attempt 1")
		c.Data(1, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), noon, "")
	}
	closed.Close(false, 0, noon)
	closed.Data(0, []byte("late"), noon, "") // nothing is written after Close
	closed.Close(true, 0, noon)
	reset.Close(true, 1, noon)
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	file := bytes.Clone(buf.Bytes())
	got := &recorder{}
	sum, err := pcap.Read(context.Background(), &buf, pcap.Options{}, got)
	if err != nil || sum.Check() != nil || !sum.Complete() || got.requests != 2 || got.faults != nil {
		t.Errorf("got %+v, error %v, summary %+v", got, err, sum)
	}
	if len(got.ends) != 2 || got.ends[0] != flow.Closed || got.ends[1] != flow.Reset {
		t.Errorf("got ends %v, want closed and reset", got.ends)
	}
	r, err := pcapgo.NewNgReader(bytes.NewReader(file), pcapgo.NgReaderOptions{})
	if err != nil {
		t.Fatal(err)
	}
	packets, comments := map[int]int{}, 0
	for {
		_, info, opts, err := r.ReadPacketDataWithOptions()
		if err != nil {
			break
		}
		packets[info.InterfaceIndex]++
		for _, c := range opts.Comments {
			if c == "request r1, attempt 1" {
				comments++
			}
		}
	}
	if packets[0] == 0 || packets[1] == 0 || comments != 2 {
		t.Errorf("got packets %v by interface and %d comments, want packets of both interfaces and 2 comments",
			packets, comments)
	}
}

// fakeDisk is a writer that fails after a number of bytes.
type fakeDisk struct{ remaining int }

var errDiskFull = errors.New("no space left on device")

func (d *fakeDisk) Write(p []byte) (int, error) {
	d.remaining -= len(p)
	if d.remaining < 0 {
		return 0, errDiskFull
	}
	return len(p), nil
}

// A full disk and the size limit stop the file only: writes to the connection continue, and Flush
// returns the error.
func TestFullDiskStopsOnlyTheFile(t *testing.T) {
	for name, c := range map[string]struct {
		diskBytes int
		maxBytes  int64
		want      error
	}{
		"disk": {diskBytes: 8 << 10, want: errDiskFull},
		"file": {diskBytes: 1 << 30, maxBytes: 2 << 10, want: ErrFull},
	} {
		f, err := New(&fakeDisk{c.diskBytes}, c.maxBytes, "client")
		if err != nil {
			t.Fatal(err)
		}
		conn := f.Open(0, clientAddr, netip.MustParseAddrPort("127.0.0.1:80"), noon)
		for range 100 {
			conn.Data(0, make([]byte, 1000), noon, "")
		}
		conn.Close(false, 0, noon)
		if err := f.Flush(); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", name, err, c.want)
		}
		if err := f.Flush(); !errors.Is(err, c.want) {
			t.Errorf("%s, second flush: got error %v, want %v", name, err, c.want)
		}
	}
}
