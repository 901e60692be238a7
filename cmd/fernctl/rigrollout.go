package main

import (
	"context"
	"fernlanding/internal/harness/rollout"
	"fernlanding/internal/harness/rollout/check"
	"fernlanding/internal/harness/rollout/plan"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
)

// rigRolloutCommand plays distribution: a source, relays, followers and a publisher with faults between them.
func rigRolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "play the scenario of distribution in FILE and judge it", ArgsUsage: "FILE", Action: rigRollout,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "in place of the scenario's own `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "play `N` seeds, from the seed on"},
			&cli.IntFlag{Name: "together", Value: 1, Usage: "`N` of them at a time"},
			&cli.StringFlag{Name: "relay", Usage: "the `PROGRAM` under test; the fernrelay beside this program by default"},
			&cli.StringFlag{Name: "history", Usage: "write what happened to `FILE`, of the last seed that failed or else the last"},
			&cli.BoolFlag{Name: "logs", Usage: "print what the programs under test log"},
			&cli.BoolFlag{Name: "list", Usage: "print the schedule, and play nothing"},
			jsonFlag(),
		},
	}
}

// rolloutPlay is one play and what came of it.
type rolloutPlay struct {
	check.Metrics
	Verdicts []check.Verdict `json:"verdicts"`
	history  string
	err      error
}

func rigRollout(ctx context.Context, c *cli.Command) error {
	sc, o, err := rolloutPrepare(c)
	if err != nil {
		return err
	}
	if c.Bool("list") {
		rolloutList(c.Root().Writer, sc)
		return nil
	}
	seeds, together := c.Int("seeds"), c.Int("together")
	if seeds < 1 || seeds > mostSeeds || together < 1 || together > seeds {
		return fmt.Errorf("rig rollout: -seeds %d -together %d, 1 to %d seeds and at most as many together expected", seeds, together, mostSeeds)
	}
	dir, err := os.MkdirTemp("", "rollout")
	if err != nil {
		return fmt.Errorf("rig rollout: %w", err)
	}
	defer os.RemoveAll(dir)
	plays := make([]chan rolloutPlay, seeds)
	slots := make(chan struct{}, together)
	for i := range plays {
		plays[i] = make(chan rolloutPlay, 1)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			x := *sc
			x.Seed += uint64(i)
			plays[i] <- rolloutOnce(ctx, &x, o, filepath.Join(dir, fmt.Sprintf("%d.jsonl", i)))
		}()
	}
	return rolloutReport(c, plays)
}

// rolloutReport prints the plays in the order of their seeds.
func rolloutReport(c *cli.Command, plays []chan rolloutPlay) error {
	out, failed := c.Root().Writer, false
	for i := range plays {
		p := <-plays[i]
		if p.err != nil {
			return p.err
		}
		if c.Bool("json") {
			if err := asJSON(out, p); err != nil {
				return err
			}
		} else {
			rolloutPrint(out, p)
		}
		if keep := c.String("history"); keep != "" && (len(p.Verdicts) > 0 || !failed) {
			if err := copyFile(p.history, keep); err != nil {
				return fmt.Errorf("rig rollout: %w", err)
			}
		}
		if err := os.Remove(p.history); err != nil {
			return fmt.Errorf("rig rollout: %w", err)
		}
		if len(p.Verdicts) > 0 {
			failed = true
			fmt.Fprintf(c.Root().ErrWriter, "again: fernctl rig rollout -seed %d %s\n", p.Seed, c.Args().First())
		}
	}
	if failed {
		return errFaults
	}
	return nil
}

