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

// workerVariable is set in the processes that this test starts from itself.
const workerVariable = "SCALE_TEST_WORKER"

// TestMain runs a worker in place of the tests in the processes that the tests start.
func TestMain(m *testing.M) {
	if os.Getenv(workerVariable) == "" {
		os.Exit(m.Run())
	}
	if err := worker.Run(os.Stdin, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err) // there is no other place to say so
		os.Exit(1)
	}
}

// readScenario returns the scenario of a text.
func readScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Read("s.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// workerOptions returns options by which this test's own program is the worker.
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

const small = `format = 1
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

// sumOfCounters adds up what is counted over spans: in a single short one a starved process may do
// nothing.
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

// checkCounters fails the test unless all that every role counts was counted.
func checkCounters(t *testing.T, c result.Cost) {
	t.Helper()
	if c.CPUSeconds <= 0 || c.BytesIn <= 0 || c.BytesOut <= 0 || c.MessagesIn <= 0 || c.MessagesOut <= 0 {
		t.Errorf("%+v", c)
	}
}

// A sweep of up to 20 hollow proxies measures every figure.
func TestSweepOverConsul(t *testing.T) {
	out, err := sweep.Run(context.Background(), readScenario(t, small), workerOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(out.Points) != 6 || out.Format != result.Format || !out.Hollow {
		t.Fatalf("%+v", out)
	}
	inForce, calls := int64(0), int64(0)
	var proxies, lists result.Cost
	for i, p := range out.Points {
		if p.HeldOut != (i == 5) || len(p.Rounds) != 1 {
			t.Fatalf("%+v", p)
		}
		r := p.Rounds[0]
		inForce += r.Propagation.Count
		calls += r.Call.Count
		if r.Proxies.Processes != min(2, p.Size.Proxies) || r.Proxies.Connections < 2*p.Size.Proxies ||
			r.Lists.Processes != 1 || r.Relays.Processes != 0 {
			t.Errorf("%d proxies: %+v", p.Size.Proxies, r)
		}
		for _, c := range []result.Cost{r.Proxies, r.Lists} {
			if c.RSSBytes <= 0 || c.HeapBytes <= 0 || c.Goroutines <= 0 {
				t.Errorf("%d proxies: %+v", p.Size.Proxies, c)
			}
		}
		proxies = sumOfCounters(proxies, r.Proxies)
		lists = sumOfCounters(lists, r.Lists)
	}
	for _, c := range []result.Cost{proxies, lists} {
		if c.Allocations <= 0 || c.AllocatedBytes <= 0 {
			t.Errorf("%+v", c)
		}
		checkCounters(t, c)
	}
	if inForce == 0 || calls == 0 {
		t.Errorf("%d changes in force, %d calls", inForce, calls)
	}
}

// A sweep over relays measures the source and the relays too; each proxy has one connection.
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
	).Replace(small)
	out, err := sweep.Run(context.Background(), readScenario(t, text), opts)
	if err != nil {
		t.Fatal(err)
	}
	if len(out.Points) != 1 || !out.Points[0].HeldOut || len(out.Points[0].Rounds) != relayRounds {
		t.Fatalf("%+v", out.Points)
	}
	inForce, calls := int64(0), int64(0)
	var proxies, lists, relays result.Cost
	p := out.Points[0]
	for _, r := range p.Rounds {
		if r.Proxies.Connections < p.Size.Proxies || r.Lists.Processes != 1 ||
			r.Relays.Processes != 2 || r.Relays.Connections < p.Size.Proxies {
			t.Errorf("%+v", r)
		}
		if r.Proxies.RSSBytes <= 0 || r.Lists.RSSBytes <= 0 || r.Relays.RSSBytes <= 0 {
			t.Errorf("%+v", r)
		}
		inForce += r.Propagation.Count
		calls += r.Call.Count
		proxies = sumOfCounters(proxies, r.Proxies)
		lists = sumOfCounters(lists, r.Lists)
		relays = sumOfCounters(relays, r.Relays)
	}
	checkCounters(t, proxies)
	checkCounters(t, lists)
	checkCounters(t, relays)
	if inForce == 0 || calls == 0 {
		t.Errorf("%d changes in force, %d calls", inForce, calls)
	}
}

// A size that does not fit is rejected by one line that says how many proxies do, and nothing is
// started.
func TestSizesThatDoNotFitAreRejected(t *testing.T) {
	const text = "format = 1\nname = \"x\"\n[size]\nservices = 100\nservices_in_all = 100\n" +
		"[sweep]\ndimension = \"proxies\"\nsizes = [1, 2, 4, 8, 100_000]\n"
	opts := sweep.Options{Worker: []string{"/nonexistent"}}
	_, err := sweep.Run(context.Background(), readScenario(t, text), opts)
	if err == nil || !strings.Contains(err.Error(), "100000 proxies do not fit: ") ||
		!strings.Contains(err.Error(), " do, by the ") || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
	opts = workerOptions(t)
	opts.MemoryBytes = 64 << 20
	const memory = "format = 1\nname = \"x\"\nwarm_up = \"0s\"\n" +
		"[sweep]\ndimension = \"proxies\"\nsizes = [1, 2, 4, 8, 8_000]\n"
	_, err = sweep.Run(context.Background(), readScenario(t, memory), opts)
	if err == nil || !strings.Contains(err.Error(), "8000 proxies do not fit: ") ||
		!strings.Contains(err.Error(), " GB of memory") || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
}

// A worker that cannot be started, and one that exits, fail the sweep with a reason.
func TestFailedWorkerFailsSweep(t *testing.T) {
	for _, program := range []string{"/nonexistent", "/bin/true"} {
		_, err := sweep.Run(context.Background(), readScenario(t, small), sweep.Options{Worker: []string{program}})
		if err == nil || !strings.Contains(err.Error(), "lists-1") {
			t.Errorf("%s: %v", program, err)
		}
	}
}
