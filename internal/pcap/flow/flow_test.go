package flow

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// recorder is a Sink that records what is reported to it.
type recorder struct {
	lines []string
	data  [2]string // by direction
}

func (r *recorder) record(format string, a ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, a...))
}
func (r *recorder) Opened(f *Flow) { r.record("open %d", f.ID) }
func (r *recorder) Broken(_ *Flow, d Direction, at int64, why string) {
	r.record("broken %d at %d: %s", d, at, why)
}
func (r *recorder) Finished(_ *Flow, d Direction) { r.record("finished %d", d) }
func (r *recorder) Fault(f Fault) {
	r.record("%s %d at %d: %d", f.Kind, f.Direction, f.Offset, f.Bytes)
}
func (r *recorder) Ended(f *Flow, why EndReason) { r.record("end %d: %s", f.ID, why) }
func (r *recorder) has(line string) bool {
	return strings.Contains("\n"+strings.Join(r.lines, "\n")+"\n", "\n"+line+"\n")
}

var (
	here  = netip.MustParseAddrPort("10.0.0.1:1000")
	there = netip.MustParseAddrPort("10.0.0.2:80")
)

// play adds segments that are encoded as words: "S100" is a SYN with sequence number 100, "101:abc"
// is data, "F104" a FIN, "R104" a RST, and "101:abc/5" data followed by 5 bytes that the capture
// does not have. A word that begins with "<" is a segment of the opposite direction.
func play(t *testing.T, a *Assembler, words ...string) {
	t.Helper()
	for i, w := range words {
		s := &Segment{Packet: int64(i + 1), Src: here, Dst: there}
		if rest, ok := strings.CutPrefix(w, "<"); ok {
			w, s.Src, s.Dst = rest, there, here
		}
		s.SYN, s.FIN, s.RST = w[0] == 'S', w[0] == 'F', w[0] == 'R'
		w = strings.TrimLeft(w, "SFR")
		head, data, _ := strings.Cut(w, ":")
		if d, cut, ok := strings.Cut(data, "/"); ok {
			data = d
			if _, err := fmt.Sscan(cut, &s.Missing); err != nil {
				t.Fatalf("%s: %v", w, err)
			}
		}
		if _, err := fmt.Sscan(head, &s.Seq); err != nil {
			t.Fatalf("%s: %v", w, err)
		}
		s.Payload = []byte(data)
		a.Add(s)
	}
}

func (r *recorder) Data(_ *Flow, d Direction, at int64, data []byte, _ int64, _ time.Time) {
	if int(at) != len(r.data[d]) {
		r.record("bytes %d at %d, after %d", d, at, len(r.data[d]))
	}
	r.data[d] += string(data)
}

func TestReassembly(t *testing.T) {
	for name, c := range map[string]struct {
		words  []string
		data   string // sent by the opener
		lines  []string
		limits Limits
	}{
		"in order": {
			words: []string{"S100", "101:abc", "104:def", "F107", "<S9", "<F10"}, data: "abcdef",
			lines: []string{"finished 0", "finished 1", "end 1: closed"},
		},
		"out of order": {
			words: []string{"S100", "104:def", "101:abc", "F107"}, data: "abcdef",
			lines: []string{"finished 0"},
		},
		"FIN before data": {
			words: []string{"S100", "F107", "104:def", "101:abc"}, data: "abcdef",
			lines: []string{"finished 0"},
		},
		"retransmitted SYN": {
			words: []string{"S100", "S100", "101:abc", "S100"}, data: "abc",
			lines: []string{"broken 0 at 3: end of the capture"},
		},
		"data on the SYN": {
			words: []string{"S100:ab", "103:c"}, data: "abc",
		},
		"retransmission": {
			words: []string{"S100", "101:abc", "101:abc", "101:abcd"}, data: "abcd",
		},
		"retransmission with different data": {
			words: []string{"S100", "101:abc", "101:aXc"}, data: "abc",
			lines: []string{"differing 0 at 0: 1"},
		},
		"overlap with buffered data": {
			words: []string{"S100", "103:cde", "102:bXd", "101:a"}, data: "abcde",
			lines: []string{"differing 0 at 2: 1"},
		},
		"covers buffered segments": {
			words: []string{"S100", "103:c", "105:e", "102:bcdef", "101:a"}, data: "abcdef",
		},
		"lost segment": {
			words: []string{"S100", "101:abc", "107:ghi", "F110"}, data: "abc",
			lines: []string{"gap 0 at 3: 3", "broken 0 at 3: gap"},
		},
		"sequence number wrap": {
			words: []string{"S4294967293", "4294967294:abcd", "2:ef"}, data: "abcdef",
		},
		"capture starts mid-flow": {
			words: []string{"500:abc", "503:def", "497:xyz"}, data: "abcdef",
			lines: []string{"early 0 at -3: 3"},
		},
		"truncated segment": {
			words: []string{"S100", "101:abc/3", "107:gh"}, data: "abc",
			lines: []string{"snap-cut 0 at 3: 3", "gap 0 at 3: 3"},
		},
		"truncated segment, retransmitted": {
			words: []string{"S100", "101:abc/3", "104:def", "107:gh"}, data: "abcdefgh",
			lines: []string{"snap-cut 0 at 3: 3"},
		},
		"reset": {
			words: []string{"S100", "101:abc", "<R1"}, data: "abc",
			lines: []string{"broken 0 at 3: reset", "end 1: reset"},
		},
		"ports reused": {
			words: []string{"S100", "101:abc", "S900", "901:def"}, data: "abcdef",
			lines: []string{"end 1: ports reused", "open 2", "bytes 0 at 0, after 3"},
		},
		"keep-alive": {
			words: []string{"S100", "101:abc", "103:\x00", "104:d"}, data: "abcd",
		},
		"data after the FIN": {
			words: []string{"S100", "101:abc", "F104", "105:xx"}, data: "abc",
			lines: []string{"after-close 0 at 4: 2"},
		},
		"out of window": {
			words: []string{"S100", "101:abc", "1500000000:zz"}, data: "abc",
			lines: []string{"stray 0 at 1499999899: 2"},
		},
		"buffer limit exceeded": {
			words: []string{"S100", "111:0123456789", "121:x", "101:abc"}, data: "",
			lines:  []string{"gap 0 at 0: 10"},
			limits: Limits{Pending: 10},
		},
		"gap filled after the limit": {
			words: []string{"S100", "101:abc", "111:0123456789", "104:defghij", "111:kl"}, data: "abc",
			lines:  []string{"gap 0 at 3: 7", "broken 0 at 3: gap"},
			limits: Limits{Pending: 5},
		},
		"bytes no longer retained": {
			words: []string{"S100", "101:abcdef", "101:abcdef"}, data: "abcdef",
			lines:  []string{"unheld 0 at 0: 4"},
			limits: Limits{Retained: 2},
		},
	} {
		r := &recorder{}
		a := New(c.limits, r)
		play(t, a, c.words...)
		a.Close()
		if r.data[0] != c.data {
			t.Errorf("%s: got %q, want %q", name, r.data[0], c.data)
		}
		for _, line := range c.lines {
			if !r.has(line) {
				t.Errorf("%s: %q is not in %q", name, line, r.lines)
			}
		}
		if got := a.ByteCounts(); got.Sum() != got.Payload {
			t.Errorf("%s: sum %d of the counts %+v, want Payload", name, got.Sum(), got)
		}
		if a.OpenFlows() != 0 || a.bufferedBytes != 0 {
			t.Errorf("%s: %d open flows and %d buffered bytes after Close, want 0",
				name, a.OpenFlows(), a.bufferedBytes)
		}
	}
}

