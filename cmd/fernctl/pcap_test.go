package main

import (
	"encoding/json"
	"fernlanding/internal/pcap/synth"
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

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/pcapgo"
)

// capture writes a capture of connections to a file and returns its name.
func capture(t *testing.T, conns ...*synth.Conn) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "night.pcap")
	f, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	w := pcapgo.NewWriter(f)
	if err := w.WriteFileHeader(1<<18, conns[0].Link.Type()); err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 12, 24, 20, 0, 0, 0, time.UTC)
	for _, c := range conns {
		for _, p := range c.Parts {
			at = at.Add(time.Millisecond)
			packets, err := c.Packets(p, at)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range packets {
				if err := w.WritePacket(gopacket.CaptureInfo{Timestamp: p.Time, CaptureLength: len(p.Data), Length: p.WireLength}, p.Data); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	return name
}

func conn(port uint16, ask, tell string) *synth.Conn {
	c := synth.NewConn(netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), netip.MustParseAddrPort("10.0.0.2:80"), synth.Ethernet, [2]uint32{1, 1})
	c.Open()
	c.Send(0, []byte(ask), 1000)
	c.Send(1, []byte(tell), 1000)
	c.Close()
	return c
}

const (
	asked = "POST /usage-rate/7 HTTP/1.1\r\nRequest-Id: r1\r\nRequest-Class: usage-rate\r\nContent-Length: 3\r\n\r\nabc"
	told  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// A sound capture ends with 0, a spoilt one with 1 and a line for each fault, what is none with 2.
func TestPcapInfoAndRequests(t *testing.T) {
	sound := capture(t, conn(1000, asked, told))
	expect(t, 0, "1 requests, 1 answers, 1 pairs", "pcap", "info", sound)
	expect(t, 0, "POST /usage-rate/7, 3 bytes ba7816bf8f01: 200 in ", "pcap", "requests", sound)
	var line requestLine
	if err := json.Unmarshal([]byte(expect(t, 0, "", "pcap", "requests", "-json", sound)), &line); err != nil || line.ID != "r1" || line.Class != "usage-rate" || line.Status != 200 {
		t.Errorf("%+v, %v", line, err)
	}
	lost := conn(1001, asked+asked, told+told)
	lost.Parts = append(lost.Parts[:3:3], lost.Parts[4:]...) // the requests' segment
	spoilt := capture(t, conn(1000, asked, told), lost)
	expect(t, 1, "faults    2 unasked", "pcap", "info", spoilt)
	expect(t, 1, "and 1 more", "pcap", "info", "-faults", "1", spoilt)
	expect(t, 1, "flow 2 10.0.0.2:80>10.0.0.1:1001 at byte 0, packet 12: unasked", "pcap", "requests", spoilt)
	var report infoReport
	if err := json.Unmarshal([]byte(expect(t, 1, "", "pcap", "info", "-json", spoilt)), &report); err != nil || report.Requests != 1 || report.Faults["unasked"] != 2 {
		t.Errorf("%+v, %v", report, err)
	}
	data, err := os.ReadFile(sound)
	if err != nil {
		t.Fatal(err)
	}
	cut := filepath.Join(t.TempDir(), "cut.pcap")
	if err := os.WriteFile(cut, data[:len(data)-70], 0o644); err != nil {
		t.Fatal(err)
	}
	expect(t, 1, "broken-file: 0 bytes: packet 8, at byte", "pcap", "info", cut)
	expect(t, 2, "found 0 arguments, expected one FILE", "pcap", "info")
	expect(t, 2, "no such file", "pcap", "info", filepath.Join(t.TempDir(), "none"))
	expect(t, 2, "expected a pcap or pcapng file", "pcap", "info", filepath.Join("main.go"))
	expect(t, 2, "-flows: found 0, expected 1 to", "pcap", "info", "-flows", "0", sound)
}

// From a capture through a running sidecar's place to a server and back: the table sets both outcomes side by side, what
// is unsafe is left out, and what was written reads as the same requests.
func TestPcapReplay(t *testing.T) {
	var seen atomic.Int32
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		_, _ = io.WriteString(w, "ok")
	}))
	defer web.Close()
	to := web.Listener.Addr().String()
	charge := "POST /charge-post/1 HTTP/1.1\r\nRequest-Id: c1\r\nRequest-Class: charge-post\r\nContent-Length: 1\r\n\r\nx"
	keyed := strings.Replace(asked, "Request-Id", "Idempotency-Key: k\r\nRequest-Id", 1)
	file, written, ids := capture(t, conn(1000, keyed+charge, told+told)), filepath.Join(t.TempDir(), "out.pcapng"), filepath.Join(t.TempDir(), "ids")
	expect(t, 0, "(unsafe): left out: unsafe: its effect would happen again", "pcap", "replay", "-dry-run", file)
	if seen.Load() != 0 {
		t.Error("a dry run has sent something")
	}
	expect(t, 0, "left out: 1: unsafe", "pcap", "replay", "-to", to, "-speed", "-1", "-id", "Request-Id", "-write", written, "-ids", ids, file)
	if n := seen.Load(); n != 1 {
		t.Errorf("%d requests were sent, of one", n)
	}
	expect(t, 0, "1 requests, 1 answers, 1 pairs", "pcap", "info", written)
	if table, err := os.ReadFile(ids); err != nil || !strings.HasPrefix(string(table), "r1\t") {
		t.Errorf("the table of ids: %q, %v", table, err)
	}
	var report replayReport
	if err := json.Unmarshal([]byte(expect(t, 0, "", "pcap", "replay", "-to", to, "-unsafe", "-json", file)), &report); err != nil || len(report.Classes) != 2 || report.Classes[0].Sent != 1 {
		t.Errorf("%+v, %v", report, err)
	}
	for word, args := range map[string][]string{
		"is neither loopback nor allowed": {"-to", "192.0.2.1:80"},
		"-to: found \"\", expected":       nil,
		"-set: found \"x\", expected":     {"-to", to, "-set", "x"},
		"-redact: found \"x\", expected":  {"-to", to, "-redact", "x"},
		"it cannot be set":                {"-to", to, "-set", "Content-Length=1"},
		"-conns: found 0, expected 1 to":  {"-to", to, "-conns", "0"},
		"speed: found 1e-09, expected":    {"-to", to, "-speed", "1e-9"},
	} {
		expect(t, 2, word, append(append([]string{"pcap", "replay"}, args...), file)...)
	}
	web.Close()
	expect(t, 1, "not sent: dial tcp", "pcap", "replay", "-to", to, file)
}
