package rollout_test

import (
	"bytes"
	"context"
	"fernlanding/internal/distribution/follow"
	"fernlanding/internal/harness/harnesstest"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/rollout"
	"fernlanding/internal/harness/rollout/check"
	"fernlanding/internal/harness/rollout/plan"
	"fernlanding/internal/harness/worker"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// The test's own program is also the rig's actors and its stand-ins with a bug.
const (
	roleVar = "ROLLOUT_TEST_ROLE"
	bugVar  = "ROLLOUT_TEST_BUG"
	keepVar = "ROLLOUT_TEST_KEEP" // a directory for the histories that do not pass

	roleActor      = "actor"
	roleNaiveActor = "naive-actor"
	roleNaiveNode  = "naive-node"
)

var program string // fernrelay, built from this tree

func TestMain(m *testing.M) {
	switch os.Getenv(roleVar) {
	case roleActor:
		harnesstest.Exit(worker.Main(os.Stdin, os.Stdout))
	case roleNaiveActor:
		harnesstest.Exit(worker.MainWith(os.Stdin, os.Stdout, func(c follow.Config) worker.Follower { return newNaiveFollower(c) }))
	case roleNaiveNode:
		harnesstest.Exit(naive(os.Args[1:], bug(os.Getenv(bugVar))))
	}
	harnesstest.Main(m, "fernrelay", func(path string) { program = path }, "-race="+strconv.FormatBool(raceEnabled))
}

func decode(t testing.TB, text string) *plan.Scenario {
	t.Helper()
	sc, err := plan.Decode("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// play plays a scenario and judges it.
func play(t *testing.T, sc *plan.Scenario, o rollout.Options) ([]check.Verdict, check.Metrics) {
	t.Helper()
	var log bytes.Buffer
	o.Out = &log
	if err := rollout.Run(context.Background(), sc, o); err != nil {
		t.Error(err)
		return nil, check.Metrics{}
	}
	all, err := history.Read(bytes.NewReader(log.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	verdicts := check.Run(sc, all)
	if dir := os.Getenv(keepVar); dir != "" && len(verdicts) > 0 {
		_ = os.WriteFile(filepath.Join(dir, fmt.Sprintf("%s-%d.jsonl", strings.ReplaceAll(t.Name(), "/", "-"), sc.Seed)), log.Bytes(), 0o600)
	}
	for _, v := range verdicts {
		t.Logf("seed %d: %s", sc.Seed, v)
	}
	return verdicts, check.Measure(sc, all)
}

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

// Each checker finds the stand-in with the one bug that it is there for, and only a stand-in without a bug passes all.
func TestCheckersFindSeededBugs(t *testing.T) {
	together := make(chan struct{}, 5)
	for _, c := range []struct {
		bug    bug
		faults string
		check  string
	}{
		{noBug, "", ""},
		{noBug, restartFaults, ""},
		{noBug, stopFaults, ""},
		{bugBack, "", check.Backwards},
		{bugForget, "", check.Late},
		{bugHoldBack, "", check.Urgent},
		{bugHeartbeat, "", check.Bounds},
		{bugBacklog, "", check.Bounds},
		{bugWhole, "", check.Snapshots},
		{bugDropItem, "", check.Converged},
		{bugEarly, stopFaults, check.Status},
		{noBug, sourceFaults, check.Durable}, // the stand-in keeps nothing over a restart
		{bugUncounted, "", check.Status},
		{bugCrash, "", check.Processes},
	} {
		t.Run(fmt.Sprintf("%s/%s", c.bug, c.check), func(t *testing.T) {
			t.Parallel()
			together <- struct{}{}
			defer func() { <-together }()
			o := rollout.Options{Relay: harnesstest.InRole(roleVar, roleNaiveNode), Actor: harnesstest.InRole(roleVar, roleNaiveActor), Env: []string{bugVar + "=" + string(c.bug)}, Logs: os.Stderr}
			verdicts, f := play(t, decode(t, naiveScenario+c.faults), o)
			if c.faults == "" && f.UrgentEvaluated < 20 {
				t.Errorf("%d urgent updates judged: the run shows nothing", f.UrgentEvaluated)
			}
			if c.check == "" {
				for _, v := range verdicts {
					t.Error(v)
				}
				return
			}
			if !slices.ContainsFunc(verdicts, func(v check.Verdict) bool { return v.Check == c.check }) {
				t.Errorf("%s is not found by %s; verdicts: %v", c.bug, c.check, verdicts)
			}
			t.Logf("%d verdicts, the first: %v", len(verdicts), verdicts[:min(len(verdicts), 1)])
		})
	}
}

// The programs keep the rules under drawn faults.
func TestRulesHoldUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("plays whole runs in real time")
	}
	data, err := os.ReadFile("../../../deploy/rig/rollout/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for seed := range uint64(3) {
		all.Go(func() {
			sc := decode(t, string(data))
			sc.Seed += seed
			f := hold(t, sc)
			if f.InForce < 500 || f.UrgentEvaluated < 50 || f.Twins == 0 {
				t.Errorf("seed %d: %d updates in force, %d urgent ones judged, %d puts within 1 ms: the run shows nothing", sc.Seed, f.InForce, f.UrgentEvaluated, f.Twins)
			}
		})
	}
	all.Go(func() { // one relay of a zone is cut off from both regions for longer than a version may take
		sc := decode(t, cutOffScenario)
		if f := hold(t, sc); f.Faults != 1 || f.InForce < 200 {
			t.Errorf("%s: %d faults, %d updates in force: the run shows nothing", sc.Name, f.Faults, f.InForce)
		}
	})
	all.Wait()
}

const cutOffScenario = `
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

// hold plays a scenario with the programs of this tree, which have to pass all checks.
func hold(t *testing.T, sc *plan.Scenario) check.Metrics {
	sc.Bounds.RelayMB *= raceMemory
	// A data race ends its process, which the checkers see.
	o := rollout.Options{Relay: []string{program}, Actor: harnesstest.InRole(roleVar, roleActor), Env: []string{"GORACE=halt_on_error=1"}, Logs: os.Stderr}
	verdicts, f := play(t, sc, o)
	for _, v := range verdicts {
		t.Errorf("%s, seed %d: %s", sc.Name, sc.Seed, v)
	}
	if len(verdicts) > 0 {
		t.Logf("%s, seed %d's faults:\n%s", sc.Name, sc.Seed, strings.Join(describe(sc), "\n"))
	}
	return f
}

func describe(sc *plan.Scenario) (out []string) {
	for _, f := range sc.Schedule() {
		out = append(out, f.String())
	}
	return out
}