// With 100,000 flows that never end, the number of open flows stays within the limit, and each
// eviction is reported.
func TestIdleFlowsAreEvicted(t *testing.T) {
	ends := counts{}
	a := New(Limits{Flows: 1000}, ends)
	maxOpen := 0
	for i := range 100_000 {
		src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), uint16(1+i>>16))
		a.Add(&Segment{Packet: int64(i), Src: src, Dst: there, Seq: 5, Payload: []byte("GET")})
		maxOpen = max(maxOpen, a.OpenFlows())
	}
	if maxOpen > 1000 || ends[Evicted] != 99_000 {
		t.Errorf("got up to %d open flows and ends %v, want at most 1000 open flows and 99000 evictions", maxOpen, ends)
	}
}

// counts is a Sink that counts the ends of flows by reason.
type counts map[EndReason]int

func (counts) Opened(*Flow)                                           {}
func (counts) Data(*Flow, Direction, int64, []byte, int64, time.Time) {}
func (counts) Broken(*Flow, Direction, int64, string)                 {}
func (counts) Finished(*Flow, Direction)                              {}
func (counts) Fault(Fault)                                            {}
func (c counts) Ended(_ *Flow, why EndReason)                         { c[why]++ }

// FuzzAdd runs with: go test -fuzz FuzzAdd -fuzztime 60s ./internal/pcap/flow.
func FuzzAdd(f *testing.F) {
	f.Add([]byte("S\x00\x00abc"))
	f.Add([]byte("\x05\x02\x03xyz\x00\x01\x00abc\x40\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a := New(Limits{Flows: 2, Pending: 64, Buffered: 96, Retained: 8}, &recorder{})
		for n := int64(1); len(b) >= 3; n++ {
			size := min(int(b[2])%16, len(b)-3)
			s := &Segment{
				Packet: n, Src: here, Dst: there, Seq: uint32(b[1])*3 - 20, Payload: b[3 : 3+size],
				SYN: b[0]&1 != 0, FIN: b[0]&2 != 0, RST: b[0]&4 != 0, Missing: int(b[0] >> 6),
			}
			if b[0]&8 != 0 {
				s.Src, s.Dst = s.Dst, s.Src
			}
			if b[0]&16 != 0 {
				s.Seq += 1 << 31
			}
			if b[0]&32 != 0 {
				s.Src = netip.AddrPortFrom(here.Addr(), uint16(b[1]))
			}
			a.Add(s)
			b = b[3+size:]
		}
		a.Close()
		if got := a.ByteCounts(); got.Sum() != got.Payload || a.bufferedBytes != 0 {
			t.Errorf("got counts %+v and %d buffered bytes after Close", got, a.bufferedBytes)
		}
	})
}
