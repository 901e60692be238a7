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
	here  = netip.MustParseAddrPort("127.0.0.1:4000")
	there = netip.MustParseAddrPort("[::1]:80")
	noon  = time.Date(2026, 12, 24, 12, 0, 0, 0, time.UTC)
)

// ends is a Sink that keeps ends and messages.
type ends struct {
	all      []flow.EndReason
	requests int
	faults   []string
}

func (e *ends) Exchange(x *http.Exchange) { e.requests++ }
func (e *ends) StreamFault(_ *flow.Flow, _ flow.Direction, f http.Fault) {
	e.faults = append(e.faults, string(f.Kind))
}

func (e *ends) SegmentFault(f flow.Fault)                  { e.faults = append(e.faults, string(f.Kind)) }
func (e *ends) FlowEnded(_ *flow.Flow, why flow.EndReason) { e.all = append(e.all, why) }

// Both closes, both sides and the comments come out as they went in.
func TestWhatIsWrittenReadsAsItWas(t *testing.T) {
	var buf bytes.Buffer
	f, err := New(&buf, 0, "client", "upstream")
	if err != nil {
		t.Fatal(err)
	}
	a := f.Open(0, here, netip.MustParseAddrPort("127.0.0.1:80"), noon)
	b := f.Open(1, netip.MustParseAddrPort("[::1]:4001"), there, noon)
	for _, c := range []*Conn{a, b} {
		c.Data(0, []byte("POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n"+strings.Repeat("x", 3000)), noon, "request r1, attempt 1")
		c.Data(1, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), noon, "")
	}
	a.Close(false, 0, noon)
	a.Data(0, []byte("late"), noon, "") // after its close nothing is written of a connection
	a.Close(true, 0, noon)
	b.Close(true, 1, noon)
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	file := bytes.Clone(buf.Bytes())
	got := &ends{}
	sum, err := pcap.Read(context.Background(), &buf, pcap.Options{}, got)
	if err != nil || sum.Check() != nil || !sum.Complete() || got.requests != 2 || got.faults != nil {
		t.Errorf("%+v, %v, %+v", got, err, sum)
	}
	if len(got.all) != 2 || got.all[0] != flow.Closed || got.all[1] != flow.Reset {
		t.Errorf("ends %v", got.all)
	}
	r, err := pcapgo.NewNgReader(bytes.NewReader(file), pcapgo.NgReaderOptions{})
	if err != nil {
		t.Fatal(err)
	}
	sides, comments := map[int]int{}, 0
	for {
		_, info, opts, err := r.ReadPacketDataWithOptions()
		if err != nil {
			break
		}
		sides[info.InterfaceIndex]++
		for _, c := range opts.Comments {
			if c == "request r1, attempt 1" {
				comments++
			}
		}
	}
	if sides[0] == 0 || sides[1] == 0 || comments != 2 {
		t.Errorf("packets by side %v, %d comments", sides, comments)
	}
}

// disk takes so many bytes.
type disk struct{ left int }

var errDisk = errors.New("no space left on device")

func (d *disk) Write(p []byte) (int, error) {
	if d.left -= len(p); d.left < 0 {
		return 0, errDisk
	}
	return len(p), nil
}

// A full disk and a full file stop the file. Whoever writes goes on, and is told once it asks.
func TestAFullDiskStopsTheFileAlone(t *testing.T) {
	for name, c := range map[string]struct {
		disk int
		most int64
		want error
	}{"disk": {8 << 10, 0, errDisk}, "file": {1 << 30, 2 << 10, ErrFull}} {
		f, err := New(&disk{c.disk}, c.most, "client")
		if err != nil {
			t.Fatal(err)
		}
		conn := f.Open(0, here, netip.MustParseAddrPort("127.0.0.1:80"), noon)
		for range 100 {
			conn.Data(0, make([]byte, 1000), noon, "")
		}
		conn.Close(false, 0, noon)
		if err := f.Flush(); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
		if err := f.Flush(); !errors.Is(err, c.want) {
			t.Errorf("%s, asked again: %v", name, err)
		}
	}
}
