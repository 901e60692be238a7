package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/harness/check"
	"fernlanding/internal/harness/scenario"
	"fernlanding/internal/harness/timeline"
	"fernlanding/internal/harness/worker"
)

// rigWorkerCommand is the hidden command by which the harness starts its workers. The name is part
// of the command line interface.
const rigWorkerCommand = "actor"

// rigCommand returns the command "rig" with its subcommands.
func rigCommand() *cli.Command {
	return &cli.Command{
		Name:  "rig",
		Usage: "many processes of the program with faults between them",
		Action: func(_ context.Context, c *cli.Command) error {
			return errors.New("rig: a command is required: one of run, list, report, shrink and rollout")
		},
		Commands: []*cli.Command{
			rigRunCommand(),
			{
				Name: "list", Usage: "what the scenario in FILE does, and when", ArgsUsage: "FILE",
				Flags: []cli.Flag{rigSeedFlag()}, Action: rigList,
			},
			{
				Name: "report", Usage: "judge the HISTORY of a run of the scenario in FILE, and draw it",
				ArgsUsage: "FILE HISTORY", Action: rigReport,
				Flags: []cli.Flag{
					rigSeedFlag(), jsonFlag(),
					&cli.StringFlag{Name: "svg", Usage: "draw it to `FILE`"},
				},
			},
			{
				Name: "shrink", Usage: "leave out faults of a scenario that fails, for as long as it fails",
				ArgsUsage: "FILE", Action: rigShrink,
				Flags: []cli.Flag{
					rigSeedFlag(), sidecarFlag(),
					&cli.IntFlag{
						Name: "tries", Value: 2,
						Usage: "plays `N` times before a schedule counts as one that does not fail",
					},
				},
			},
			rigRolloutCommand(),
			{Name: rigWorkerCommand, Hidden: true, Action: runWorker},
		},
	}
}

// rigRunCommand returns the command "rig run".
func rigRunCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "play the scenario in FILE and judge it", ArgsUsage: "FILE", Action: rigRun,
		Flags: []cli.Flag{
			rigSeedFlag(), sidecarFlag(), jsonFlag(),
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "play `N` seeds, from the seed on"},
			&cli.StringFlag{
				Name:  "history",
				Usage: "write what happened to `FILE`, of the last seed that failed or else the last",
			},
			&cli.BoolFlag{Name: "logs", Usage: "with the sidecars' logs in it"},
		},
	}
}

// rigSeedFlag returns the flag that replaces the scenario's seed.
func rigSeedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Usage: "in place of the scenario's own `SEED`"}
}

// sidecarFlag returns the flag for the program under test.
func sidecarFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "sidecar",
		Usage: "the `PROGRAM` under test; the fernlanding beside this program by default",
	}
}

// runWorker runs this program as a worker. A worker exits when its standard input ends. A worker
// ignores interrupts, because the harness handles them.
func runWorker(context.Context, *cli.Command) error {
	//nolint:contextcheck // a worker exits when its standard input ends, not on an interrupt
	return worker.Main(os.Stdin, os.Stdout)
}

// readScenario reads the scenario that the first argument of a command names. args is the required
// number of arguments.
func readScenario(c *cli.Command, args int) (*scenario.Scenario, error) {
	if c.Args().Len() != args {
		return nil, fmt.Errorf("rig %s: got %d arguments, want %s", c.Name, c.Args().Len(), c.ArgsUsage)
	}
	name := c.Args().First()
	data, err := readBounded(name)
	if err != nil {
		return nil, fmt.Errorf("rig %s: %w", c.Name, err)
	}
	spec, err := scenario.Read(name, data)
	if err != nil {
		return nil, err
	}
	if c.IsSet("seed") {
		spec.Seed = c.Uint64("seed")
	}
	return spec, nil
}

