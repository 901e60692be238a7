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

// script returns the fault for the next attempt that a backend receives, and the body of the
// response if the attempt is served.
type script func() (f fault, body string)

// upstreamProtocol provides the stand-in backends of a protocol.
type upstreamProtocol interface {
	// start starts a backend that runs the script for each attempt that the backend receives. It
	// returns the address of the backend.
	start(tb testing.TB, s script) (addr string)
	// config returns the settings with which a service is reached over the protocol, as lines of
	// TOML. They are empty for HTTP/1.1.
	config() string
}

// frontProtocol provides the client of a protocol.
type frontProtocol interface {
	// send sends a request of a class and returns the outcome that the response means to a client,
	// and the body of the response. It never retries.
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

// attemptRecorder assigns the faults of a case to its attempts, and records the cells that received
// the attempts.
type attemptRecorder struct {
	testCase testCase

	mu    sync.Mutex
	cells []int // cells of the received attempts, in order
}

// script returns the script of the backends in a cell.
func (r *attemptRecorder) script(cell int) script {
	return func() (fault, string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		n := len(r.cells)
		if r.testCase.faults[0] == notListening {
			n++ // no backend receives the first attempt
		}
		r.cells = append(r.cells, cell)
		return r.testCase.faultOf(n), attemptBody(len(r.cells))
	}
}

// faultOf returns the fault of the nth attempt, counted from 0.
func (c *testCase) faultOf(n int) fault { return c.faults[min(n, len(c.faults)-1)] }

// attemptBody returns the body of the response to the nth received attempt, counted from 1.
func attemptBody(n int) string { return fmt.Sprintf("answer %d", n) }

// runCase runs a case with a sidecar and backends of its own.
func runCase(t *testing.T, c testCase, front frontProtocol, upstream upstreamProtocol) {
	t.Helper()
	r := &attemptRecorder{testCase: c}
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
		t.Errorf("outcome: got %s, want %s", got, c.want)
	}
	if received != c.attempts && (c.faults[0] != notListening || received != 1) {
		t.Errorf("attempts received by backends: got %d, want %d", received, c.attempts)
	}
	if got == served && body != attemptBody(received) {
		t.Errorf("body: got %.60q, want the response to attempt %d", body, received)
	}
	r.checkDedupScope(t)
}

// checkDedupScope checks that a request that is idempotent by key is not retried in another cell
// once it may have run. The caller holds mu.
func (r *attemptRecorder) checkDedupScope(t *testing.T) {
	t.Helper()
	if r.testCase.class != idempotentByKey {
		return
	}
	for i := 1; i < len(r.cells); i++ {
		if r.testCase.faultOf(i-1).mayHaveRun() && r.cells[i] != r.cells[i-1] {
			t.Errorf("keyed request that may have run was retried from cell %d in cell %d", r.cells[i-1], r.cells[i])
		}
	}
}

// startBackends starts the backends of all cells and returns their endpoints as TOML.
func startBackends(t *testing.T, r *attemptRecorder, upstream upstreamProtocol) string {
	t.Helper()
	hasDeadBackend := r.testCase.faults[0] == notListening
	var endpoints strings.Builder
	for cell := range cells {
		for i := range backendsPerCell {
			var addr string
			if hasDeadBackend && cell == 0 && i == 0 {
				addr = "127.0.0.1:1" // nothing listens there
			} else {
				addr = upstream.start(t, r.script(cell))
				if hasDeadBackend && i == 1 {
					continue // with fewer endpoints, the dead backend is more likely to be selected
				}
			}
			fmt.Fprintf(&endpoints, "[[services.s.endpoints]]\nname = \"b%d%d\"\naddress = %q\ncell = %d\n",
				cell, i, addr, cell)
		}
	}
	return endpoints.String()
}

// configText returns the configuration of a sidecar with a service that has a class of each retry
// rule.
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
	ctx, cancel := context.WithCancel(context.Background()) // t.Context would end before Cleanup
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
