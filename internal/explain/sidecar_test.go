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

// What explain says of a request is what a sidecar of the same file does with it: the same status where none goes on, and
// else the same service and path. The two share the routes' table and nothing else.
func TestASidecarDoesWhatExplainSays(t *testing.T) {
	c := startComparison(t)
	for _, method := range []string{"GET", "POST"} {
		for _, host := range []string{"x.example.org", "example.org", "[::1]:80", "a..b"} {
			for _, path := range []string{"/v1/tariffs", "/v1/tariffs/7", "/v1//tariffs/7", "/v1/x/../tariffs", "/v1/tariff%73/7", "/rate", "/rate/", "/a/7/post", "/a//post", "/a/%2f/post", "/../x", "/none"} {
				for _, field := range []string{"", "Record-Id: 7", "Record-Id: 11", "Early-Data: 1"} {
					for n := range c.doc.App.Listeners {
						c.request(t, n, method, host, path, field)
					}
				}
			}
		}
	}
	if c.passed < 20 {
		t.Errorf("%d requests went on: the comparison says little", c.passed)
	}
}

// comparison is a sidecar before backends that echo, and the file that it runs by.
type comparison struct {
	backends []*standin.Backend
	doc      *config.Document
	service  map[string]string // by address of a backend
	sidecar  *sidecar.Sidecar
	passed   int // requests that went on to a backend
}

// startComparison starts a sidecar by the file, with the addresses of backends that run.
func startComparison(t *testing.T) *comparison {
	t.Helper()
	c := &comparison{service: map[string]string{}}
	for range 4 {
		b, err := standin.NewBackend(standin.Echo)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		c.backends = append(c.backends, b)
	}
	c.doc = config.Read("f", []byte(relocated(t, c.backends)))
	if c.doc.App == nil {
		t.Fatal(c.doc.Diagnostics)
	}
	for _, s := range c.doc.App.Services {
		for _, e := range s.Source.Endpoints {
			c.service[e.Address] = s.Name
		}
	}
	var err error
	if c.sidecar, err = sidecar.New(c.doc.App, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = c.sidecar.Run(ctx) })
	t.Cleanup(func() { stop(); running.Wait() })
	if err := c.sidecar.WaitReady(ctx, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	return c
}

// relocated is the file with addresses that are there.
func relocated(t *testing.T, backends []*standin.Backend) string {
	t.Helper()
	text := file
	for old, fresh := range map[string]string{
		"membership = \"catalog\"\ndiscovery = \"127.0.0.1:8500\"": fmt.Sprintf("endpoints = [{ address = %q }]", backends[0].Addr()),
		"membership = \"catalog\"\ndiscovery = \"127.0.0.1:8501\"": fmt.Sprintf("endpoints = [{ address = %q }]", backends[1].Addr()),
		`"127.0.0.1:9001"`: fmt.Sprintf("%q", backends[2].Addr()), `"127.0.0.1:9002"`: fmt.Sprintf("%q", backends[3].Addr()),
		`"127.0.0.1:8080"`: `"127.0.0.1:0"`, `"127.0.0.1:8081"`: `"127.0.0.1:0"`,
	} {
		if !strings.Contains(text, old) {
			t.Fatalf("%q does not stand in the file", old)
		}
		text = strings.Replace(text, old, fresh, 1)
	}
	return text
}

// request sends a request to a listener, and compares what comes of it with what explain says.
func (c *comparison) request(t *testing.T, listener int, method, host, path, field string) {
	t.Helper()
	var fields []string
	if field != "" {
		fields = []string{field}
	}
	r, err := ParseRequest(method, path, append(fields, "Host: "+host))
	if err != nil {
		t.Fatal(err)
	}
	name := c.doc.App.Listeners[listener].Name
	a, err := Explain(c.doc, name, r)
	if err != nil {
		t.Fatal(err)
	}
	status, body, by := ask(t, c.sidecar.Addrs()[listener], method, path, host, field, c.backends)
	what := fmt.Sprintf("%s %s at %s of %s, %q", method, path, name, host, field)
	if a.Status != 0 || status != http.StatusOK {
		refusedAsRewritten := a.Status == 0 && status == http.StatusBadRequest && strings.Contains(find(a, "path"), "answered 400")
		if a.Status != status && !refusedAsRewritten {
			t.Errorf("%s: %d, and explain says %d", what, status, a.Status)
		}
		return
	}
	c.passed++
	if said := find(a, "service"); !strings.Contains(said, " "+c.service[by]) {
		t.Errorf("%s: went to %s, and explain says %q", what, c.service[by], said)
	}
	if to := find(a, "path"); to != "" && !strings.HasSuffix(to, "goes on as "+strings.TrimSpace(strings.TrimPrefix(body, method))) {
		t.Errorf("%s: went on as %q, and explain says %q", what, body, to)
	}
}

// ask sends a request by hand and returns the status, the first line of the echoed body, and the backend that has it.
func ask(t *testing.T, addr, method, path, host, field string, backends []*standin.Backend) (status int, line, by string) {
	t.Helper()
	before := make([]int, len(backends))
	for i, b := range backends {
		before[i] = b.Requests()
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if field != "" {
		field += "\r\n"
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: 0\r\n\r\n", method, path, host, field)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for i, b := range backends {
		if b.Requests() > before[i] {
			by = b.Addr()
		}
	}
	line, _, _ = strings.Cut(string(body), "\n")
	return resp.StatusCode, line, by
}
