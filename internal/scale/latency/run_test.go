package latency

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernlanding/internal/standin"
)

// buildSidecar builds the program under test.
func buildSidecar(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "fernlanding")
	build := exec.Command("go", "build", "-o", program, "fernlanding/cmd/fernlanding")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// Every scheduled call is sent once and answered once, directly and through two sidecars, and the
// result can be read. On a busy machine, a sidecar with new backends may reject calls that arrive at
// once. A rejection is an answer too.
func TestRun(t *testing.T) {
	p, err := ReadPlan("p.toml", []byte("format = 1\nwarm = \"100ms\"\nsegment = \"100ms\"\n"+
		"[sidecar]\nobjective = \"4s\"\ndeadline = \"4s\"\n"+
		"[[cases]]\nname = \"two hops\"\nrate_per_second = 200\nhops = 2\nbackends = 2\nconnections = 64\n"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), p, Options{Program: buildSidecar(t)})
	if err != nil {
		t.Fatal(err)
	}
	const each = 3 * 2 * 20 // rounds * segments of one path per round * calls per segment
	if all := r.Cases[0].All; all.DirectCalls != each || all.ThroughCalls != each || all.Failed != 0 {
		t.Errorf("%d calls directly and %d through, %d failed (%s); want %d on both paths and none failed",
			all.DirectCalls, all.ThroughCalls, all.Failed, all.Failure, each)
	}
	if _, err := ReadResult("r.json", encode(t, r)); err != nil {
		t.Error(err)
	}
	var text strings.Builder
	if err := r.Print(&text); err != nil || !strings.Contains(text.String(), "two hops: 200 calls a second, 2 hops") {
		t.Errorf("Print: error %v, want the case in:\n%s", err, text.String())
	}
}

// The error of a program that exits at its start contains the output of the program.
func TestRunReportsOutputOfFailingProgram(t *testing.T) {
	program := filepath.Join(t.TempDir(), "broken")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho no sidecar >&2\nexit 1\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	p, err := ReadPlan("p.toml", []byte(smallPlan))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Run(t.Context(), p, Options{Program: program})
	if err == nil || !strings.Contains(err.Error(), "no sidecar") {
		t.Errorf("got error %v, want the output of the program", err)
	}
}

// backendFor returns a backend with a handler and a pool of connections to the backend.
func backendFor(t *testing.T, size int, h standin.Handler) (*standin.Backend, *pool) {
	t.Helper()
	b, err := standin.NewBackend(h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	p := &pool{addresses: []netip.AddrPort{netip.MustParseAddrPort(b.Addr())}, size: size}
	t.Cleanup(p.close)
	return b, p
}

// A backend that delays one call does not delay the other calls, and the delay is measured: with
// enough connections, all other calls are sent and answered before the delayed call, whose latency
// is measured from its intended send time.
func TestPlayIsOpenLoop(t *testing.T) {
	const calls = 20
	release := make(chan struct{})
	b, p := backendFor(t, 4, func(c *standin.Call) bool {
		switch c.Header.Get("Request-Id") { // the order of arrival may differ from the order of sending
		case "call-0000000001":
			<-release
		case "call-0000000020":
			close(release)
		}
		return standin.Echo(c)
	})
	tally := newTally()
	if err := playSchedule(t.Context(), p, Schedule(Even, 1000, calls, 1), tally); err != nil {
		t.Fatal(err)
	}
	if tally.sent != calls || tally.served != calls || tally.failure != nil || b.Requests() != calls {
		t.Errorf("%d sent, %d answered, %d received by the backend, error %v; want %d of each",
			tally.sent, tally.served, b.Requests(), tally.failure, calls)
	}
	// The last call is due 19 ms after the first call, which is answered only then. A histogram has a
	// precision of three digits.
	if slowest := time.Duration(tally.latency.Max()); slowest < (calls-1)*time.Millisecond*999/1000 {
		t.Errorf("largest latency %v, want at least the 19 ms of the delayed call", slowest)
	}
}

// A call that becomes due while no connection is idle is counted as waited and is sent later.
func TestPlayCountsWaits(t *testing.T) {
	const calls = 5
	_, p := backendFor(t, 1, standin.Echo)
	tally := newTally()
	if err := playSchedule(t.Context(), p, make([]time.Duration, calls), tally); err != nil {
		t.Fatal(err)
	}
	if tally.served != calls || tally.waited != calls-1 {
		t.Errorf("%d served, %d waited; want %d and %d", tally.served, tally.waited, calls, calls-1)
	}
}

// Calls with an invalid response or a closed connection are failed calls. Their connections are
// replaced before the next segment.
func TestPlayCountsFailures(t *testing.T) {
	for name, h := range map[string]standin.Handler{
		"status":  standin.RespondWith("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true),
		"close":   func(*standin.Call) bool { return false },
		"two":     standin.RespondWith(okResponse+okResponse, true),
		"endless": standin.RespondWith(strings.Repeat("x", maxResponseBytes), true),
	} {
		b, p := backendFor(t, 4, func(c *standin.Call) bool {
			if c.Number%2 == 0 {
				return h(c)
			}
			return standin.Echo(c)
		})
		tally := newTally()
		for range 2 {
			if err := playSchedule(t.Context(), p, Schedule(Even, 1000, 4, 1), tally); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if tally.sent != 8 || tally.served != 4 || tally.failure == nil || b.Requests() != 8 {
			t.Errorf("%s: %d sent, %d served, %d received by the backend, error %v; want 8, 4, 8 and an error",
				name, tally.sent, tally.served, b.Requests(), tally.failure)
		}
	}
}

// Rejections keep the connection open and are counted separately from failures.
func TestPlayCountsRejections(t *testing.T) {
	b, p := backendFor(t, 1, func(c *standin.Call) bool {
		if c.Number%2 == 0 {
			return c.Reply(http.StatusServiceUnavailable, "", nil) == nil
		}
		return standin.Echo(c)
	})
	tally := newTally()
	if err := playSchedule(t.Context(), p, Schedule(Even, 1000, 4, 1), tally); err != nil {
		t.Fatal(err)
	}
	opened, _, _ := b.Conns()
	if tally.served != 2 || tally.rejected != 2 || tally.failure != nil ||
		opened != 1 || tally.latency.TotalCount() != 2 {
		t.Errorf("%d served, %d rejected, error %v, %d connections, %d latencies; want 2, 2, nil, 1 and 2",
			tally.served, tally.rejected, tally.failure, opened, tally.latency.TotalCount())
	}
}

// playSchedule returns an error if the context is canceled or if all connections have closed.
func TestPlayReturnsErrors(t *testing.T) {
	_, p := backendFor(t, 2, standin.Hang)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := playSchedule(ctx, p, Schedule(Even, 1000, 2, 1), newTally()); !errors.Is(err, context.Canceled) {
		t.Errorf("canceled context: got error %v, want context.Canceled", err)
	}
	_, p = backendFor(t, 2, func(*standin.Call) bool { return false })
	if err := playSchedule(t.Context(), p, Schedule(Even, 1000, 10, 1), newTally()); !errors.Is(err, errNoConnections) {
		t.Errorf("all connections closed: got error %v, want errNoConnections", err)
	}
}
