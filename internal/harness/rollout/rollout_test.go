package rollout_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/harness/harnesstest"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout"
	"fernlanding/internal/harness/rollout/check"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/harness/worker"
)

// Environment variables that run the test's own executable as a worker of the harness or as a
// stand-in with a seeded bug, and the roles.
const (
	roleVar = "ROLLOUT_TEST_ROLE"
	bugVar  = "ROLLOUT_TEST_BUG"
	keepVar = "ROLLOUT_TEST_KEEP" // directory in which histories with verdicts are kept

	roleWorker      = "actor"
	roleNaiveWorker = "naive-actor"
	roleNaiveNode   = "naive-node"
)

// program is the path of fernrelay, built from this source tree.
var program string

// TestMain runs the tests or the role that the environment selects.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVar) {
	case roleWorker:
		harnesstest.Exit(worker.Main(os.Stdin, os.Stdout))
	case roleNaiveWorker:
		newFollower := func(c follow.Config) worker.Follower { return newNaiveFollower(c) }
		harnesstest.Exit(worker.MainWith(os.Stdin, os.Stdout, newFollower))
	case roleNaiveNode:
		harnesstest.Exit(runNaiveNode(os.Args[1:], bug(os.Getenv(bugVar))))
	}
	harnesstest.Main(m, "fernrelay", func(path string) { program = path }, "-race="+strconv.FormatBool(raceEnabled))
}

