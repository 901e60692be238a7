package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/fleetsim/coldstart"
)

const (
	baseReplicas      = 300              // fleet size that -rate and -queue describe if -grow is set
	restartedFraction = 0.6              // fraction of the replicas that restart in an outage
	replyLatency      = time.Millisecond // latency of a reply of a list service
)

// coldStartCommand returns the command that simulates the cold start of fleets.
func coldStartCommand() *cli.Command {
	return &cli.Command{
		Name: "coldstart", Usage: "play the start of whole fleets before their list services on a virtual clock",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.IntSliceFlag{Name: "copies", Value: []int{baseReplicas, 3000, 30_000}, Usage: "fleets of `N` copies"},
			&cli.IntFlag{Name: "services", Value: 1, Usage: "`N` list services"},
			&cli.Float64Flag{Name: "rate", Value: 50, Usage: "whole readings a `SECOND` that each works off"},
			&cli.IntFlag{Name: "queue", Value: 100, Usage: "`N` readings that wait at each"},
			&cli.DurationFlag{
				Name: "retry-after", Usage: "`TIME` that a service says when it turns a call away",
			},
			&cli.BoolFlag{Name: "grow", Usage: "rate and queue grow with the fleet, from those of 300 copies on"},
			&cli.BoolFlag{Name: "untold", Usage: "the copies are not told how many they are"},
			&cli.BoolFlag{Name: "known", Usage: "the copies begin with a list"},
			&cli.DurationFlag{
				Name:  "down",
				Usage: "`TIME` at which the services go down; six in ten copies start anew a second later",
			},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "`TIME` that they stay down"},
			&cli.DurationFlag{Name: "end", Value: 5 * time.Minute, Usage: "`TIME` at which a day ends"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of all draws"},
		},
		Action: fleetColdStart,
	}
}

// coldStartRow is the result of the cold start of one fleet.
type coldStartRow struct {
	Replicas int `json:"Copies"`
	coldstart.Result
}

// fleetColdStart simulates the cold start of fleets and prints the results.
func fleetColdStart(_ context.Context, c *cli.Command) error {
	if err := noArgs(c); err != nil {
		return fmt.Errorf("fleet %w", err)
	}
	var rows []coldStartRow
	for _, replicas := range c.IntSlice("copies") {
		r, err := coldstart.Run(coldStartDay(c, replicas))
		if err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		rows = append(rows, coldStartRow{Replicas: replicas, Result: r})
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, rows)
	}
	return writeColdStarts(c.Root().Writer, rows)
}

// coldStartDay returns the day that the command's flags describe for a fleet of that many replicas.
func coldStartDay(c *cli.Command, replicas int) coldstart.Day {
	scale := 1.0
	if c.Bool("grow") {
		scale = float64(replicas) / baseReplicas
	}
	d := coldstart.Day{
		Replicas:          replicas,
		KnowsReplicas:     !c.Bool("untold"),
		StartsWithList:    c.Bool("known"),
		Services:          c.Int("services"),
		FullPollRate:      scale * c.Float64("rate"),
		QueueLength:       int(scale * float64(c.Int("queue"))),
		RetryAfter:        c.Duration("retry-after"),
		ReplyLatency:      replyLatency,
		OutageAt:          c.Duration("down"),
		OutageDuration:    c.Duration("for"),
		RestartedFraction: restartedFraction,
		Length:            c.Duration("end"),
		Seed:              c.Uint64("seed"),
	}
	if d.OutageAt == 0 {
		d.OutageDuration = 0
	}
	return d
}

// writeColdStarts writes a table with a line for each fleet.
func writeColdStarts(out io.Writer, rows []coldStartRow) error {
	var b strings.Builder
	b.WriteString("copies\treadings peak/s\tcalls peak/s\tsteady/s\tpeak:steady\tgiven up\tturned away\t" +
		"ready 95% s\tall s\tafter outage: peak/s\t95% s\tall s\t\n")
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(&b, "%d\t%.0f\t%.0f\t%.0f\t%.2f\t%d of %d\t%d\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\t\n",
			r.Replicas, r.PeakFullPolls, r.PeakCalls, r.SteadyCalls, r.PeakCalls/max(r.SteadyCalls, 1e-9),
			r.TimedOut, r.FullPolls, r.Rejected, r.Ready95, r.ReadyAll,
			r.PeakCallsAfterOutage, r.Recovered95, r.RecoveredAll)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return err
	}
	return w.Flush()
}
