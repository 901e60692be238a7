package explain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
	"fernlanding/internal/standin"
)

// A sidecar handles a request as Explain explains it for the same file: with the same status if the
// request is not forwarded, and otherwise with the same service and path. The two implementations
// share only the route table.
func TestExplainAgreesWithSidecar(t *testing.T) {
	c := startComparison(t)
	paths := []string{
		"/v1/tariffs", "/v1/tariffs/7", "/v1//tariffs/7", "/v1/x/../tariffs", "/v1/tariff%73/7", "/rate", "/rate/",
		"/a/7/post", "/a//post", "/a/%2f/post", "/../x", "/none",
	}
	for _, method := range []string{"GET", "POST"} {
		for _, host := range []string{"x.example.org", "example.org", "[::1]:80", "a..b"} {
			for _, path := range paths {
				for _, field := range []string{"", "Record-Id: 7", "Record-Id: 11", "Early-Data: 1"} {
					for n := range c.doc.App.Listeners {
						c.compare(t, n, method, host, path, field)
					}
				}
			}
		}
	}
	if c.forwarded < 20 {
		t.Errorf("got %d forwarded requests, want at least 20: coverage is too low", c.forwarded)
	}
}

// comparison is a running sidecar in front of echoing backends, with its file.
type comparison struct {
	backends  []*standin.Backend
	doc       *config.Document
	services  map[string]string // service names, keyed by backend address
	sidecar   *sidecar.Sidecar
	forwarded int // requests that reached a backend
}

// startComparison starts backends, and a sidecar with their addresses in the configuration.
func startComparison(t *testing.T) *comparison {
	t.Helper()
	c := &comparison{services: map[string]string{}}
	for range 4 {
		b, err := standin.NewBackend(standin.Echo)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		c.backends = append(c.backends, b)
	}
	c.doc = readConfiguration(t, withAddresses(t, c.backends))
	for _, s := range c.doc.App.Services {
		for _, e := range s.Source.Endpoints {
			c.services[e.Address] = s.Name
		}
	}
	var err error
	c.sidecar, err = sidecar.New(c.doc.App, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = c.sidecar.Run(ctx) })
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	if err := c.sidecar.WaitReady(ctx, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	return c
}

// withAddresses returns the configuration with the addresses of running backends, and with listeners
// on free ports.
func withAddresses(t *testing.T, backends []*standin.Backend) string {
	t.Helper()
	text := configuration
	staticEndpoint := func(b *standin.Backend) string { return fmt.Sprintf("endpoints = [{ address = %q }]", b.Addr()) }
	for old, replacement := range map[string]string{
		"membership = \"catalog\"\ndiscovery = \"127.0.0.1:8500\"": staticEndpoint(backends[0]),
		"membership = \"catalog\"\ndiscovery = \"127.0.0.1:8501\"": staticEndpoint(backends[1]),
		`"127.0.0.1:9001"`: fmt.Sprintf("%q", backends[2].Addr()),
		`"127.0.0.1:9002"`: fmt.Sprintf("%q", backends[3].Addr()),
		`"127.0.0.1:8080"`: `"127.0.0.1:0"`,
		`"127.0.0.1:8081"`: `"127.0.0.1:0"`,
	} {
		if !strings.Contains(text, old) {
			t.Fatalf("configuration does not contain %q", old)
		}
		text = strings.Replace(text, old, replacement, 1)
	}
	return text
}

// compare sends a request to a listener and compares the outcome with the explanation.
func (c *comparison) compare(t *testing.T, listener int, method, host, path, field string) {
	t.Helper()
	fields := []string{"Host: " + host}
	if field != "" {
		fields = append([]string{field}, fields...)
	}
	r, err := ParseRequest(method, path, fields)
	if err != nil {
		t.Fatal(err)
	}
	name := c.doc.App.Listeners[listener].Name
	explanation, err := Explain(c.doc, name, r)
	if err != nil {
		t.Fatal(err)
	}
	got := c.send(t, c.sidecar.Addrs()[listener], method, path, host, field)
	request := fmt.Sprintf("%s %s at %s of %s, %q", method, path, name, host, field)
	if explanation.Status != 0 || got.status != http.StatusOK {
		isRewriteRejected := explanation.Status == 0 && got.status == http.StatusBadRequest &&
			strings.Contains(partText(explanation, "path"), "answered 400")
		if explanation.Status != got.status && !isRewriteRejected {
			t.Errorf("%s: got status %d, explained as %d", request, got.status, explanation.Status)
		}
		return
	}
	c.forwarded++
	service := c.services[got.backend]
	if text := partText(explanation, "service"); !strings.Contains(text, " "+service) {
		t.Errorf("%s: forwarded to %s, explained as %q", request, service, text)
	}
	forwardedPath := strings.TrimSpace(strings.TrimPrefix(got.echoed, method))
	if text := partText(explanation, "path"); text != "" && !strings.HasSuffix(text, "goes on as "+forwardedPath) {
		t.Errorf("%s: forwarded as %q, explained as %q", request, got.echoed, text)
	}
}

// outcome is the result of a request to a sidecar.
type outcome struct {
	status  int
	echoed  string // first line of the body: the request line that a backend echoes
	backend string // address of the backend that has received the request
}

// send writes a request to a sidecar without changes and reads the response.
func (c *comparison) send(t *testing.T, addr, method, path, host, field string) outcome {
	t.Helper()
	before := make([]int, len(c.backends))
	for i, b := range c.backends {
		before[i] = b.Requests()
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the response has been read
	if field != "" {
		field += "\r\n"
	}
	// After a failed write, reading the response fails.
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: 0\r\n\r\n", method, path, host, field)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := outcome{status: resp.StatusCode}
	for i, b := range c.backends {
		if b.Requests() > before[i] {
			got.backend = b.Addr()
		}
	}
	got.echoed, _, _ = strings.Cut(string(body), "\n")
	return got
}