// decode decodes a scenario.
func decode(tb testing.TB, text string) *plan.Scenario {
	tb.Helper()
	sc, err := plan.Decode("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return sc
}

// run runs a scenario and returns the verdicts and metrics of its history.
func run(t *testing.T, sc *plan.Scenario, opts rollout.Options) ([]check.Verdict, check.Metrics) {
	t.Helper()
	var log bytes.Buffer
	opts.Out = &log
	if err := rollout.Run(context.Background(), sc, opts); err != nil {
		t.Error(err)
		return nil, check.Metrics{}
	}
	all, err := history.Read(bytes.NewReader(log.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	verdicts := check.Run(sc, all)
	if dir := os.Getenv(keepVar); dir != "" && len(verdicts) > 0 {
		name := fmt.Sprintf("%s-%d.jsonl", strings.ReplaceAll(t.Name(), "/", "-"), sc.Seed)
		if err := os.WriteFile(filepath.Join(dir, name), log.Bytes(), 0o600); err != nil {
			t.Error(err)
		}
	}
	for _, v := range verdicts {
		t.Logf("seed %d: %s", sc.Seed, v)
	}
	return verdicts, check.Measure(sc, all)
}

// naiveScenario is a scenario for naive stand-ins, small enough for several runs at a time.
const naiveScenario = `
name = "bugs"
for = "3s"
settle = "5s"
[relays]
regions = 1
zones = 1
per_zone = 2
hold = "300ms"
[followers]
processes = 2
each = 3
hold = "300ms"
follows = 3
[publisher]
rate = 10
resources = 3
items = 30
urgent = 0.3
[bounds]
late = "3s"
rest_bytes_per_s = 6000
cache_bytes = 10000
`

// Faults that are added to naiveScenario.
const (
	restartFaults = `
[[faults]]
at = "500ms"
for = "1s"
kind = "kill"
on = "zones"
names = ["zone-1"]
[[faults]]
at = "1600ms"
for = "10ms"
kind = "restart"
`
	sourceFaults = `
[[faults]]
at = "1500ms"
for = "300ms"
kind = "kill"
on = "source"
`
	stopFaults = `
[[faults]]
at = "1s"
for = "1900ms"
kind = "stop"
on = "followers"
`
)

// Each check finds the stand-in with the bug that the check is for. A stand-in without a bug passes
// all checks.
func TestCheckersFindSeededBugs(t *testing.T) {
	slots := make(chan struct{}, 5) // limits concurrent runs
	for _, test := range []struct {
		bug    bug
		faults string
		check  string
	}{
		{noBug, "", ""},
		{noBug, restartFaults, ""},
		{noBug, stopFaults, ""},
		{bugBackwards, "", check.Backwards},
		{bugDropUpdates, "", check.Late},
		{bugDelayUrgent, "", check.Urgent},
		{bugHeavyHeartbeat, "", check.Bounds},
		{bugUnboundedCache, "", check.Bounds},
		{bugSnapshotsOnly, "", check.Snapshots},
		{bugDropItem, "", check.Converged},
		{bugReportEarly, stopFaults, check.Status},
		{noBug, sourceFaults, check.Durable}, // the stand-in loses all resources at a restart
		{bugOmitFollower, "", check.Status},
		{bugCrash, "", check.Processes},
	} {
		t.Run(fmt.Sprintf("%s/%s", test.bug, test.check), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			verdicts, metrics := run(t, decode(t, naiveScenario+test.faults), rollout.Options{
				Program: harnesstest.InRole(roleVar, roleNaiveNode),
				Worker:  harnesstest.InRole(roleVar, roleNaiveWorker),
				Env:     []string{bugVar + "=" + string(test.bug)},
				Logs:    os.Stderr,
			})
			if test.faults == "" && metrics.UrgentEvaluated < 20 {
				t.Errorf("%d urgent updates evaluated, too few for a meaningful run", metrics.UrgentEvaluated)
			}
			if test.check == "" {
				for _, v := range verdicts {
					t.Error(v)
				}
				return
			}
			if !slices.ContainsFunc(verdicts, func(v check.Verdict) bool { return v.Check == test.check }) {
				t.Errorf("bug %q: no verdict of check %s in %v", test.bug, test.check, verdicts)
			}
			t.Logf("%d verdicts, first: %v", len(verdicts), verdicts[:min(len(verdicts), 1)])
		})
	}
}

// The programs of this source tree pass all checks under random faults, and while one relay of a
// zone is disconnected.
func TestChecksPassUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	data, err := os.ReadFile("../../../deploy/rig/rollout/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	var runs sync.WaitGroup
	for seed := range uint64(3) {
		runs.Go(func() {
			sc := decode(t, string(data))
			sc.Seed += seed
			m := runProgram(t, sc)
			if m.InForce < 500 || m.UrgentEvaluated < 50 || m.ConcurrentPuts == 0 {
				t.Errorf("seed %d: %d updates in force, %d urgent ones evaluated, %d concurrent puts, "+
					"too few for a meaningful run", sc.Seed, m.InForce, m.UrgentEvaluated, m.ConcurrentPuts)
			}
		})
	}
	runs.Go(func() {
		sc := decode(t, disconnectedScenario)
		m := runProgram(t, sc)
		if m.Faults != 1 || m.InForce < 200 {
			t.Errorf("%s: %d faults, %d updates in force, not a meaningful run", sc.Name, m.Faults, m.InForce)
		}
	})
	runs.Wait()
}

// disconnectedScenario disconnects one relay of a zone from both region relays for longer than the
// bound for the latency of versions.
const disconnectedScenario = `
name = "cut-off"
for = "14s"
settle = "14s"
[relays]
hold = "1s"
[followers]
processes = 2
each = 10
hold = "1s"
[publisher]
rate = 4
[bounds]
late = "8s"
[[faults]]
at = "2s"
for = "11s"
kind = "cut"
link = "zones-regions"
names = ["zone-1"]
`

// runProgram runs a scenario with the programs of this source tree and reports all verdicts as test
// errors.
func runProgram(t *testing.T, sc *plan.Scenario) check.Metrics {
	t.Helper()
	sc.Bounds.RelayMB *= raceMemory
	verdicts, metrics := run(t, sc, rollout.Options{
		Program: []string{program},
		Worker:  harnesstest.InRole(roleVar, roleWorker),
		Env:     []string{"GORACE=halt_on_error=1"}, // a data race ends the process, which the checks detect
		Logs:    os.Stderr,
	})
	for _, v := range verdicts {
		t.Errorf("%s, seed %d: %s", sc.Name, sc.Seed, v)
	}
	if len(verdicts) > 0 {
		t.Logf("%s, faults of seed %d:\n%s", sc.Name, sc.Seed, strings.Join(describe(sc), "\n"))
	}
	return metrics
}

// describe returns the schedule of a scenario, one line per fault.
func describe(sc *plan.Scenario) (out []string) {
	for _, f := range sc.Schedule() {
		out = append(out, f.String())
	}
	return out
}
