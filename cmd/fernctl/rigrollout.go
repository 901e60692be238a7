package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/harness/rollout"
	"fernlanding/internal/harness/rollout/check"
	"fernlanding/internal/harness/rollout/plan"
)

// rigRolloutCommand returns the command that runs distribution in the harness: a source, relays,
// followers and a publisher, with faults between them.
func rigRolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "play the scenario of distribution in FILE and judge it", ArgsUsage: "FILE",
		Action: rigRollout,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "in place of the scenario's own `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "play `N` seeds, from the seed on"},
			&cli.IntFlag{Name: "together", Value: 1, Usage: "`N` of them at a time"},
			&cli.StringFlag{
				Name: "relay", Usage: "the `PROGRAM` under test; the fernrelay beside this program by default",
			},
			&cli.StringFlag{
				Name:  "history",
				Usage: "write what happened to `FILE`, of the last seed that failed or else the last",
			},
			&cli.BoolFlag{Name: "logs", Usage: "print what the programs under test log"},
			&cli.BoolFlag{Name: "list", Usage: "print the schedule, and play nothing"},
			jsonFlag(),
		},
	}
}

// rolloutRun is one run and its result.
type rolloutRun struct {
	check.Metrics
	Verdicts    []check.Verdict `json:"verdicts"`
	historyFile string
	err         error
}

// rigRollout runs a scenario with one or more seeds, and prints the results.
func rigRollout(ctx context.Context, c *cli.Command) error {
	sc, opts, err := prepareRollout(c)
	if err != nil {
		return err
	}
	if c.Bool("list") {
		_, err := io.WriteString(c.Root().Writer, describeSchedule(sc))
		return err
	}
	seeds, concurrency := c.Int("seeds"), c.Int("together")
	if seeds < 1 || seeds > maxSeeds || concurrency < 1 || concurrency > seeds {
		return fmt.Errorf("rig rollout: invalid -seeds %d -together %d: -seeds must be between 1 and %d, "+
			"-together between 1 and -seeds", seeds, concurrency, maxSeeds)
	}
	dir, err := os.MkdirTemp("", "rollout")
	if err != nil {
		return fmt.Errorf("rig rollout: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a remaining temporary directory does not affect the result
	runs := make([]chan rolloutRun, seeds)
	slots := make(chan struct{}, concurrency)
	for i := range runs {
		runs[i] = make(chan rolloutRun, 1)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			seeded := *sc
			seeded.Seed += uint64(i)
			runs[i] <- runRollout(ctx, &seeded, opts, filepath.Join(dir, fmt.Sprintf("%d.jsonl", i)))
		}()
	}
	return reportRollouts(c, runs)
}

// reportRollouts prints the runs in the order of their seeds. reportRollouts returns errFindings if
// any run has a verdict.
func reportRollouts(c *cli.Command, runs []chan rolloutRun) error {
	failed := false
	for i := range runs {
		run := <-runs[i]
		if run.err != nil {
			return run.err
		}
		if err := printRollout(c, &run); err != nil {
			return err
		}
		if err := keepHistory(c, &run, failed); err != nil {
			return fmt.Errorf("rig rollout: %w", err)
		}
		if len(run.Verdicts) == 0 {
			continue
		}
		failed = true
		file := c.Args().First()
		_, err := fmt.Fprintf(c.Root().ErrWriter, "again: fernctl rig rollout -seed %d %s\n", run.Seed, file)
		if err != nil {
			return err
		}
	}
	if failed {
		return errFindings
	}
	return nil
}

// printRollout prints a run as text or as JSON.
func printRollout(c *cli.Command, run *rolloutRun) error {
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, run)
	}
	_, err := io.WriteString(c.Root().Writer, describeRollout(run))
	return err
}

// keepHistory copies the history of a run to the file that -history names, unless an earlier run
// has failed and this run has not. keepHistory removes the run's own history file.
func keepHistory(c *cli.Command, run *rolloutRun, anyFailed bool) error {
	to := c.String("history")
	if to != "" && (len(run.Verdicts) > 0 || !anyFailed) {
		if err := copyFile(run.historyFile, to); err != nil {
			return err
		}
	}
	return os.Remove(run.historyFile)
}

