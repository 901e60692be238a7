package sweep_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/scenario"
	"fernlanding/internal/scale/sweep"
	"fernlanding/internal/scale/worker"
)

// workerVariable is the environment variable that is set in the worker processes of the tests.
const workerVariable = "SCALE_TEST_WORKER"

// TestMain runs a worker instead of the tests if workerVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(workerVariable) == "" {
		os.Exit(m.Run())
	}
	if err := worker.Run(os.Stdin, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err) // there is no other place to report the error
		os.Exit(1)
	}
}

// readScenario parses a scenario.
func readScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Read("s.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// workerOptions returns options with the test program as the worker.
func workerOptions(t *testing.T) sweep.Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(workerVariable, "yes")
	return sweep.Options{Worker: []string{self}}
}

const relayRounds = 4

const smallScenario = `format = 1
name = "small"
warm_up = "100ms"
span = "300ms"
settle = "300ms"
rounds = 1

[size]
services = 2
services_in_all = 4
backends = 5
changes_per_second = 20
calls_per_second = 10

[processes]
proxies = 2

[sweep]
dimension = "proxies"
sizes = [1, 2, 4, 8, 16]
held_out = 20
`

// sumOfCounters adds the counters of two rounds. The tests check sums over rounds, because a starved
// process may do nothing in a single short round.
func sumOfCounters(a, b result.Cost) result.Cost {
	a.CPUSeconds += b.CPUSeconds
	a.AllocatedBytes += b.AllocatedBytes
	a.Allocations += b.Allocations
	a.BytesIn += b.BytesIn
	a.BytesOut += b.BytesOut
	a.MessagesIn += b.MessagesIn
	a.MessagesOut += b.MessagesOut
	return a
}

// checkCounters fails the test unless all counters that every role has are positive.
func checkCounters(t *testing.T, c result.Cost) {
	t.Helper()
	if c.CPUSeconds <= 0 || c.BytesIn <= 0 || c.BytesOut <= 0 || c.MessagesIn <= 0 || c.MessagesOut <= 0 {
		t.Errorf("cost %+v, want CPU time, bytes and messages above 0", c)
	}
}

