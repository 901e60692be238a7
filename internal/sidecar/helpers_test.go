package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/front/http1"
	"fernlanding/internal/standin"
	"fernlanding/internal/standin/backendtest"
)

// testTimeout limits each wait for an expected event.
const testTimeout = 20 * time.Second

// receive receives a value from a channel, and fails the test after testTimeout.
func receive[T any](tb testing.TB, what string, c <-chan T) T {
	tb.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		tb.Fatalf("timed out waiting for: %s", what)
		panic("unreachable")
	}
}

// servedResponse is a backend's response with the body ok.
const servedResponse = backendtest.OKResponse

// waitUntil waits until a condition holds, and fails the test after testTimeout.
func waitUntil(tb testing.TB, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal("timed out waiting for a condition")
		}
	}
}

// runningSidecar is a sidecar in Run. Its stop has the effect of SIGTERM, and done receives the
// result of Run.
type runningSidecar struct {
	*Sidecar
	app  *config.App
	stop context.CancelFunc
	done chan error
}

// stats returns the stats of the first front.
func (r *runningSidecar) stats() http1.Stats { return r.fronts[0].Stats() }

// startSidecar runs a sidecar until the test ends.
func startSidecar(tb testing.TB, app *config.App) *runningSidecar {
	tb.Helper()
	s, err := New(app, slog.New(slog.DiscardHandler))
	if err != nil {
		tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &runningSidecar{Sidecar: s, app: app, stop: stop, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		running.done <- s.Run(ctx)
	}()
	tb.Cleanup(func() {
		stop()
		receive(tb, "end of Run", ended)
	})
	return running
}

// client is a client with one connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

// hasDrained reports whether all replaced and removed services have drained.
func (r *runningSidecar) hasDrained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.drainingServices) == 0
}

// connect opens a connection to a sidecar. The connection is closed when the test ends.
func connect(tb testing.TB, p *runningSidecar) *client {
	tb.Helper()
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{Conn: c, r: bufio.NewReader(c)}
}

// send sends text.
func (c *client) send(tb testing.TB, text string) {
	tb.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		tb.Fatal(err)
	}
}

// readResponse reads a response and its body.
func (c *client) readResponse(tb testing.TB) (*http.Response, string) {
	tb.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		tb.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return resp, string(body)
}

// serviceTOML is the TOML text of one service in a configuration.
type serviceTOML struct {
	name    string
	classes string // lines of "name = { ... }"
	source  string // lines of the endpoint source
	extra   string // further lines
}

const (
	safeClass  = `look = { repeat = "safe", objective = "2s", deadline = "4s" }`
	keyedClass = `rate = { repeat = "keyed", objective = "2s", deadline = "4s", ` +
		`dedup_scope = "cell", dedup_window = "30s" }`
	unsafeClass = `post = { repeat = "unsafe", objective = "2s", deadline = "4s" }`
)

// catalogAt returns the lines of a service whose list comes from a discovery at address.
func catalogAt(address string) string {
	return fmt.Sprintf("membership = \"catalog\"\ndiscovery = %q", address)
}

// endpointsAt returns the line of a service with a static list of addresses.
func endpointsAt(addrs ...string) string {
	var b strings.Builder
	b.WriteString("endpoints = [")
	for _, a := range addrs {
		fmt.Fprintf(&b, "{ address = %q },", a)
	}
	return b.String() + "]"
}

// decodeVersion1 returns a configuration in version 1 of the format.
func decodeVersion1(t *testing.T, sockets int, routes string, services ...serviceTOML) *config.App {
	t.Helper()
	return decode(t, "version = 1", sockets, routes, services)
}

// decodeVersion2 returns a configuration in version 2 of the format.
func decodeVersion2(t *testing.T, routes string, services ...serviceTOML) *config.App {
	t.Helper()
	return decode(t, "version = 2\nname = \"test\"", 200, routes, services)
}

// decode returns a configuration with one listener. head is the first lines of the file.
func decode(t *testing.T, head string, sockets int, routes string, services []serviceTOML) *config.App {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "%s\nlisteners = [{ address = \"127.0.0.1:0\" }]\n", head)
	fmt.Fprintf(&text, "process = { sockets = %d, memory_mb = 64 }\n%s\n", sockets, routes)
	for _, s := range services {
		fmt.Fprintf(&text, "[services.%s]\ntrusted = true\n%s\n%s\n", s.name, s.source, s.extra)
		fmt.Fprintf(&text, "[services.%s.classes]\n%s\n", s.name, s.classes)
	}
	app, err := config.Decode("test", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return app
}

// startVersion1 runs a sidecar with a configuration in version 1 of the format.
func startVersion1(t *testing.T, sockets int, routes string, services ...serviceTOML) *runningSidecar {
	t.Helper()
	return startSidecar(t, decodeVersion1(t, sockets, routes, services...))
}

// startVersion2 runs a sidecar with a configuration in version 2 of the format.
func startVersion2(t *testing.T, routes string, services ...serviceTOML) *runningSidecar {
	t.Helper()
	return startSidecar(t, decodeVersion2(t, routes, services...))
}

// routeTo returns a route that forwards the prefix "/service" to the single class of a service.
func routeTo(service string) string {
	return fmt.Sprintf("[[routes]]\nname = %q\nprefix = \"/%s\"\nservice = %q\n", service, service, service)
}

// startBackend starts a backend until the test ends.
func startBackend(tb testing.TB, h standin.Handler) *standin.Backend {
	tb.Helper()
	b, err := standin.NewBackend(h)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(b.Close)
	return b
}

// holdUntil returns a handler that responds when release is closed.
func holdUntil(release <-chan struct{}) standin.Handler {
	return func(c *standin.Call) bool {
		select {
		case <-release:
			return standin.Echo(c)
		case <-c.Done:
			return false
		}
	}
}

// sendRequest sends one request on a new connection and returns the response and its body.
func sendRequest(t *testing.T, p *runningSidecar, method, target string, header ...string) (*http.Response, string) {
	t.Helper()
	c := connect(t, p)
	c.send(t, requestText(method, target, header...))
	if method == "HEAD" {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			t.Fatal(err)
		}
		return resp, ""
	}
	return c.readResponse(t)
}

// requestText returns the text of a request, with an empty body if the method is POST.
func requestText(method, target string, header ...string) string {
	text := method + " " + target + " HTTP/1.1\r\nHost: h\r\n"
	for _, h := range header {
		text += h + "\r\n"
	}
	if method == "POST" {
		text += "Content-Length: 0\r\n"
	}
	return text + "\r\n"
}

// mustReload applies a valid configuration.
func mustReload(t *testing.T, p *runningSidecar, app *config.App) {
	t.Helper()
	if err := p.Reload(app); err != nil {
		t.Fatal(err)
	}
}
