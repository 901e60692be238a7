package main

import (
	"context"
	"fernlanding/internal/fleetsim/coldstart"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

func coldStartCommand() *cli.Command {
	return &cli.Command{
		Name: "coldstart", Usage: "play the start of whole fleets before their list services on a virtual clock",
		Flags: []cli.Flag{
			jsonFlag(), &cli.IntSliceFlag{Name: "copies", Value: []int{300, 3000, 30_000}, Usage: "fleets of `N` copies"},
			&cli.IntFlag{Name: "services", Value: 1, Usage: "`N` list services"}, &cli.Float64Flag{Name: "rate", Value: 50, Usage: "whole readings a `SECOND` that each works off"},
			&cli.IntFlag{Name: "queue", Value: 100, Usage: "`N` readings that wait at each"}, &cli.DurationFlag{Name: "retry-after", Usage: "`TIME` that a service says when it turns a call away"},
			&cli.BoolFlag{Name: "grow", Usage: "rate and queue grow with the fleet, from those of 300 copies on"},
			&cli.BoolFlag{Name: "untold", Usage: "the copies are not told how many they are"}, &cli.BoolFlag{Name: "known", Usage: "the copies begin with a list"},
			&cli.DurationFlag{Name: "down", Usage: "`TIME` at which the services go down; six in ten copies start anew a second later"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "`TIME` that they stay down"}, &cli.DurationFlag{Name: "end", Value: 5 * time.Minute, Usage: "`TIME` at which a day ends"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of all draws"},
		},
		Action: fleetColdStart,
	}
}

const startsAnew = 0.6 // part of the copies in an outage

func fleetColdStart(_ context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return fmt.Errorf("fleet %w", err)
	}
	type row struct {
		Copies int
		coldstart.Result
	}
	var rows []row
	for _, n := range c.IntSlice("copies") {
		scale := 1.0
		if c.Bool("grow") {
			scale = float64(n) / 300
		}
		d := coldstart.Day{
			Copies: n, Told: !c.Bool("untold"), Known: c.Bool("known"), Services: c.Int("services"), Rate: scale * c.Float64("rate"),
			Queue: int(scale * float64(c.Int("queue"))), RetryAfter: c.Duration("retry-after"), Reply: time.Millisecond, Down: c.Duration("down"), For: c.Duration("for"),
			Killed: startsAnew, End: c.Duration("end"), Seed: c.Uint64("seed"),
		}
		if d.Down == 0 {
			d.For = 0
		}
		r, err := coldstart.Play(d)
		if err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		rows = append(rows, row{n, r})
	}
	if c.Bool("json") {
		return asJSON(c.Root().Writer, rows)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "copies\treadings peak/s\tcalls peak/s\tsteady/s\tpeak:steady\tgiven up\tturned away\tready 95% s\tall s\tafter outage: peak/s\t95% s\tall s\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.0f\t%.2f\t%d of %d\t%d\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\t\n", r.Copies, r.PeakReads, r.PeakCalls, r.Steady, r.PeakCalls/max(r.Steady, 1e-9),
			r.GivenUp, r.Reads, r.Refused, r.Ready95, r.ReadyAll, r.PeakBack, r.Back95, r.BackAll)
	}
	return w.Flush()
}