// A sweep of up to 20 hollow proxies measures every metric.
func TestSweepOverConsul(t *testing.T) {
	out, err := sweep.Run(context.Background(), readScenario(t, smallScenario), workerOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(out.Points) != 6 || out.Format != result.Format || !out.Hollow {
		t.Fatalf("result %+v, want 6 points with hollow proxies", out)
	}
	propagation, calls := int64(0), int64(0)
	var proxies, lists result.Cost
	for i, p := range out.Points {
		if p.HeldOut != (i == 5) || len(p.Rounds) != 1 {
			t.Fatalf("point %d: %+v, want one round and the last point held out", i, p)
		}
		r := p.Rounds[0]
		propagation += r.Propagation.Count
		calls += r.Call.Count
		if r.Proxies.Processes != min(2, p.Size.Proxies) || r.Proxies.Connections < 2*p.Size.Proxies ||
			r.Lists.Processes != 1 || r.Relays.Processes != 0 {
			t.Errorf("%d proxies: wrong processes or connections in %+v", p.Size.Proxies, r)
		}
		for _, c := range []result.Cost{r.Proxies, r.Lists} {
			if c.RSSBytes <= 0 || c.HeapBytes <= 0 || c.Goroutines <= 0 {
				t.Errorf("%d proxies: cost %+v, want memory and goroutines above 0", p.Size.Proxies, c)
			}
		}
		proxies = sumOfCounters(proxies, r.Proxies)
		lists = sumOfCounters(lists, r.Lists)
	}
	for _, c := range []result.Cost{proxies, lists} {
		if c.Allocations <= 0 || c.AllocatedBytes <= 0 {
			t.Errorf("cost %+v, want allocations above 0", c)
		}
		checkCounters(t, c)
	}
	if propagation == 0 || calls == 0 {
		t.Errorf("%d applied changes, %d calls; want both above 0", propagation, calls)
	}
}

// A sweep over relays also measures the source and the relays. Each proxy has one connection.
func TestSweepOverRelays(t *testing.T) {
	program := filepath.Join(t.TempDir(), "fernrelay")
	build := exec.Command("go", "build", "-o", program, "fernlanding/cmd/fernrelay")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	opts := workerOptions(t)
	opts.Relay = []string{program}
	opts.Selection = sweep.HeldOutOnly
	text := strings.NewReplacer(
		"name = \"small\"", "name = \"small\"\nsource = \"relay\"",
		"rounds = 1", fmt.Sprintf("rounds = %d", relayRounds),
		"proxies = 2\n", "proxies = 2\nrelays = 2\n",
	).Replace(smallScenario)
	out, err := sweep.Run(context.Background(), readScenario(t, text), opts)
	if err != nil {
		t.Fatal(err)
	}
	if len(out.Points) != 1 || !out.Points[0].HeldOut || len(out.Points[0].Rounds) != relayRounds {
		t.Fatalf("points %+v, want the held-out point with %d rounds", out.Points, relayRounds)
	}
	propagation, calls := int64(0), int64(0)
	var proxies, lists, relays result.Cost
	p := out.Points[0]
	for _, r := range p.Rounds {
		if r.Proxies.Connections < p.Size.Proxies || r.Lists.Processes != 1 ||
			r.Relays.Processes != 2 || r.Relays.Connections < p.Size.Proxies {
			t.Errorf("wrong processes or connections in %+v", r)
		}
		if r.Proxies.RSSBytes <= 0 || r.Lists.RSSBytes <= 0 || r.Relays.RSSBytes <= 0 {
			t.Errorf("round %+v, want resident memory above 0 for each role", r)
		}
		propagation += r.Propagation.Count
		calls += r.Call.Count
		proxies = sumOfCounters(proxies, r.Proxies)
		lists = sumOfCounters(lists, r.Lists)
		relays = sumOfCounters(relays, r.Relays)
	}
	checkCounters(t, proxies)
	checkCounters(t, lists)
	checkCounters(t, relays)
	if propagation == 0 || calls == 0 {
		t.Errorf("%d applied changes, %d calls; want both above 0", propagation, calls)
	}
}

// A size that exceeds a limit of the machine is rejected before any size is measured. The error is
// one line with the maximum number of proxies.
func TestSizesBeyondMachineLimitsAreRejected(t *testing.T) {
	const text = "format = 1\nname = \"x\"\n[size]\nservices = 100\nservices_in_all = 100\n" +
		"[sweep]\ndimension = \"proxies\"\nsizes = [1, 2, 4, 8, 100_000]\n"
	opts := sweep.Options{Worker: []string{"/nonexistent"}}
	_, err := sweep.Run(context.Background(), readScenario(t, text), opts)
	if err == nil || !strings.Contains(err.Error(), "100000 proxies exceed the limit of ") ||
		!strings.Contains(err.Error(), " descriptors in each of ") || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %v, want one line with the limit by descriptors", err)
	}
	opts = workerOptions(t)
	opts.MemoryBytes = 64 << 20
	const memory = "format = 1\nname = \"x\"\nwarm_up = \"0s\"\n" +
		"[sweep]\ndimension = \"proxies\"\nsizes = [1, 2, 4, 8, 8_000]\n"
	_, err = sweep.Run(context.Background(), readScenario(t, memory), opts)
	if err == nil || !strings.Contains(err.Error(), "8000 proxies exceed the limit of ") ||
		!strings.Contains(err.Error(), " GB of memory") || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %v, want one line with the limit by memory", err)
	}
}

// A worker that cannot be started or exits early fails the sweep with an error that names it.
func TestFailedWorkerFailsSweep(t *testing.T) {
	for _, program := range []string{"/nonexistent", "/bin/true"} {
		opts := sweep.Options{Worker: []string{program}}
		_, err := sweep.Run(context.Background(), readScenario(t, smallScenario), opts)
		if err == nil || !strings.Contains(err.Error(), "lists-1") {
			t.Errorf("%s: got error %v, want an error that names lists-1", program, err)
		}
	}
}
