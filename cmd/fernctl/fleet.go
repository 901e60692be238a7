package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/fleetsim"
	"fernlanding/internal/fleetsim/plot"
	"fernlanding/logic"
)

const (
	maxSeeds     = 10_000 // upper bound of -seeds
	defaultSeeds = 20     // seeds of a sweep for each day
)

// fleetCommand returns the command that simulates days of a fleet.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "play days of a whole fleet on a virtual clock",
		Action: func(context.Context, *cli.Command) error {
			return errors.New("fleet: a command is required: one of run, sweep, explain and coldstart")
		},
		Commands: []*cli.Command{fleetRunCommand(), fleetSweepCommand(), fleetExplainCommand(), coldStartCommand()},
	}
}

// seedFlag returns the flag that replaces a day's seed.
func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Usage: "in place of the day's own `SEED`"}
}

// fleetRunCommand returns the command that simulates one day.
func fleetRunCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "play the day that FILES describe, later ones over earlier ones", ArgsUsage: "FILE...",
		Flags: []cli.Flag{jsonFlag(), seedFlag()}, Action: fleetRun,
	}
}

// fleetSweepCommand returns the command that simulates days over many seeds.
func fleetSweepCommand() *cli.Command {
	return &cli.Command{
		Name: "sweep", Usage: "play a fleet over seeds and troubles", ArgsUsage: "FILE [TROUBLE...]",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.IntFlag{Name: "seeds", Value: defaultSeeds, Usage: "`N` for each trouble"},
			&cli.Uint64Flag{Name: "stream", Value: 1, Usage: "`NUMBER` that the seeds are drawn from"},
		},
		Action: fleetSweep,
	}
}

// fleetExplainCommand returns the command that draws the counts of a replica over a day.
func fleetExplainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "draw a copy's counts over a day, with what caused its refusals", ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			seedFlag(),
			&cli.IntFlag{Name: "tier", Usage: "its `NUMBER`, from 0"},
			&cli.IntFlag{Name: "copy", Usage: "its `NUMBER`, from 0"},
			&cli.BoolFlag{Name: "svg", Usage: "as a picture"},
		},
		Action: fleetExplain,
	}
}

// readDay reads a day from files, of which later ones override earlier ones.
func readDay(names []string) (*fleetsim.Day, error) {
	if len(names) == 0 {
		return nil, errors.New("missing FILE argument")
	}
	var files []fleetsim.File
	for _, name := range names {
		data, err := readBounded(name)
		if err != nil {
			return nil, err
		}
		files = append(files, fleetsim.File{Name: name, Data: data})
	}
	return fleetsim.Read(files...)
}

// readBounded reads at most fleetsim.MaxFileBytes+1 bytes of a file. The extra byte lets the decoder
// reject a file over the limit.
func readBounded(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file was only read
	return io.ReadAll(io.LimitReader(f, fleetsim.MaxFileBytes+1))
}

// readDayWithSeed reads the day of the command's files, and applies -seed.
func readDayWithSeed(c *cli.Command) (*fleetsim.Day, error) {
	d, err := readDay(c.Args().Slice())
	if err != nil {
		return nil, fmt.Errorf("fleet %s: %w", c.Name, err)
	}
	if c.IsSet("seed") {
		d.Seed = c.Uint64("seed")
	}
	return d, nil
}

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// fleetRun simulates a day and prints the outcome.
func fleetRun(_ context.Context, c *cli.Command) error {
	d, err := readDayWithSeed(c)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	o, r := fleetsim.Evaluate(d)
	if c.Bool("json") {
		err = writeJSON(out, o)
	} else {
		_, err = io.WriteString(out, describeDay(d, o, r))
	}
	if err != nil {
		return err
	}
	return reportViolations(c.Root().ErrWriter, []fleetsim.Outcome{o})
}

