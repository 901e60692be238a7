package replay

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"fernlanding/internal/pcap/synth"
	"fernlanding/internal/sidecar/sidecartest"
	"fernlanding/internal/standin"
)

// startSidecar starts a sidecar with three classes and two backends. It returns the address of the
// sidecar, and a function that returns the bodies that the backends received for a captured
// request.
func startSidecar(t *testing.T) (netip.AddrPort, func(capturedID string) []string) {
	t.Helper()
	var mu sync.Mutex
	received := map[string][]string{}
	var endpoints strings.Builder
	for i := range 2 {
		backend, err := standin.NewBackend(func(c *standin.Call) bool {
			mu.Lock()
			id := c.Header.Get("Captured-Id")
			received[id] = append(received[id], string(c.Content))
			mu.Unlock()
			return standin.Echo(c)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(backend.Close)
		fmt.Fprintf(&endpoints, "{ name = \"b%d\", address = %q, cell = 1 },", i, backend.Addr())
	}
	s := sidecartest.Start(t, fmt.Sprintf(`version = 1
listeners = [{ address = "127.0.0.1:0" }]
[services.s]
membership = "static"
trusted = true
endpoints = [%s]
[services.s.classes]
tariff = { repeat = "safe", objective = "2s", deadline = "20s" }
usage = { repeat = "keyed", objective = "2s", deadline = "20s", dedup_scope = "cell", dedup_window = "60s" }
charge = { repeat = "unsafe", objective = "2s", deadline = "20s" }
[[routes]]
name = "tariff"
prefix = "/tariff"
service = "s"
class = "tariff"
[[routes]]
name = "usage"
prefix = "/usage"
service = "s"
class = "usage"
[[routes]]
name = "charge"
prefix = "/charge"
service = "s"
class = "charge"
`, endpoints.String()))
	return netip.MustParseAddrPort(s.Addr()), func(capturedID string) []string {
		mu.Lock()
		defer mu.Unlock()
		return received[capturedID]
	}
}

// A capture is replayed through a sidecar. Each request, including the non-idempotent ones, reaches
// a backend once with an equal body, and the capture of the replay contains the same requests.
func TestReplayThroughSidecar(t *testing.T) {
	addr, received := startSidecar(t)
	conns, bodies := generateConns(rand.New(rand.NewPCG(15, 1)))
	exchanges := captureOf(t, conns...)
	var buf bytes.Buffer
	file := newCaptureFile(t, &buf)
	p := newPlan(t, Options{
		Speed:             -1,
		SendNonIdempotent: true,
		IDField:           "Request-Id",
		Copy:              map[string]string{"Captured-Id": "Request-Id"},
	}, exchanges)
	for _, r := range p.Run(context.Background(), Target{Addr: addr, MaxConnections: 8, Capture: file}) {
		if r.Err != nil || r.Replayed.StatusCode != 200 {
			t.Errorf("%s: replayed %+v, error %v", r.Step.OldID, r.Replayed, r.Err)
		}
	}
	for id, body := range bodies {
		if got := received(id); len(got) != 1 || got[0] != body {
			t.Errorf("%s was received %d times, want once, or its body was changed", id, len(got))
		}
	}
	replayed := readCapture(t, file, &buf)
	if len(replayed) != len(bodies) {
		t.Errorf("got %d requests in the capture of the replay, want %d", len(replayed), len(bodies))
	}
	for _, e := range replayed {
		id := e.Request.FieldValue("Captured-Id")
		if body, err := e.Request.Body.Bytes(); err != nil || string(body) != bodies[id] {
			t.Errorf("%s has a different body in the capture of the replay, error %v", id, err)
		}
	}
}

// generateConns returns connections with requests of three classes, and the bodies by request ID.
func generateConns(rnd *rand.Rand) (conns []sentBytes, bodies map[string]string) {
	bodies = map[string]string{}
	for i := range 30 {
		var sent sentBytes
		for j := range 1 + rnd.IntN(3) {
			id, body := fmt.Sprintf("r%d-%d", i, j), string(synth.RandomBytes(rnd, rnd.IntN(20_000)))
			head := []string{
				"POST /usage HTTP/1.1\r\nIdempotency-Key: k" + id + "\r\n",
				"POST /charge HTTP/1.1\r\n",
				"GET /tariff/7 HTTP/1.1\r\n",
			}[rnd.IntN(3)]
			if strings.HasPrefix(head, "GET") {
				body = ""
			}
			bodies[id] = body
			sent.client += fmt.Sprintf("%sHost: b\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
				head, id, len(body), body)
			sent.server += okResponse
		}
		conns = append(conns, sent)
	}
	return conns, bodies
}
