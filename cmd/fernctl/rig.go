package main

import (
	"context"
	"errors"
	"fernlanding/internal/harness"
	"fernlanding/internal/harness/check"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/timeline"
	"fernlanding/internal/harness/worker"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"
)

// rigWorkerCommand is the command by which the rig starts its stand-ins. It is not for people.
const rigWorkerCommand = "actor"

func rigCommand() *cli.Command {
	seed := &cli.Uint64Flag{Name: "seed", Usage: "in place of the scenario's own `SEED`"}
	program := &cli.StringFlag{Name: "sidecar", Usage: "the `PROGRAM` under test; the fernlanding beside this program by default"}
	return &cli.Command{
		Name: "rig", Usage: "many processes of the program with faults between them",
		Action: func(_ context.Context, c *cli.Command) error {
			return errors.New("rig: one of run, list, report, shrink and rollout expected")
		},
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "play the scenario in FILE and judge it", ArgsUsage: "FILE", Action: rigRun,
				Flags: []cli.Flag{
					seed, program, jsonFlag(), &cli.IntFlag{Name: "seeds", Value: 1, Usage: "play `N` seeds, from the seed on"},
					&cli.StringFlag{Name: "history", Usage: "write what happened to `FILE`, of the last seed that failed or else the last"},
					&cli.BoolFlag{Name: "logs", Usage: "with the sidecars' logs in it"},
				},
			},
			{Name: "list", Usage: "what the scenario in FILE does, and when", ArgsUsage: "FILE", Flags: []cli.Flag{seed}, Action: rigList},
			{
				Name: "report", Usage: "judge the HISTORY of a run of the scenario in FILE, and draw it", ArgsUsage: "FILE HISTORY", Action: rigReport,
				Flags: []cli.Flag{seed, jsonFlag(), &cli.StringFlag{Name: "svg", Usage: "draw it to `FILE`"}},
			},
			{
				Name: "shrink", Usage: "leave out faults of a scenario that fails, for as long as it fails", ArgsUsage: "FILE", Action: rigShrink,
				Flags: []cli.Flag{seed, program, &cli.IntFlag{Name: "tries", Value: 2, Usage: "plays `N` times before a schedule counts as one that does not fail"}},
			},
			rigRolloutCommand(),
			{Name: rigWorkerCommand, Hidden: true, Action: func(context.Context, *cli.Command) error { return worker.Main(os.Stdin, os.Stdout) }},
		},
	}
}

// readScenario reads the scenario that a command names first.
func readScenario(c *cli.Command, args int) (*scenario.Scenario, error) {
	if c.Args().Len() != args {
		return nil, fmt.Errorf("rig %s: %s expected", c.Name, c.ArgsUsage)
	}
	name := c.Args().First()
	data, err := readBounded(name)
	if err != nil {
		return nil, fmt.Errorf("rig %s: %w", c.Name, err)
	}
	sc, err := scenario.Read(name, data)
	if err != nil {
		return nil, err
	}
	if c.IsSet("seed") {
		sc.Seed = c.Uint64("seed")
	}
	return sc, nil
}

// rigOptions are the programs of a run.
func rigOptions(c *cli.Command) (o harness.Options, err error) {
	self, err := os.Executable()
	if err != nil {
		return o, fmt.Errorf("rig: %w", err)
	}
	program := c.String("sidecar")
	if program == "" {
		program = filepath.Join(filepath.Dir(self), "fernlanding")
	}
	if _, err := os.Stat(program); err != nil {
		return o, fmt.Errorf("rig: the program under test: %w", err)
	}
	return harness.Options{Sidecar: []string{program}, Worker: []string{self, "rig", rigWorkerCommand}, Logs: c.Bool("logs")}, nil
}

// scenarioAndOptions is what a command needs to play the scenario that it names.
func scenarioAndOptions(c *cli.Command) (*scenario.Scenario, harness.Options, error) {
	sc, err := readScenario(c, 1)
	if err != nil {
		return nil, harness.Options{}, err
	}
	o, err := rigOptions(c)
	return sc, o, err
}

// runScenario plays a scenario once; keep is where its history stays, if not empty.
func runScenario(ctx context.Context, sc *scenario.Scenario, o harness.Options, keep string) (check.Result, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return check.Result{}, fmt.Errorf("rig: %w", err)
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "history.jsonl")
	f, err := os.Create(path)
	if err != nil {
		return check.Result{}, fmt.Errorf("rig: %w", err)
	}
	defer f.Close()
	o.Out, o.Dir = f, dir
	if err := harness.Run(ctx, sc, o); err != nil {
		return check.Result{}, err
	}
	if keep != "" {
		if err := copyFile(path, keep); err != nil {
			return check.Result{}, fmt.Errorf("rig: %w", err)
		}
	}
	return judgeHistory(sc, path)
}

// judgeHistory judges the history in a file.
func judgeHistory(sc *scenario.Scenario, path string) (check.Result, error) {
	all, err := readHistory(path)
	if err != nil {
		return check.Result{}, fmt.Errorf("rig: %w", err)
	}
	return check.Judge(sc, all), nil
}

// readHistory reads a run's history from a file.
func readHistory(path string) ([]history.Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	all, err := history.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return all, nil
}

func copyFile(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	out, err := os.Create(to)
	if err != nil {
		return err
	}
	_, err = io.Copy(out, in)
	return errors.Join(err, out.Close())
}

