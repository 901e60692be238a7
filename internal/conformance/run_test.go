package conformance

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"fernlanding/internal/config"
	"fernlanding/internal/sidecar"
)

// script says what becomes of the next attempt that a backend receives.
type script func() (f fault, body string)

// upstreamProtocol is a protocol's stand-in backends.
type upstreamProtocol interface {
	// start starts a backend that does what the script says of each attempt that it receives, and
	// returns its address. If that is to serve, body is the response's.
	start(tb testing.TB, s script) (addr string)
	// config is what a service needs in the configuration to be reached so, as lines of TOML; empty
	// for HTTP/1.1.
	config() string
}

// frontProtocol is a protocol's client.
type frontProtocol interface {
	// send sends a request of a class and returns what a client makes of the response, with its
	// body. It sends nothing again by itself.
	send(tb testing.TB, addr string, c class, id string, timeout time.Duration) (outcome, string)
}

const (
	deadline        = 2500 * time.Millisecond
	cells           = 2
	backendsPerCell = 2
)

// runTable runs the table for a front and an upstream.
func runTable(t *testing.T, front frontProtocol, upstream upstreamProtocol) {
	t.Helper()
	for _, c := range testCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runCase(t, c, front, upstream)
		})
	}
}

// recorder gives the attempts of a case their faults and records which cells they came to.
type recorder struct {
	testCase testCase

	mu    sync.Mutex
	cells []int // of the attempts received
}

// script returns the script of a backend in a cell.
func (r *recorder) script(cell int) script {
	return func() (fault, string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		n := len(r.cells)
		if r.testCase.faults[0] == notListening {
			n++ // the first attempt is not received
		}
		r.cells = append(r.cells, cell)
		return r.testCase.faultOf(n), attemptBody(len(r.cells))
	}
}

// faultOf returns the fault of the nth attempt, from 0.
func (c *testCase) faultOf(n int) fault { return c.faults[min(n, len(c.faults)-1)] }

// attemptBody is the response's body of the nth attempt, from 1.
func attemptBody(n int) string { return fmt.Sprintf("answer %d", n) }

// runCase runs one case with a sidecar and backends of its own.
func runCase(t *testing.T, c testCase, front frontProtocol, upstream upstreamProtocol) {
	t.Helper()
	r := &recorder{testCase: c}
	text := configText(upstream, startBackends(t, r, upstream))
	app, err := config.Decode("table", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	got, body := front.send(t, startSidecar(t, app), c.class, "r1", deadline)
	r.mu.Lock()
	defer r.mu.Unlock()
	received := len(r.cells)
	if got != c.want {
		t.Errorf("%s, %s expected", got, c.want)
	}
	if received != c.attempts && (c.faults[0] != notListening || received != 1) {
		t.Errorf("%d attempts received by backends, %d expected", received, c.attempts)
	}
	if got == served && body != attemptBody(received) {
		t.Errorf("served with %.60q, the response to attempt %d expected", body, received)
	}
	r.checkDedupScope(t)
}

// checkDedupScope checks that a request that is idempotent by key and may have run stays in its
// cell. The caller holds mu.
func (r *recorder) checkDedupScope(t *testing.T) {
	t.Helper()
	if r.testCase.class != idempotentByKey {
		return
	}
	for i := 1; i < len(r.cells); i++ {
		if r.testCase.faultOf(i-1).mayHaveRun() && r.cells[i] != r.cells[i-1] {
			t.Errorf("a request with a key that may have run went from cell %d to %d", r.cells[i-1], r.cells[i])
		}
	}
}

// startBackends starts the backends of all cells and returns their endpoints as TOML.
func startBackends(t *testing.T, r *recorder, upstream upstreamProtocol) string {
	t.Helper()
	oneIsDead := r.testCase.faults[0] == notListening
	var endpoints strings.Builder
	for cell := range cells {
		for i := range backendsPerCell {
			var addr string
			if oneIsDead && cell == 0 && i == 0 {
				addr = "127.0.0.1:1" // where nothing listens
			} else {
				addr = upstream.start(t, r.script(cell))
				if oneIsDead && i == 1 {
					continue // so that the dead one is likely to be selected
				}
			}
			fmt.Fprintf(&endpoints, "[[services.s.endpoints]]\nname = \"b%d%d\"\naddress = %q\ncell = %d\n",
				cell, i, addr, cell)
		}
	}
	return endpoints.String()
}

// configText returns the configuration of a sidecar before a service with a class of each kind.
func configText(upstream upstreamProtocol, endpoints string) string {
	return fmt.Sprintf(`version = 1
[[listeners]]
address = "127.0.0.1:0"
[[routes]]
name = "safe"
prefix = "/safe"
service = "s"
class = "safe"
[[routes]]
name = "keyed"
prefix = "/keyed"
service = "s"
class = "keyed"
[[routes]]
name = "unsafe"
prefix = "/unsafe"
service = "s"
class = "unsafe"
[services.s]
max_answer = 100_000
%s
[services.s.classes]
safe = { repeat = "safe", objective = "300ms", deadline = "%v" }
keyed = { repeat = "keyed", objective = "300ms", deadline = "%v", dedup_scope = "cell", dedup_window = "9s" }
unsafe = { repeat = "unsafe", objective = "300ms", deadline = "%v" }
%s`, upstream.config(), deadline, deadline, deadline, endpoints)
}

// startSidecar runs a sidecar until the test ends, and returns its address.
func startSidecar(t *testing.T, app *config.App) string {
	t.Helper()
	s, err := sidecar.New(app, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background()) // ends after the test's own, in Cleanup
	var run sync.WaitGroup
	run.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		run.Wait()
	})
	if err := s.WaitReady(ctx, 20*time.Second); err != nil {
		t.Fatal(err)
	}
	return s.Addr()
}
