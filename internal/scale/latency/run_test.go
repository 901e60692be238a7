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

// Every intended call is sent once and has one answer, directly and through two sidecars, and the
// result can be read again. A sidecar whose backends are new may refuse what a busy machine brings
// it at once: a refusal is an answer too.
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
	const each = 3 * 2 * 20 // rounds, segments of one way in each, calls in each
	if all := r.Cases[0].All; all.DirectCalls != each || all.ThroughCalls != each || all.Failed != 0 {
		t.Errorf("%d calls directly and %d through, %d failed (%s); want %d both ways and none failed",
			all.DirectCalls, all.ThroughCalls, all.Failed, all.Failure, each)
	}
	if _, err := ReadResult("r.json", encode(t, r)); err != nil {
		t.Error(err)
	}
	var text strings.Builder
	if err := r.Print(&text); err != nil || !strings.Contains(text.String(), "two hops: 200 calls a second, 2 hops") {
		t.Errorf("printed, with error %v:\n%s", err, text.String())
	}
}

// A program that ends at its start is named with what it said, and nothing is left of the chain.
func TestRunOfABrokenProgram(t *testing.T) {
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
		t.Errorf("error %v", err)
	}
}

// backendFor returns a backend's pool of connections.
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

// A backend that holds up one call delays neither the sending of the others nor hides its own wait:
// with connections enough, all others are sent and answered before the held one, whose latency
// counts from its intended moment.
func TestPlayIsOpenLoop(t *testing.T) {
	const calls = 20
	release := make(chan struct{})
	b, p := backendFor(t, 4, func(c *standin.Call) bool {
		switch c.Header.Get("Request-Id") { // not by the order of arrival, which may differ from that of sending
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
		t.Errorf("%d sent, %d answered, %d came, %v; want %d of each",
			tally.sent, tally.served, b.Requests(), tally.failure, calls)
	}
	// The last call is due 19 ms after the first, which is answered only then; a histogram holds
	// three digits.
	if slowest := time.Duration(tally.latency.Max()); slowest < (calls-1)*time.Millisecond*999/1000 {
		t.Errorf("the held call counts as %v", slowest)
	}
}

// A call that is due while no connection is idle waits, counts as waiting, and is sent all the
// same.
func TestPlayCountsWaits(t *testing.T) {
	const calls = 5
	_, p := backendFor(t, 1, standin.Echo)
	tally := newTally()
	if err := playSchedule(t.Context(), p, make([]time.Duration, calls), tally); err != nil {
		t.Fatal(err)
	}
	if tally.served != calls || tally.waited != calls-1 {
		t.Errorf("%d answered, %d waited; want %d and %d", tally.served, tally.waited, calls, calls-1)
	}
}

// Calls that are answered badly, or whose connection ends, are failed calls; their connections are
// opened anew for the next segment.
func TestPlayCountsFailures(t *testing.T) {
	for name, h := range map[string]standin.Handler{
		"status":  standin.RespondWith("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true),
		"close":   func(*standin.Call) bool { return false },
		"two":     standin.RespondWith(goodAnswer+goodAnswer, true),
		"endless": standin.RespondWith(strings.Repeat("x", maxAnswer), true),
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
			t.Errorf("%s: %d sent, %d answered, %d came, %v",
				name, tally.sent, tally.served, b.Requests(), tally.failure)
		}
	}
}

// Refusals are answers on a connection that stays, and count by themselves.
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
		t.Errorf("%d served, %d refused, %v, %d connections", tally.served, tally.rejected, tally.failure, opened)
	}
}

// Nothing is left open when a segment is called off, and one whose connections have all ended says
// so.
func TestPlayEnds(t *testing.T) {
	_, p := backendFor(t, 2, standin.Hang)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := playSchedule(ctx, p, Schedule(Even, 1000, 2, 1), newTally()); !errors.Is(err, context.Canceled) {
		t.Errorf("called off: %v", err)
	}
	_, p = backendFor(t, 2, func(*standin.Call) bool { return false })
	if err := playSchedule(t.Context(), p, Schedule(Even, 1000, 10, 1), newTally()); !errors.Is(err, errNoConnections) {
		t.Errorf("no connections: %v", err)
	}
}