func rigRun(ctx context.Context, c *cli.Command) error {
	sc, o, err := scenarioAndOptions(c)
	if err != nil {
		return err
	}
	n := c.Int("seeds")
	if n < 1 || n > maxSeeds {
		return fmt.Errorf("rig run: -seeds %d, 1 to %d expected", n, maxSeeds)
	}
	out, failed := c.Root().Writer, false
	for i := range n {
		x := *sc
		x.Seed += uint64(i)
		keep := c.String("history")
		if failed {
			keep = ""
		}
		result, err := runScenario(ctx, &x, o, keep)
		if err != nil {
			return err
		}
		if c.Bool("json") {
			if err := asJSON(out, result); err != nil {
				return err
			}
		} else {
			printResult(out, result)
		}
		if len(result.Verdicts) > 0 {
			failed = true
			fmt.Fprintf(c.Root().ErrWriter, "again: fernctl rig run -seed %d %s\n", x.Seed, c.Args().First())
		}
	}
	if failed {
		return errFaults
	}
	return nil
}

func printResult(out io.Writer, f check.Result) {
	fmt.Fprintf(out, "%s, seed %d, %.1f s: %d lives of sidecars, ready after %.2f s (median), %.2f (95%%), %.2f (last); %d never; all once after %.2f s\n",
		f.Scenario, f.Seed, f.Seconds, f.Starts, f.ReadyP50, f.ReadyP95, f.ReadyAll, f.NeverReady, f.FirstAll)
	fmt.Fprintf(out, "lists: %d whole readings, %.0f in the worst second, %.1f a second at the end; %d further calls, %.0f, %.1f; %d calls refused, %d readings given up\n",
		f.Snapshots.Total, f.Snapshots.Peak, f.Snapshots.Steady, f.Updates.Total, f.Updates.Peak, f.Updates.Steady, f.PollsRejected, f.SnapshotsAbandoned)
	fmt.Fprintf(out, "backends: %.0f connections to one in the worst second; cold ones over what they bear for %.2f s, %.2f at a time\n", f.PeakConnects, f.OverloadSeconds, f.LongestOverload)
	fmt.Fprintf(out, "requests: %d asked, %.0f served (%d late), %d turned away, %d failed, %d without answer; %d attempts; %.3f of the first 30 s served\n",
		f.Requests, f.Served, f.Late, f.Rejected, f.Failed, f.Unanswered, f.Attempts, f.EarlyServed)
	if len(f.ListRecoveries) > 0 {
		fmt.Fprintf(out, "all ready after the end of each fault of the lists: %.2f s\n", f.ListRecoveries)
	}
	for _, v := range f.Verdicts {
		fmt.Fprintln(out, v)
	}
	if len(f.Verdicts) == 0 {
		fmt.Fprintln(out, "all checks hold")
	}
}

func rigList(_ context.Context, c *cli.Command) error {
	sc, err := readScenario(c, 1)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "%s, seed %d, %v: %d sidecars over %v, %d list services, %d backends in %d processes, %.0f requests a second\n", sc.Name, sc.Seed, sc.Duration,
		sc.Sidecars.Count, sc.Sidecars.Sites, sc.Lists.Count, sc.Backends.Count, sc.Backends.Processes, sc.Clients.Rate)
	for i, f := range sc.Schedule() {
		fmt.Fprintf(out, "%-14s %s\n", f.Name(i), f)
	}
	return nil
}

func rigReport(_ context.Context, c *cli.Command) error {
	sc, err := readScenario(c, 2)
	if err != nil {
		return err
	}
	path := c.Args().Get(1)
	result, err := judgeHistory(sc, path)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = asJSON(c.Root().Writer, result)
	} else {
		printResult(c.Root().Writer, result)
	}
	if err != nil {
		return err
	}
	if svg := c.String("svg"); svg != "" {
		if err := drawTimeline(sc, path, svg); err != nil {
			return fmt.Errorf("rig report: %w", err)
		}
	}
	if len(result.Verdicts) > 0 {
		return errFaults
	}
	return nil
}

func drawTimeline(sc *scenario.Scenario, from, to string) error {
	all, err := readHistory(from)
	if err != nil {
		return err
	}
	out, err := os.Create(to)
	if err != nil {
		return err
	}
	return errors.Join(timeline.SVG(out, sc, all), out.Close())
}

// rigShrink leaves out faults, half of them at a time and then single ones, and prints the schedule that still fails.
func rigShrink(ctx context.Context, c *cli.Command) error {
	sc, o, err := scenarioAndOptions(c)
	if err != nil {
		return err
	}
	tries, log, plays := c.Int("tries"), c.Root().ErrWriter, 0
	var broken error
	fails := func(faults []scenario.Fault) bool {
		for range tries {
			plays++
			result, err := runScenario(ctx, sc.With(faults), o, "")
			if err != nil {
				broken = err
				return false
			}
			if len(result.Verdicts) > 0 {
				return true
			}
		}
		return false
	}
	began := time.Now()
	least, found := scenario.Shrink(sc.Schedule(), func(f []scenario.Fault) bool { return broken == nil && fails(f) })
	if broken != nil {
		return broken
	}
	if !found {
		fmt.Fprintf(log, "does not fail in %d plays\n", plays)
		return nil
	}
	fmt.Fprintf(log, "%d of %d faults left after %d plays, %v\n", len(least), len(sc.Schedule()), plays, time.Since(began).Round(time.Second))
	fmt.Fprint(c.Root().Writer, scenario.Text(least))
	return errFaults
}
