package main

import (
	"bytes"
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/durable"
	"fernlanding/internal/scale/latency"
)

// scaleLatencyCommand returns the command that measures the latency that sidecars add.
func scaleLatencyCommand() *cli.Command {
	return &cli.Command{
		Name:      "latency",
		Usage:     "measure what sidecars add to a call's latency, as the plan in FILE says",
		ArgsUsage: "FILE",
		Action:    scaleLatency,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "json", Usage: "write the result to `OUT` too"},
			&cli.StringFlag{
				Name:  "sidecar",
				Usage: "the `PROGRAM` under test; the fernlanding beside this program by default",
			},
		},
	}
}

// scaleLatency runs a latency plan, prints the result and, with -json, writes the result to a file.
func scaleLatency(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fmt.Errorf("scale latency: got %d arguments, want %s", c.Args().Len(), c.ArgsUsage)
	}
	name := c.Args().First()
	data, err := readBounded(name)
	if err != nil {
		return fmt.Errorf("scale latency: %w", err)
	}
	plan, err := latency.ReadPlan(name, data)
	if err != nil {
		return err
	}
	o, err := rigOptions(c)
	if err != nil {
		return err
	}
	result, err := latency.Run(ctx, plan, latency.Options{Program: o.Sidecar[0], Progress: c.Root().ErrWriter})
	if err != nil {
		return fmt.Errorf("scale latency: %w", err)
	}
	if err := result.Print(c.Root().Writer); err != nil {
		return err
	}
	if out := c.String("json"); out != "" {
		if err := writeLatencyResult(out, result); err != nil {
			return fmt.Errorf("scale latency: %w", err)
		}
	}
	if n := result.Failed(); n > 0 {
		return fmt.Errorf("scale latency: %d calls failed", n)
	}
	return nil
}

// writeLatencyResult writes the result of a latency run to a file as JSON.
func writeLatencyResult(name string, r *latency.Result) error {
	var text bytes.Buffer
	if err := writeJSON(&text, r); err != nil {
		return err
	}
	return durable.WriteFile(name, text.Bytes(), 0o644, true)
}