// rigRun runs a scenario with one or more seeds and prints the results.
func rigRun(ctx context.Context, c *cli.Command) error {
	spec, opts, err := scenarioAndOptions(c)
	if err != nil {
		return err
	}
	seeds := c.Int("seeds")
	if seeds < 1 || seeds > maxSeeds {
		return fmt.Errorf("rig run: invalid -seeds %d: must be between 1 and %d", seeds, maxSeeds)
	}
	hasFailed := false
	for i := range seeds {
		seeded := *spec
		seeded.Seed += uint64(i)
		historyCopy := c.String("history")
		if hasFailed {
			historyCopy = ""
		}
		result, err := runScenario(ctx, &seeded, opts, historyCopy)
		if err != nil {
			return err
		}
		if err := writeRigResult(c.Root().Writer, result, c.Bool("json")); err != nil {
			return err
		}
		if len(result.Verdicts) == 0 {
			continue
		}
		hasFailed = true
		hint := fmt.Sprintf("again: fernctl rig run -seed %d %s\n", seeded.Seed, c.Args().First())
		if _, err := io.WriteString(c.Root().ErrWriter, hint); err != nil {
			return err
		}
	}
	if hasFailed {
		return errFindings
	}
	return nil
}

// rigList prints what a scenario does, and when.
func rigList(_ context.Context, c *cli.Command) error {
	spec, err := readScenario(c, 1)
	if err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s, seed %d, %v: %d sidecars over %v, %d list services, %d backends in %d processes, "+
		"%.0f requests a second\n",
		spec.Name, spec.Seed, spec.Duration, spec.Sidecars.Count, spec.Sidecars.Sites, spec.Lists.Count,
		spec.Backends.Count, spec.Backends.Processes, spec.Clients.Rate)
	for i, fault := range spec.Schedule() {
		fmt.Fprintf(&text, "%-14s %s\n", fault.Name(i), fault)
	}
	_, err = io.WriteString(c.Root().Writer, text.String())
	return err
}

// rigReport judges the history of an earlier run and, with -svg, draws the history.
func rigReport(_ context.Context, c *cli.Command) error {
	spec, err := readScenario(c, 2)
	if err != nil {
		return err
	}
	path := c.Args().Get(1)
	result, err := judgeHistory(spec, path)
	if err != nil {
		return err
	}
	if err := writeRigResult(c.Root().Writer, result, c.Bool("json")); err != nil {
		return err
	}
	if svg := c.String("svg"); svg != "" {
		if err := drawTimeline(spec, path, svg); err != nil {
			return fmt.Errorf("rig report: %w", err)
		}
	}
	if len(result.Verdicts) > 0 {
		return errFindings
	}
	return nil
}

// drawTimeline reads a history from one file and draws the history as SVG to another file.
func drawTimeline(spec *scenario.Scenario, from, to string) error {
	events, err := readHistory(from)
	if err != nil {
		return err
	}
	out, err := os.Create(to)
	if err != nil {
		return err
	}
	return errors.Join(timeline.SVG(out, spec, events), out.Close())
}

// rigShrink removes faults from a failing schedule, half of the faults at a time and then single
// faults, and prints the smallest schedule that still fails.
func rigShrink(ctx context.Context, c *cli.Command) error {
	spec, opts, err := scenarioAndOptions(c)
	if err != nil {
		return err
	}
	attempts := c.Int("tries")
	runs := 0
	var runErr error
	fails := func(faults []scenario.Fault) bool {
		for range attempts {
			if runErr != nil {
				return false
			}
			runs++
			var result check.Result
			result, runErr = runScenario(ctx, spec.With(faults), opts, "")
			if len(result.Verdicts) > 0 {
				return true
			}
		}
		return false
	}
	start := time.Now()
	shrunk, found := scenario.Shrink(spec.Schedule(), fails)
	if runErr != nil {
		return runErr
	}
	var text strings.Builder
	if !found {
		fmt.Fprintf(&text, "does not fail in %d plays\n", runs)
		_, err := io.WriteString(c.Root().ErrWriter, text.String())
		return err
	}
	fmt.Fprintf(&text, "%d of %d faults left after %d plays, %v\n",
		len(shrunk), len(spec.Schedule()), runs, time.Since(start).Round(time.Second))
	if _, err := io.WriteString(c.Root().ErrWriter, text.String()); err != nil {
		return err
	}
	if _, err := io.WriteString(c.Root().Writer, scenario.Text(shrunk)); err != nil {
		return err
	}
	return errFindings
}