// rolloutPrepare reads the scenario, and finds the programs.
func rolloutPrepare(c *cli.Command) (*plan.Scenario, rollout.Options, error) {
	var o rollout.Options
	if c.Args().Len() != 1 {
		return nil, o, fmt.Errorf("rig rollout: %s expected", c.ArgsUsage)
	}
	name := c.Args().First()
	data, err := readBounded(name)
	if err != nil {
		return nil, o, fmt.Errorf("rig rollout: %w", err)
	}
	sc, err := plan.Decode(name, data)
	if err != nil {
		return nil, o, err
	}
	if c.IsSet("seed") {
		sc.Seed = c.Uint64("seed")
	}
	self, err := os.Executable()
	if err != nil {
		return nil, o, fmt.Errorf("rig rollout: %w", err)
	}
	program := c.String("relay")
	if program == "" {
		program = filepath.Join(filepath.Dir(self), "fernrelay")
	}
	if _, err := os.Stat(program); err != nil && !c.Bool("list") {
		return nil, o, fmt.Errorf("rig rollout: the program under test: %w", err)
	}
	o = rollout.Options{Program: []string{program}, Worker: []string{self, "rig", actorWord}}
	if c.Bool("logs") {
		o.Logs = c.Root().ErrWriter
	}
	return sc, o, nil
}

// rolloutOnce plays a scenario once; its history goes to a file.
func rolloutOnce(ctx context.Context, sc *plan.Scenario, o rollout.Options, path string) rolloutPlay {
	p := rolloutPlay{history: path}
	f, err := os.Create(path)
	if err != nil {
		p.err = fmt.Errorf("rig rollout: %w", err)
		return p
	}
	defer f.Close()
	o.Out = f
	if p.err = rollout.Run(ctx, sc, o); p.err != nil {
		return p
	}
	all, err := readHistory(path)
	if err != nil {
		p.err = fmt.Errorf("rig rollout: %w", err)
		return p
	}
	p.Verdicts, p.Metrics = check.Run(sc, all), check.Measure(sc, all)
	return p
}

func rolloutPrint(out io.Writer, p rolloutPlay) {
	f := p.Metrics
	fmt.Fprintf(out, "%s, seed %d, %.1f s, %d faults: %d puts (%d unanswered, %d within 1 ms of another), %d updates in force (%d whole), %d refused, %d resumed, %d reports\n",
		f.Scenario, f.Seed, f.Seconds, f.Faults, f.Puts, f.Unanswered, f.Twins, f.InForce, f.Snapshots, f.Rejected, f.Resumed, f.Reports)
	fmt.Fprintf(out, "in force, ways without faults: %.0f ms median, %.0f p99, %.0f last; urgent (%d judged): %.0f, %.0f, %.0f; with faults: %.2f s p99, %.2f last\n",
		f.FaultFreeP50Ms, f.FaultFreeP99Ms, f.FaultFreeMaxMs, f.UrgentEvaluated, f.UrgentP50Ms, f.UrgentP99Ms, f.UrgentMaxMs, f.AllP99Seconds, f.AllMaxSeconds)
	fmt.Fprintf(out, "the machine kept a process of the rig waiting for %.0f ms at most; %d urgent updates came late by no more than the processes on their way waited for a core\n", f.MaxLagMs, f.UrgentDelayedByCPU)
	if f.Unsettled {
		fmt.Fprintln(out, "the last reports are not judged: the machine kept processes waiting for so long that reads broke")
	}
	fmt.Fprintf(out, "at rest, each follower: %.0f bytes and %.2f messages a second; a source or relay at most: %.1f MB, %.0f sessions, %.0f bytes of resources, %.0f encoded\n",
		f.RestBytesPerSecond, f.RestReadsPerSecond, f.ResidentMB, f.MaxSessions, f.MaxStoreBytes, f.MaxCacheBytes)
	for _, v := range p.Verdicts {
		fmt.Fprintln(out, v)
	}
	if len(p.Verdicts) == 0 {
		fmt.Fprintln(out, "all checks hold")
	}
}

func rolloutList(out io.Writer, sc *plan.Scenario) {
	fmt.Fprintln(out, sc.Describe())
	for i, f := range sc.Schedule() {
		fmt.Fprintf(out, "%-14s %s\n", f.Name(i), f)
	}
	fmt.Fprintf(out, "%d puts\n", len(sc.Puts()))
}
