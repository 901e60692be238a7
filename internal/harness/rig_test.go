package harness_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fernlanding/internal/harness"
	"fernlanding/internal/harness/check"
	"fernlanding/internal/harness/harnesstest"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/worker"
)

// The test's own program is also the rig's actors, its faulty sidecars and the rig that is killed.
const (
	roleVar    = "RIG_TEST_ROLE"
	bugVar     = "RIG_TEST_BUG"
	programVar = "RIG_TEST_PROGRAM"
)

var program string // the sidecar, built from this tree

func TestMain(m *testing.M) {
	switch os.Getenv(roleVar) {
	case "actor":
		harnesstest.Exit(worker.Main(os.Stdin, os.Stdout))
	case "naive":
		harnesstest.Exit(naive(os.Args[2], os.Getenv(bugVar)))
	case "rig":
		harnesstest.Exit(playFor(os.Getenv(programVar), os.Args[1]))
	}
	harnesstest.Main(m, "fernlanding", func(path string) { program = path })
}

// options are those of a run with this program under test, the naive stand-in where it is the test itself.
func options(sidecar string, env ...string) harness.Options {
	o := harness.Options{Sidecar: []string{sidecar}, Worker: harnesstest.InRole(roleVar, "actor"), Env: env}
	if sidecar == harnesstest.Self() {
		o.Sidecar = harnesstest.InRole(roleVar, "naive")
	}
	return o
}

// play plays a scenario and judges it.
func play(t *testing.T, sc *scenario.Scenario, o harness.Options) ([]check.Verdict, check.Figures) {
	t.Helper()
	var log bytes.Buffer
	o.Out = &log
	if err := harness.Run(context.Background(), sc, o); err != nil {
		t.Fatal(err)
	}
	all, err := history.Read(&log)
	if err != nil {
		t.Fatal(err)
	}
	result := check.Judge(sc, all)
	return result.Verdicts, result.Figures
}

func decode(t testing.TB, text string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Read("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

const small = `
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

// Twenty-four processes of the program keep the rules under thirty schedules of kills, stops, cuts, delays, one-way cuts,
// messages held in their middle, resets, half-closed connections, drains and an absent list service.
func TestRulesHoldUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a thousand processes")
	}
	together := make(chan struct{}, 3)
	var all sync.WaitGroup
	for seed := range uint64(30) {
		all.Go(func() {
			together <- struct{}{}
			defer func() { <-together }()
			sc := decode(t, small)
			sc.Seed = seed
			verdicts, f := play(t, sc, options(program))
			for _, v := range verdicts {
				t.Errorf("seed %d: %s", seed, v)
			}
			if f.Asked < 100 || f.Served < 0.3*float64(f.Asked) {
				t.Errorf("seed %d: %.0f of %d requests served: the run shows nothing", seed, f.Served, f.Asked)
			}
			if t.Failed() {
				t.Logf("seed %d's faults:\n%s", seed, scenario.Text(sc.Schedule()))
			}
		})
	}
	all.Wait()
}

// Each checker finds the program with the one bug that it is there for, and only a program without a bug passes all.
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
	const drain = "[[faults]]\nat = \"300ms\"\nfor = \"1200ms\"\nkind = \"replace\"\nnames = [\"backend-1\", \"backend-2\"]\n"
	const away = `[[faults]]
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
	for _, c := range []struct{ bug, more, check string }{
		{"", "", ""},
		{"", drain, ""},
		{"forget", "", check.OneAnswer},
		{"swap", "", check.OneAnswer},
		{"twice", "", check.Effects},
		{"drains", drain, check.Drains},
		{"cold", "[[faults]]\nat = \"300ms\"\nfor = \"300ms\"\nkind = \"replace\"\nnames = [\"backend-1\"]\n", check.Cold},
		{"strays", away, check.Strays},
		{"crash", "", check.Processes},
		{"reads", "[bounds]\nreads_per_s = 50\n", check.Bounds},
	} {
		t.Run(c.bug+"/"+c.check, func(t *testing.T) {
			verdicts, _ := play(t, decode(t, fmt.Sprintf(base, c.more)), options(harnesstest.Self(), bugVar+"="+c.bug))
			found := false
			for _, v := range verdicts {
				found = found || v.Check == c.check
				if c.check == "" {
					t.Error(v)
				}
			}
			if !found && c.check != "" {
				t.Errorf("%s is not found", c.bug)
			}
		})
	}
}

// playFor is the rig as a process of its own.
func playFor(program, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	sc, err := scenario.Read(file, data)
	if err != nil {
		return err
	}
	o := options(program)
	o.Out, o.Dir = os.Stdout, filepath.Dir(file)
	return harness.Run(context.Background(), sc, o)
}

// Nothing that the rig has started outlives it, though it is killed at any moment.
func TestNothingOutlivesAKilledRig(t *testing.T) {
	for i, after := range []time.Duration{30 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
		dir := t.TempDir()
		file := filepath.Join(dir, "scenario.toml")
		if err := os.WriteFile(file, []byte(strings.Replace(small, `for = "1500ms"`, `for = "30s"`, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(harnesstest.Self(), file)
		cmd.Env = append(os.Environ(), roleVar+"=rig", programVar+"="+program)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		killed := time.AfterFunc(after, func() { _ = cmd.Process.Kill() })
		_, _ = io.Copy(io.Discard, out) // ends when no process holds the pipe: actors write to pipes of their own
		_ = cmd.Wait()
		killed.Stop()
		for late := time.Now().Add(20 * time.Second); ; {
			left := mentioning(t, dir)
			if len(left) == 0 {
				break
			}
			if time.Now().After(late) {
				t.Fatalf("kill %d: left behind: %v", i, left)
			}
			time.Sleep(5 * time.Millisecond) // another's processes end without a word
		}
	}
}

// mentioning are the processes, by id, whose arguments have a text or whose parent was the rig of this test.
func mentioning(t *testing.T, text string) (out []string) {
	t.Helper()
	lines, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range lines {
		data, err := os.ReadFile(l)
		if err == nil && bytes.Contains(data, []byte(text)) {
			out = append(out, filepath.Base(filepath.Dir(l)))
		}
	}
	return out
}

// A run that is broken off ends its processes too, and says so.
func TestContextEndsARun(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer stop()
	var log bytes.Buffer
	o := options(program)
	o.Out = &log
	sc := decode(t, strings.Replace(small, `for = "1500ms"`, `for = "30s"`, 1))
	if err := harness.Run(ctx, sc, o); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v", err)
	}
	all, err := history.Read(&log)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range all {
		if e.Kind == history.Started && syscall.Kill(int(e.N), 0) == nil {
			t.Errorf("%s, process %d, is still there", e.Who, e.N)
		}
	}
	if last := all[len(all)-1]; last.Kind != history.Ended || last.N != 0 {
		t.Errorf("last event %+v", last)
	}
}