// describeDay returns the outcome of a day as text.
func describeDay(d *fleetsim.Day, o fleetsim.Outcome, r *fleetsim.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d: %.1f requests a second, capacity %.1f\n",
		d.Name, d.Seed, d.RequestRate(), d.Capacity())
	fmt.Fprintf(&b, "service %.3f, without its troubles %.3f\n", o.Service, o.FaultFreeService)
	fmt.Fprintf(&b, "asked %d: served %d (late %d), refused %d, failed %d; %.2f attempts a request\n",
		r.Requests, r.Served, r.Late, r.Shed, r.Failed, float64(r.Attempts)/float64(max(1, r.Requests)))
	fmt.Fprintf(&b, "refused while capacity was free %.3f, of it by other rules than shares %.3f; "+
		"overdriven %.3f of the time\n", o.ExcessShedding, o.ExcessByLimits, o.OverloadedTime)
	for cause, n := range r.ShedCauses {
		if n > 0 {
			fmt.Fprintf(&b, "refused by %v: %d, %d of them while capacity was free\n",
				logic.ShedCause(cause), n, r.ExcessCauses[cause])
		}
	}
	fmt.Fprintf(&b, "seconds from the end of each trouble to %.0f%% of service: %v\n", 95.0, o.Recovery)
	return b.String()
}

// reportViolations logs the violations of the outcomes. reportViolations returns errFindings if
// there are any.
func reportViolations(log io.Writer, outcomes []fleetsim.Outcome) error {
	found := false
	for _, o := range outcomes {
		for _, v := range o.Violations {
			found = true
			if _, err := fmt.Fprintf(log, "%s, seed %d: %s\n", o.Day, o.Seed, v); err != nil {
				return err
			}
		}
	}
	if found {
		return errFindings
	}
	return nil
}

// fleetSweep simulates days over many seeds and prints quantiles of the outcomes.
func fleetSweep(_ context.Context, c *cli.Command) error {
	names, seeds := c.Args().Slice(), c.Int("seeds")
	if seeds < 1 || seeds > maxSeeds {
		return fmt.Errorf("fleet sweep: invalid -seeds %d: must be between 1 and %d", seeds, maxSeeds)
	}
	if len(names) == 0 {
		return errors.New("fleet sweep: missing FILE argument")
	}
	days, err := readDays(names[0], names[1:])
	if err != nil {
		return fmt.Errorf("fleet sweep: %w", err)
	}
	outcomes := fleetsim.Sweep(days, fleetsim.Seeds(c.Uint64("stream"), seeds), inParallel)
	out := c.Root().Writer
	if c.Bool("json") {
		err = writeJSON(out, outcomes)
	} else {
		err = writeSummaries(out, outcomes)
	}
	if err != nil {
		return err
	}
	return reportViolations(c.Root().ErrWriter, outcomes)
}

// readDays reads one day for each fault: the fleet with that fault. Without faults, readDays reads
// the fleet alone.
func readDays(fleet string, faults []string) ([]*fleetsim.Day, error) {
	if len(faults) == 0 {
		d, err := readDay([]string{fleet})
		if err != nil {
			return nil, err
		}
		return []*fleetsim.Day{d}, nil
	}
	var days []*fleetsim.Day
	for _, fault := range faults {
		d, err := readDay([]string{fleet, fault})
		if err != nil {
			return nil, err
		}
		days = append(days, d)
	}
	return days, nil
}

// writeSummaries writes a table with a line for each day and, if there are several days, a line for
// all of them.
func writeSummaries(out io.Writer, outcomes []fleetsim.Outcome) error {
	var b strings.Builder
	b.WriteString("day\tplays\tservice p10\tp50\tcalm p50\trecovery p50 s\tp90\t" +
		"shadow\tof it gate\toverdriven\tbroken\t\n")
	writeLine := func(name string, outcomes []fleetsim.Outcome) {
		s := fleetsim.Summarize(outcomes)
		fmt.Fprintf(&b, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%d\t\n",
			name, s.Days, s.Service10, s.Service50, s.FaultFreeService50, s.Recovery50, s.Recovery90,
			s.ExcessShedding, s.ExcessByLimits, s.OverloadedTime, s.DaysWithViolations)
	}
	names, groups := fleetsim.ByDay(outcomes)
	for _, name := range names {
		writeLine(name, groups[name])
	}
	if len(names) > 1 {
		writeLine("all", outcomes)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return err
	}
	return w.Flush()
}

// fleetExplain draws the counts of a replica over a day.
func fleetExplain(_ context.Context, c *cli.Command) error {
	d, err := readDayWithSeed(c)
	if err != nil {
		return err
	}
	draw := plot.Text
	if c.Bool("svg") {
		draw = plot.SVG
	}
	result := fleetsim.Run(d, fleetsim.Options{Trace: true})
	if err := draw(c.Root().Writer, result, c.Int("tier"), c.Int("copy")); err != nil {
		return fmt.Errorf("fleet explain: %w", err)
	}
	return nil
}