// prepareRollout reads the scenario and finds the programs of the run.
func prepareRollout(c *cli.Command) (*plan.Scenario, rollout.Options, error) {
	var opts rollout.Options
	if c.Args().Len() != 1 {
		return nil, opts, fmt.Errorf("rig rollout: got %d arguments, want %s", c.Args().Len(), c.ArgsUsage)
	}
	name := c.Args().First()
	data, err := readBounded(name)
	if err != nil {
		return nil, opts, fmt.Errorf("rig rollout: %w", err)
	}
	sc, err := plan.Decode(name, data)
	if err != nil {
		return nil, opts, err
	}
	if c.IsSet("seed") {
		sc.Seed = c.Uint64("seed")
	}
	self, err := os.Executable()
	if err != nil {
		return nil, opts, fmt.Errorf("rig rollout: %w", err)
	}
	program := c.String("relay")
	if program == "" {
		program = filepath.Join(filepath.Dir(self), "fernrelay")
	}
	if _, err := os.Stat(program); err != nil && !c.Bool("list") {
		return nil, opts, fmt.Errorf("rig rollout: program under test: %w", err)
	}
	opts = rollout.Options{Program: []string{program}, Worker: []string{self, "rig", rigWorkerCommand}}
	if c.Bool("logs") {
		opts.Logs = c.Root().ErrWriter
	}
	return sc, opts, nil
}

// runRollout runs a scenario once, records the history in a file, and checks the history.
func runRollout(ctx context.Context, sc *plan.Scenario, opts rollout.Options, path string) rolloutRun {
	run := rolloutRun{historyFile: path}
	run.err = recordRollout(ctx, sc, opts, path)
	if run.err != nil {
		return run
	}
	all, err := readHistory(path)
	if err != nil {
		run.err = fmt.Errorf("rig rollout: %w", err)
		return run
	}
	run.Verdicts = check.Run(sc, all)
	run.Metrics = check.Measure(sc, all)
	return run
}

// recordRollout runs a scenario once and writes the history to a file.
func recordRollout(ctx context.Context, sc *plan.Scenario, opts rollout.Options, path string) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("rig rollout: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	opts.Out = f
	return rollout.Run(ctx, sc, opts)
}

// describeRollout returns the result of a run as text.
func describeRollout(run *rolloutRun) string {
	m := &run.Metrics
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d, %.1f s, %d faults: %d puts (%d unanswered, %d within 1 ms of another), "+
		"%d updates in force (%d whole), %d refused, %d resumed, %d reports\n",
		m.Scenario, m.Seed, m.Seconds, m.Faults, m.Puts, m.Unanswered, m.ConcurrentPuts,
		m.InForce, m.Snapshots, m.Rejected, m.Resumed, m.Reports)
	fmt.Fprintf(&b, "in force, ways without faults: %.0f ms median, %.0f p99, %.0f last; "+
		"urgent (%d judged): %.0f, %.0f, %.0f; with faults: %.2f s p99, %.2f last\n",
		m.FaultFreeP50Ms, m.FaultFreeP99Ms, m.FaultFreeMaxMs,
		m.UrgentEvaluated, m.UrgentP50Ms, m.UrgentP99Ms, m.UrgentMaxMs, m.AllP99Seconds, m.AllMaxSeconds)
	fmt.Fprintf(&b, "the machine kept a process of the rig waiting for %.0f ms at most; "+
		"%d urgent updates came late by no more than the processes on their way waited for a core\n",
		m.MaxLagMs, m.UrgentDelayedByCPU)
	if m.Unsettled {
		b.WriteString("the last reports are not judged: " +
			"the machine kept processes waiting for so long that reads broke\n")
	}
	fmt.Fprintf(&b, "at rest, each follower: %.0f bytes and %.2f messages a second; "+
		"a source or relay at most: %.1f MB, %.0f sessions, %.0f bytes of resources, %.0f encoded\n",
		m.IdleBytesPerSecond, m.IdleReadsPerSecond, m.ResidentMB, m.MaxSessions, m.MaxStoreBytes, m.MaxCacheBytes)
	for _, v := range run.Verdicts {
		fmt.Fprintln(&b, v)
	}
	if len(run.Verdicts) == 0 {
		b.WriteString("all checks hold\n")
	}
	return b.String()
}

// describeSchedule returns the processes and the faults of a scenario as text.
func describeSchedule(sc *plan.Scenario) string {
	var b strings.Builder
	fmt.Fprintln(&b, sc.Describe())
	for i, f := range sc.Schedule() {
		fmt.Fprintf(&b, "%-14s %s\n", f.Name(i), f)
	}
	fmt.Fprintf(&b, "%d puts\n", len(sc.Puts()))
	return b.String()
}
