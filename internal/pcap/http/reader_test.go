package http

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/pcap/flow"
)

// recorder is a Sink that records what is reported to it.
type recorder struct{ lines []string }

func (r *recorder) record(format string, a ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, a...))
}

func (r *recorder) SegmentFault(fault flow.Fault) { r.record("%s", fault.Kind) }

func (r *recorder) FlowEnded(_ *flow.Flow, reason flow.EndReason) { r.record("done %s", reason) }

func (r *recorder) StreamFault(_ *flow.Flow, dir flow.Direction, fault Fault) {
	r.record("%s %d at %d: %d", fault.Kind, dir, fault.Offset, fault.Bytes)
}

func (r *recorder) Exchange(e *Exchange) {
	request, response := "-", "-"
	if e.Request != nil {
		body, _ := e.Request.Body.Bytes()
		request = fmt.Sprintf("%s %s %q", e.Request.Method, e.Request.Target, body)
	}
	if e.Response != nil {
		body, _ := e.Response.Body.Bytes()
		response = fmt.Sprintf("%d %q +%d", e.Response.StatusCode, body, len(e.Response.Interim))
	}
	r.record("%s > %s", request, response)
}

// has reports whether a line was recorded.
func (r *recorder) has(line string) bool {
	return strings.Contains("\n"+strings.Join(r.lines, "\n")+"\n", "\n"+line+"\n")
}

// playConnection passes the data that both endpoints of a connection send to a Reader, in segments
// of a fixed size. Data that begins with "<" is sent by the server. Both streams end with a FIN, or
// are broken with the given reason.
func playConnection(sink Sink, limits Limits, segmentSize int, brokenBy string, sent ...string) ByteCounts {
	reader := NewReader(limits, nil, sink)
	f := &flow.Flow{ID: 1, Addresses: [2]netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:2"),
	}}
	reader.Opened(f)
	var offsets [2]int64
	for i, data := range sent {
		dir := flow.Direction(0)
		if rest, ok := strings.CutPrefix(data, "<"); ok {
			data, dir = rest, 1
		}
		for len(data) > 0 {
			n := min(segmentSize, len(data))
			reader.Data(f, dir, offsets[dir], []byte(data[:n]), int64(i+1), time.Time{})
			offsets[dir] += int64(n)
			data = data[n:]
		}
	}
	for dir := range flow.Direction(2) {
		if brokenBy == "" {
			reader.Finished(f, dir)
		} else {
			reader.Broken(f, dir, offsets[dir], brokenBy)
		}
	}
	reader.Ended(f, flow.Closed)
	return reader.ByteCounts()
}

const (
	get  = "GET /a HTTP/1.1\r\nHost: b\r\n\r\n"
	post = "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
	ok   = "<HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// connectionCase is a connection and the expected report of it.
type connectionCase struct {
	sent     []string
	brokenBy string
	limits   Limits
	want     []string
}

func TestMessagesAndFaultsOfAllKinds(t *testing.T) {
	for name, c := range connectionCases {
		for _, segmentSize := range []int{1, 7, 1 << 20} {
			sink := &recorder{}
			counts := playConnection(sink, c.limits, segmentSize, c.brokenBy, c.sent...)
			for _, line := range c.want {
				if !sink.has(line) {
					t.Errorf("%s, segments of %d bytes: %q is not in %q", name, segmentSize, line, sink.lines)
				}
			}
			total := int64(0)
			for _, data := range c.sent {
				total += int64(len(strings.TrimPrefix(data, "<")))
			}
			if counts.Sum() != counts.Bytes || counts.Bytes != total {
				t.Errorf("%s, segments of %d bytes: counts %+v of %d bytes", name, segmentSize, counts, total)
			}
		}
	}
}

// FuzzTalk runs with: go test -fuzz FuzzTalk -fuzztime 60s ./internal/pcap/http.
func FuzzTalk(f *testing.F) {
	f.Add(get+post, ok[1:], uint8(3))
	f.Add(
		"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 101 S\r\n\r\nxx", uint8(200))
	f.Fuzz(func(t *testing.T, request, response string, segmentSize uint8) {
		request = strings.TrimLeft(request, "<") // "<" marks the data of the server in playConnection
		limits := Limits{Head: 256, Memory: 64, Body: 1024, Unpaired: 4}
		counts := playConnection(&recorder{}, limits, int(segmentSize)+1, "", request, "<"+response)
		if counts.Sum() != counts.Bytes || counts.Bytes != int64(len(request)+len(response)) {
			t.Errorf("counts %+v of %d bytes", counts, len(request)+len(response))
		}
	})
}
