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
	"fernlanding/internal/pcap/write"
	"fernlanding/internal/sidecar/sidecartest"
	"fernlanding/internal/standin"
)

// sidecarBefore starts a sidecar of three classes before two stand-ins, and returns its address, and what reached them.
func sidecarBefore(t *testing.T) (netip.AddrPort, func(id string) []string) {
	t.Helper()
	var mu sync.Mutex
	came := map[string][]string{}
	var endpoints strings.Builder
	for i := range 2 {
		b, err := standin.NewBackend(func(c *standin.Call) bool {
			mu.Lock()
			id := c.Header.Get("Captured-Id")
			came[id] = append(came[id], string(c.Content))
			mu.Unlock()
			return standin.Echo(c)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		fmt.Fprintf(&endpoints, "{ name = \"b%d\", address = %q, cell = 1 },", i, b.Addr())
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
	return netip.MustParseAddrPort(s.Addr()), func(id string) []string {
		mu.Lock()
		defer mu.Unlock()
		return came[id]
	}
}

// A capture goes through a running sidecar to stand-ins, and what is written of it is read again: the same requests, all
// bodies equal byte for byte, each at the stand-ins once, charges included where they were asked for.
func TestACaptureThroughARunningSidecar(t *testing.T) {
	addr, came := sidecarBefore(t)
	rnd := rand.New(rand.NewPCG(15, 1))
	bodies := map[string]string{}
	var talks [][2]string
	for i := range 30 {
		var ask, tell string
		for j := range 1 + rnd.IntN(3) {
			id, body := fmt.Sprintf("r%d-%d", i, j), string(synth.RandomBytes(rnd, rnd.IntN(20_000)))
			head := []string{"POST /usage HTTP/1.1\r\nIdempotency-Key: k" + id + "\r\n", "POST /charge HTTP/1.1\r\n", "GET /tariff/7 HTTP/1.1\r\n"}[rnd.IntN(3)]
			if strings.HasPrefix(head, "GET") {
				body = ""
			}
			bodies[id] = body
			ask += fmt.Sprintf("%sHost: b\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(body), body)
			tell += ok
		}
		talks = append(talks, [2]string{ask, tell})
	}
	from := captured(t, talks...)
	var buf bytes.Buffer
	f, err := write.New(&buf, 0, "client")
	if err != nil {
		t.Fatal(err)
	}
	p := plan(t, Options{Speed: -1, SendNonIdempotent: true, IDField: "Request-Id", Copy: map[string]string{"Captured-Id": "Request-Id"}}, from)
	for _, r := range p.Run(context.Background(), Target{Addr: addr, MaxConnections: 8, Capture: f}) {
		if r.Err != nil || r.Replayed.StatusCode != 200 {
			t.Errorf("%s: %+v, %v", r.Step.OldID, r.Replayed, r.Err)
		}
	}
	for id, body := range bodies {
		if got := came(id); len(got) != 1 || got[0] != body {
			t.Errorf("%s came %d times, or changed", id, len(got))
		}
	}
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	again := reread(t, f, &buf)
	if len(again) != len(bodies) {
		t.Errorf("%d requests were written, of %d", len(again), len(bodies))
	}
	for _, e := range again {
		id := e.Request.FieldValue("Captured-Id")
		if body, err := e.Request.Body.Bytes(); err != nil || string(body) != bodies[id] {
			t.Errorf("%s was written changed: %v", id, err)
		}
	}
}
