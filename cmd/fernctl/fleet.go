package main

import (
	"context"
	"encoding/json"
	"errors"
	"fernlanding/internal/fleetsim"
	"fernlanding/internal/fleetsim/plot"
	"fernlanding/logic"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const mostSeeds = 10_000

func fleetCommand() *cli.Command {
	seed := &cli.Uint64Flag{Name: "seed", Usage: "in place of the day's own `SEED`"}
	return &cli.Command{
		Name: "fleet", Usage: "play days of a whole fleet on a virtual clock",
		Action: func(_ context.Context, c *cli.Command) error {
			return errors.New("fleet: one of run, sweep, explain and coldstart expected")
		},
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "play the day that FILES describe, later ones over earlier ones", ArgsUsage: "FILE...",
				Flags: []cli.Flag{jsonFlag(), seed}, Action: fleetRun,
			},
			{
				Name: "sweep", Usage: "play a fleet over seeds and troubles", ArgsUsage: "FILE [TROUBLE...]",
				Flags: []cli.Flag{
					jsonFlag(), &cli.IntFlag{Name: "seeds", Value: 20, Usage: "`N` for each trouble"},
					&cli.Uint64Flag{Name: "stream", Value: 1, Usage: "`NUMBER` that the seeds are drawn from"},
				}, Action: fleetSweep,
			},
			{
				Name: "explain", Usage: "draw a copy's counts over a day, with what caused its refusals", ArgsUsage: "FILE...",
				Flags: []cli.Flag{
					seed, &cli.IntFlag{Name: "tier", Usage: "its `NUMBER`, from 0"}, &cli.IntFlag{Name: "copy", Usage: "its `NUMBER`, from 0"},
					&cli.BoolFlag{Name: "svg", Usage: "as a picture"},
				}, Action: fleetExplain,
			},
			coldStartCommand(),
		},
	}
}

// readDay reads the files of a day.
func readDay(names []string) (*fleetsim.Day, error) {
	if len(names) == 0 {
		return nil, errors.New("a day's file expected")
	}
	var files []fleetsim.File
	for _, n := range names {
		data, err := readBounded(n)
		if err != nil {
			return nil, err
		}
		files = append(files, fleetsim.File{Name: n, Data: data})
	}
	return fleetsim.Read(files...)
}

// readBounded reads a file, and no more of it than a day may hold and one byte.
func readBounded(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, fleetsim.MaxFile+1))
}

// seeded is the day of the command's files, with its seed.
func seeded(c *cli.Command) (*fleetsim.Day, error) {
	d, err := readDay(c.Args().Slice())
	if err != nil {
		return nil, fmt.Errorf("fleet %s: %w", c.Name, err)
	}
	if c.IsSet("seed") {
		d.Seed = c.Uint64("seed")
	}
	return d, nil
}

// asJSON prints a value for machines.
func asJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func fleetRun(_ context.Context, c *cli.Command) error {
	d, err := seeded(c)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	o, r := fleetsim.Judge(d)
	if c.Bool("json") {
		if err := asJSON(out, o); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "%s, seed %d: %.1f requests a second, capacity %.1f\n", d.Name, d.Seed, d.RatePerSecond(), d.Capacity())
		fmt.Fprintf(out, "service %.3f, without its troubles %.3f\n", o.Service, o.Calm)
		fmt.Fprintf(out, "asked %d: served %d (late %d), refused %d, failed %d; %.2f attempts a request\n", r.Asked, r.Served, r.Late, r.Refused, r.Failed, float64(r.Attempts)/float64(max(1, r.Asked)))
		fmt.Fprintf(out, "refused while capacity was free %.3f, of it by other rules than shares %.3f; overdriven %.3f of the time\n", o.Shadow, o.Gate, o.Overdriven)
		for i, n := range r.Causes {
			if n > 0 {
				fmt.Fprintf(out, "refused by %v: %d, %d of them while capacity was free\n", logic.ShedCause(i), n, r.ShadowCauses[i])
			}
		}
		fmt.Fprintf(out, "seconds from the end of each trouble to %.0f%% of service: %v\n", 95.0, o.Recovery)
	}
	return broken(c.Root().ErrWriter, []fleetsim.Outcome{o})
}

// broken ends a command with faults where a rule was broken.
func broken(log io.Writer, all []fleetsim.Outcome) error {
	some := false
	for _, o := range all {
		for _, b := range o.Broken {
			fmt.Fprintf(log, "%s, seed %d: %s\n", o.Day, o.Seed, b)
			some = true
		}
	}
	if some {
		return errFaults
	}
	return nil
}

func fleetSweep(_ context.Context, c *cli.Command) error {
	names, n := c.Args().Slice(), c.Int("seeds")
	if n < 1 || n > mostSeeds {
		return fmt.Errorf("fleet sweep: -seeds %d, 1 to %d expected", n, mostSeeds)
	}
	if len(names) == 0 {
		return errors.New("fleet sweep: a fleet's file expected")
	}
	var days []*fleetsim.Day
	for _, t := range names[1:] {
		d, err := readDay([]string{names[0], t})
		if err != nil {
			return fmt.Errorf("fleet sweep: %w", err)
		}
		days = append(days, d)
	}
	if len(days) == 0 {
		d, err := readDay(names)
		if err != nil {
			return fmt.Errorf("fleet sweep: %w", err)
		}
		days = append(days, d)
	}
	all := fleetsim.Sweep(days, fleetsim.Seeds(c.Uint64("stream"), n), spread)
	out := c.Root().Writer
	if c.Bool("json") {
		if err := asJSON(out, all); err != nil {
			return err
		}
		return broken(c.Root().ErrWriter, all)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "day\tplays\tservice p10\tp50\tcalm p50\trecovery p50 s\tp90\tshadow\tof it gate\toverdriven\tbroken\t")
	line := func(name string, os []fleetsim.Outcome) {
		s := fleetsim.Summarize(os)
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%d\t\n", name, s.Days, s.Service10, s.Service50, s.Calm50, s.Recovery50, s.Recovery90, s.Shadow, s.Gate, s.Overdriven, s.Broken)
	}
	order, groups := fleetsim.ByDay(all)
	for _, name := range order {
		line(name, groups[name])
	}
	if len(order) > 1 {
		line("all", all)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return broken(c.Root().ErrWriter, all)
}

func fleetExplain(_ context.Context, c *cli.Command) error {
	d, err := seeded(c)
	if err != nil {
		return err
	}
	draw := plot.Text
	if c.Bool("svg") {
		draw = plot.SVG
	}
	if err := draw(c.Root().Writer, fleetsim.Play(d, fleetsim.Options{Trace: true}), c.Int("tier"), c.Int("copy")); err != nil {
		return fmt.Errorf("fleet explain: %w", err)
	}
	return nil
}
