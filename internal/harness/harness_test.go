package harness_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"sync"
	"testing"

	"fernlanding/internal/harness"
	"fernlanding/internal/harness/check"
	"fernlanding/internal/harness/harnesstest"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
)

// Environment variables that run the test's own executable as a worker of the harness, as a naive
// proxy, or as the harness that a test kills.
const (
	roleVar    = "RIG_TEST_ROLE"
	bugVar     = "RIG_TEST_BUG"
	programVar = "RIG_TEST_PROGRAM"
)

var program string // path of the sidecar, built from this source tree

func TestMain(m *testing.M) {
	switch os.Getenv(roleVar) {
	case "worker":
		harnesstest.Exit(worker.Main(os.Stdin, os.Stdout))
	case "naive":
		harnesstest.Exit(runNaiveProxy(os.Args[2], os.Getenv(bugVar)))
	case "rig":
		harnesstest.Exit(runHarness(os.Getenv(programVar), os.Args[1]))
	}
	harnesstest.Main(m, "fernlanding", func(path string) { program = path })
}

// options returns the options of a run with a program under test. The path of the test's own
// executable selects the naive proxy.
func options(sidecar string, env ...string) harness.Options {
	opts := harness.Options{Sidecar: []string{sidecar}, Worker: harnesstest.InRole(roleVar, "worker"), Env: env}
	if sidecar == harnesstest.Self() {
		opts.Sidecar = harnesstest.InRole(roleVar, "naive")
	}
	return opts
}

// runScenario runs a scenario and returns the verdicts and figures of its history.
func runScenario(t *testing.T, spec *scenario.Scenario, opts harness.Options) ([]check.Verdict, check.Figures) {
	t.Helper()
	var log bytes.Buffer
	opts.Out = &log
	if err := harness.Run(context.Background(), spec, opts); err != nil {
		t.Fatal(err)
	}
	events, err := history.Read(&log)
	if err != nil {
		t.Fatal(err)
	}
	result := check.Judge(spec, events)
	return result.Verdicts, result.Figures
}

// decode decodes a scenario.
func decode(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	spec, err := scenario.Read("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

// smallScenario is a short run with four faults drawn from the seed.
const smallScenario = `
name = "small"
for = "1500ms"
[sidecars]
count = 24
sites = ["a", "b", "c"]
told = true
[lists]
count = 2
rate = 100
[backends]
count = 12
processes = 2
cores = 8
[clients]
rate = 250
poll = "50ms"
[random]
count = 4
kinds = ["kill", "stop", "cut", "delay", "oneway", "hold", "reset", "half", "replace", "down"]
from = "300ms"
until = "1400ms"
long = "700ms"
`

// Twenty-four sidecars pass all checks under thirty random fault schedules. The faults are kills,
// stops, cuts, delays, one-way cuts, partially delivered messages, resets, half-closed connections,
// replaced backends and list services that are down.
func TestChecksPassUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a thousand processes")
	}
	slots := make(chan struct{}, 3)
	var all sync.WaitGroup
	for seed := range uint64(30) {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			spec := decode(t, smallScenario)
			spec.Seed = seed
			verdicts, figures := runScenario(t, spec, options(program))
			for _, verdict := range verdicts {
				t.Errorf("seed %d: %s", seed, verdict)
			}
			if figures.Requests < 100 || figures.Served < 0.3*float64(figures.Requests) {
				t.Errorf("seed %d: %.0f of %d requests served, too few for a meaningful run",
					seed, figures.Served, figures.Requests)
			}
			if t.Failed() {
				t.Logf("faults of seed %d:\n%s", seed, scenario.Text(spec.Schedule()))
			}
		})
	}
	all.Wait()
}

// Each check finds the naive proxy with the bug that the check is for. A naive proxy without a bug
// passes all checks.
func TestCheckersFindSeededBugs(t *testing.T) {
	const base = `
name = "bugs"
for = "1500ms"
[sidecars]
count = 4
[backends]
count = 6
cores = 2
waiting = 200
work = "10ms"
cold = "30s"
start_capacity = 0.05
[clients]
rate = 200
poll = "20ms"
%s
`
	const drain = `[[faults]]
at = "300ms"
for = "1200ms"
kind = "replace"
names = ["backend-1", "backend-2"]
`
	const replaceOne = `[[faults]]
at = "300ms"
for = "300ms"
kind = "replace"
names = ["backend-1"]
`
	const addressReuse = `[[faults]]
at = "250ms"
for = "1200ms"
kind = "down"
[[faults]]
at = "300ms"
for = "1100ms"
kind = "moved"
names = ["backend-1", "backend-2", "backend-3"]
[[faults]]
at = "500ms"
for = "400ms"
kind = "kill"
`
	for _, c := range []struct{ bug, extra, check string }{
		{"", "", ""},
		{"", drain, ""},
		{"forget", "", check.OneResponse},
		{"swap", "", check.OneResponse},
		{"twice", "", check.Effects},
		{"drains", drain, check.Drains},
		{"cold", replaceOne, check.Warmup},
		{"strays", addressReuse, check.Misrouted},
		{"crash", "", check.Processes},
		{"reads", "[bounds]\nreads_per_s = 50\n", check.Bounds},
	} {
		t.Run(c.bug+"/"+c.check, func(t *testing.T) {
			spec := decode(t, fmt.Sprintf(base, c.extra))
			verdicts, _ := runScenario(t, spec, options(harnesstest.Self(), bugVar+"="+c.bug))
			found := false
			for _, verdict := range verdicts {
				found = found || verdict.Check == c.check
				if c.check == "" {
					t.Error(verdict)
				}
			}
			if !found && c.check != "" {
				t.Errorf("bug %q: no verdict of check %s", c.bug, c.check)
			}
		})
	}
}
