package replay

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fernlanding/internal/pcap"
	"fernlanding/internal/pcap/flow"
	"fernlanding/internal/pcap/http"
	"fernlanding/internal/pcap/write"
)

const (
	idempotentRequest = "GET /t/1 HTTP/1.1\r\nHost: b\r\nRequest-Id: g1\r\nRequest-Class: tariff\r\n" +
		"Authorization: Bearer secret\r\n\r\n"
	keyedRequest = "POST /u HTTP/1.1\r\nHost: b\r\nRequest-Id: u1\r\nRequest-Class: usage\r\n" +
		"Idempotency-Key: k1\r\nContent-Length: 9\r\n\r\ncard=4111"
	nonIdempotentRequest = "POST /c HTTP/1.1\r\nHost: b\r\nRequest-Id: c1\r\nRequest-Class: charge\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// recorder is a Sink that records exchanges and faults.
type recorder struct {
	exchanges []*http.Exchange
	faults    []string
}

func (r *recorder) Exchange(e *http.Exchange) { r.exchanges = append(r.exchanges, e) }

func (r *recorder) StreamFault(_ *flow.Flow, _ flow.Direction, fault http.Fault) {
	r.faults = append(r.faults, string(fault.Kind))
}

func (r *recorder) SegmentFault(fault flow.Fault) { r.faults = append(r.faults, fault.String()) }

func (r *recorder) FlowEnded(*flow.Flow, flow.EndReason) {}

// sentBytes holds the bytes that the client and the server of a connection send.
type sentBytes struct{ client, server string }

// captureOf writes connections to a capture file, and returns the exchanges that are read from the
// file.
func captureOf(t *testing.T, conns ...sentBytes) []*http.Exchange {
	t.Helper()
	var buf bytes.Buffer
	file := newCaptureFile(t, &buf)
	now := time.Date(2026, 12, 24, 20, 0, 0, 0, time.UTC)
	for i, sent := range conns {
		client := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.1:%d", 1000+i))
		conn := file.Open(0, client, netip.MustParseAddrPort("10.0.0.2:80"), now)
		now = now.Add(time.Millisecond)
		conn.Data(0, []byte(sent.client), now, "")
		now = now.Add(time.Millisecond)
		conn.Data(1, []byte(sent.server), now, "")
		conn.Close(false, 0, now)
	}
	return readCapture(t, file, &buf)
}

// newCaptureFile returns a capture file that is written to a buffer.
func newCaptureFile(t *testing.T, buf *bytes.Buffer) *write.File {
	t.Helper()
	file, err := write.New(buf, 0, "client")
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// readCapture returns the exchanges of a capture file. A fault in the file fails the test.
func readCapture(t *testing.T, file *write.File, buf *bytes.Buffer) []*http.Exchange {
	t.Helper()
	if err := file.Flush(); err != nil {
		t.Fatal(err)
	}
	sink := &recorder{}
	summary, err := pcap.Read(context.Background(), buf, pcap.Options{}, sink)
	if err != nil {
		t.Fatal(err)
	}
	if err := summary.Check(); err != nil || len(sink.faults) > 0 {
		t.Fatalf("got error %v and faults %q, want none", err, sink.faults)
	}
	return sink.exchanges
}

// newPlan returns a plan for the exchanges.
func newPlan(t *testing.T, opts Options, exchanges []*http.Exchange) *Plan {
	t.Helper()
	p, err := New(opts, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range exchanges {
		if err := p.Add(e); err != nil {
			t.Fatal(err)
		}
	}
	return p
}
