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
	text := file
	var backends []*standin.Backend
	for range 4 {
		b, err := standin.NewBackend(standin.Echo)
		if err != nil {
			t.Fatal(err)
		}
		defer b.Close()
		backends = append(backends, b)
	}
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
	d := config.Read("f", []byte(text))
	if d.App == nil {
		t.Fatal(d.Faults)
	}
	of := map[string]string{}
	for _, s := range d.App.Services {
		for _, e := range s.Source.Endpoints {
			of[e.Address] = s.Name
		}
	}
	s, err := sidecar.New(d.App, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	defer running.Wait()
	defer stop()
	if err := s.WaitReady(ctx, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	gone := 0
	for _, method := range []string{"GET", "POST"} {
		for _, host := range []string{"x.example.org", "example.org", "[::1]:80", "a..b"} {
			for _, path := range []string{"/v1/tariffs", "/v1/tariffs/7", "/v1//tariffs/7", "/v1/x/../tariffs", "/v1/tariff%73/7", "/rate", "/rate/", "/a/7/post", "/a//post", "/a/%2f/post", "/../x", "/none"} {
				for _, field := range []string{"", "Record-Id: 7", "Record-Id: 11", "Early-Data: 1"} {
					for n, l := range d.App.Listeners {
						var fields []string
						if field != "" {
							fields = []string{field}
						}
						r, err := ParseRequest(method, path, append(fields, "Host: "+host))
						if err != nil {
							t.Fatal(err)
						}
						a, err := Explain(d, l.Name, r)
						if err != nil {
							t.Fatal(err)
						}
						status, body, by := ask(t, s.Addrs()[n], method, path, host, field, backends)
						what := fmt.Sprintf("%s %s at %s of %s, %q", method, path, l.Name, host, field)
						if a.Status != 0 || status != http.StatusOK {
							if rewritten := find(a, "path"); a.Status == 0 && status == 400 && strings.Contains(rewritten, "answered 400") {
								continue
							}
							if a.Status != status {
								t.Errorf("%s: %d, and explain says %d", what, status, a.Status)
							}
							continue
						}
						gone++
						if said := find(a, "service"); !strings.Contains(said, " "+of[by]) {
							t.Errorf("%s: went to %s, and explain says %q", what, of[by], said)
						}
						if to := find(a, "path"); to != "" && !strings.HasSuffix(to, "goes on as "+strings.TrimSpace(strings.TrimPrefix(body, method))) {
							t.Errorf("%s: went on as %q, and explain says %q", what, body, to)
						}
					}
				}
			}
		}
	}
	if gone < 20 {
		t.Errorf("%d requests went on: the comparison says little", gone)
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
