package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fernlanding/internal/pcap/synth"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/pcapgo"
)

// writeCapture writes a capture of connections to a file and returns its name.
func writeCapture(t *testing.T, conns ...*synth.Conn) string {
	t.Helper()
	var buf bytes.Buffer
	w := pcapgo.NewWriter(&buf)
	if err := w.WriteFileHeader(1<<18, conns[0].Link.Type()); err != nil {
		t.Fatal(err)
	}
	now := time.Date(2026, 12, 24, 20, 0, 0, 0, time.UTC)
	for _, c := range conns {
		for _, part := range c.Parts {
			now = now.Add(time.Millisecond)
			packets, err := c.Packets(part, now)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range packets {
				info := gopacket.CaptureInfo{Timestamp: p.Time, CaptureLength: len(p.Data), Length: p.WireLength}
				if err := w.WritePacket(info, p.Data); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	name := filepath.Join(t.TempDir(), "capture.pcap")
	if err := os.WriteFile(name, buf.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	return name
}

// capturedConn returns a connection from a client port, with the bytes of the request and response.
func capturedConn(port uint16, request, response string) *synth.Conn {
	client := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	server := netip.MustParseAddrPort("10.0.0.2:80")
	c := synth.NewConn(client, server, synth.Ethernet, [2]uint32{1, 1})
	c.Open()
	c.Send(0, []byte(request), 1000)
	c.Send(1, []byte(response), 1000)
	c.Close()
	return c
}

const (
	capturedRequest = "POST /usage-rate/7 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Class: usage-rate\r\n" +
		"Content-Length: 3\r\n\r\nabc"
	capturedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// The exit code is 0 for a capture without faults, 1 with a line for each fault for a capture with
// faults, and 2 for a file that is not a capture.
func TestPcapInfoAndRequests(t *testing.T) {
	valid := writeCapture(t, capturedConn(1000, capturedRequest, capturedResponse))
	expect(t, 0, "1 requests, 1 answers, 1 pairs", "pcap", "info", valid)
	expect(t, 0, "POST /usage-rate/7, 3 bytes ba7816bf8f01: 200 in ", "pcap", "requests", valid)
	var line requestLine
	err := json.Unmarshal([]byte(expect(t, 0, "", "pcap", "requests", "-json", valid)), &line)
	if err != nil || line.ID != "r1" || line.Class != "usage-rate" || line.Status != 200 {
		t.Errorf("%+v, %v", line, err)
	}

	lost := capturedConn(1001, capturedRequest+capturedRequest, capturedResponse+capturedResponse)
	lost.Parts = append(lost.Parts[:3:3], lost.Parts[4:]...) // without the segment that holds the requests
	faulty := writeCapture(t, capturedConn(1000, capturedRequest, capturedResponse), lost)
	expect(t, 1, "faults    2 unasked", "pcap", "info", faulty)
	expect(t, 1, "and 1 more", "pcap", "info", "-faults", "1", faulty)
	expect(t, 1, "flow 2 10.0.0.2:80>10.0.0.1:1001 at byte 0, packet 12: unasked", "pcap", "requests", faulty)
	var report infoReport
	err = json.Unmarshal([]byte(expect(t, 1, "", "pcap", "info", "-json", faulty)), &report)
	if err != nil || report.Requests != 1 || report.Faults["unasked"] != 2 {
		t.Errorf("%+v, %v", report, err)
	}

	data, err := os.ReadFile(valid)
	if err != nil {
		t.Fatal(err)
	}
	truncated := filepath.Join(t.TempDir(), "truncated.pcap")
	if err := os.WriteFile(truncated, data[:len(data)-70], 0o644); err != nil {
		t.Fatal(err)
	}
	expect(t, 1, "broken-file: 0 bytes: packet 8, at byte", "pcap", "info", truncated)
	expect(t, 2, "got 0 arguments, want one FILE", "pcap", "info")
	expect(t, 2, "no such file", "pcap", "info", filepath.Join(t.TempDir(), "none"))
	expect(t, 2, "expected a pcap or pcapng file", "pcap", "info", filepath.Join("main.go"))
	expect(t, 2, "invalid -flows 0: must be between 1 and", "pcap", "info", "-flows", "0", valid)
}

// A capture is replayed to a server. The report compares the outcomes, a non-idempotent request is
// skipped, and the capture that -write records holds the requests sent.
func TestPcapReplay(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	to := server.Listener.Addr().String()
	nonIdempotent := "POST /charge-post/1 HTTP/1.1\r\nRequest-Id: c1\r\nRequest-Class: charge-post\r\n" +
		"Content-Length: 1\r\n\r\nx"
	keyed := strings.Replace(capturedRequest, "Request-Id", "Idempotency-Key: k\r\nRequest-Id", 1)
	file := writeCapture(t, capturedConn(1000, keyed+nonIdempotent, capturedResponse+capturedResponse))
	expect(t, 0, "(unsafe): left out: unsafe: its effect would happen again", "pcap", "replay", "-dry-run", file)
	if received.Load() != 0 {
		t.Error("a dry run sent a request")
	}

	written, ids := filepath.Join(t.TempDir(), "out.pcapng"), filepath.Join(t.TempDir(), "ids")
	expect(t, 0, "left out: 1: unsafe", "pcap", "replay", "-to", to, "-speed", "-1", "-id", "Request-Id",
		"-write", written, "-ids", ids, file)
	if n := received.Load(); n != 1 {
		t.Errorf("got %d requests sent, want 1", n)
	}
	expect(t, 0, "1 requests, 1 answers, 1 pairs", "pcap", "info", written)
	if table, err := os.ReadFile(ids); err != nil || !strings.HasPrefix(string(table), "r1\t") {
		t.Errorf("got table of IDs %q, %v", table, err)
	}
	var report replayReport
	output := expect(t, 0, "", "pcap", "replay", "-to", to, "-unsafe", "-json", file)
	err := json.Unmarshal([]byte(output), &report)
	if err != nil || len(report.Classes) != 2 || report.Classes[0].Sent != 1 {
		t.Errorf("%+v, %v", report, err)
	}
	server.Close()
	expect(t, 1, "not sent: dial tcp", "pcap", "replay", "-to", to, file)
}

func TestPcapReplayRejectsInvalidFlags(t *testing.T) {
	const to = "127.0.0.1:1" // never dialed
	file := writeCapture(t, capturedConn(1000, capturedRequest, capturedResponse))
	for message, args := range map[string][]string{
		"is neither loopback nor allowed":                         {"-to", "192.0.2.1:80"},
		"invalid -to \"\": must be an IP address and a port":      nil,
		"invalid -set \"x\": must have the form NAME=VALUE":       {"-to", to, "-set", "x"},
		"invalid -redact \"x\": must have the form FIELD=PATTERN": {"-to", to, "-redact", "x"},
		"Length\" cannot be set":                                  {"-to", to, "-set", "Content-Length=1"},
		"invalid -conns 0: must be between 1 and":                 {"-to", to, "-conns", "0"},
		"invalid speed 1e-09: expected":                           {"-to", to, "-speed", "1e-9"},
	} {
		expect(t, 2, message, append(append([]string{"pcap", "replay"}, args...), file)...)
	}
}
