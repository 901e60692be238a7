package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/catalogue/dir"
	"fernlanding/internal/scale/result"
	"fernlanding/internal/scale/scenario"
	"fernlanding/internal/scale/sweep"
	"fernlanding/internal/scale/worker"
)

// scaleWorkerCommand is the hidden command by which scale run starts its worker processes.
const scaleWorkerCommand = "worker"

// scaleCommand returns the command "scale" with its subcommands.
func scaleCommand() *cli.Command {
	return &cli.Command{
		Name:  "scale",
		Usage: "what proxies cost, over sizes",
		Action: func(context.Context, *cli.Command) error {
			return errors.New("scale: a command is required: one of run, fit, predict and latency")
		},
		Commands: []*cli.Command{
			scaleRunCommand(),
			scaleFitCommand(),
			scalePredictCommand(),
			scaleLatencyCommand(),
			{
				Name:   scaleWorkerCommand,
				Hidden: true,
				Action: func(context.Context, *cli.Command) error {
					return worker.Run(os.Stdin, os.Stdout) //nolint:contextcheck // Run handles signals
				},
			},
		},
	}
}

// scaleRunCommand returns the command that measures a sweep.
func scaleRunCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "play the sweep in FILE and write what it measured",
		ArgsUsage: "FILE",
		Action:    scaleRun,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "json", Usage: "the `OUT` file; printed without it"},
			&cli.StringFlag{
				Name:  "sidecar",
				Usage: "the `PROGRAM` of real proxies; the fernlanding beside this program by default",
			},
			&cli.StringFlag{
				Name:  "relay",
				Usage: "the `PROGRAM` of sources and relays; the fernrelay beside this program by default",
			},
			&cli.FloatFlag{
				Name:  "memory-gb",
				Usage: "of memory that all processes may use, `N`; half of the machine's by default",
			},
			&cli.BoolFlag{Name: "held-out", Usage: "play the held-out size alone"},
			&cli.BoolFlag{Name: "without-held-out", Usage: "leave the held-out size out"},
		},
	}
}

// scaleSelection returns the sizes that the flags select.
func scaleSelection(c *cli.Command) (sweep.Selection, error) {
	alone, without := c.Bool("held-out"), c.Bool("without-held-out")
	switch {
	case alone && without:
		return sweep.All, errors.New("scale run: -held-out and -without-held-out are mutually exclusive")
	case alone:
		return sweep.HeldOutOnly, nil
	case without:
		return sweep.WithoutHeldOut, nil
	}
	return sweep.All, nil
}

// scaleRun measures a sweep and writes the result.
func scaleRun(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fmt.Errorf("scale run: got %d arguments, want %s", c.Args().Len(), c.ArgsUsage)
	}
	name := c.Args().First()
	data, err := dir.ReadFile(name)
	if err != nil {
		return fmt.Errorf("scale run: %w", err)
	}
	sc, err := scenario.Read(name, data)
	if err != nil {
		return err
	}
	opts, err := scaleOptions(c, sc)
	if err != nil {
		return err
	}
	out, err := sweep.Run(ctx, sc, opts)
	if err != nil {
		return err
	}
	if c.String("json") == "" {
		return writeJSON(c.Root().Writer, out)
	}
	text, err := json.MarshalIndent(out, "", " ")
	if err != nil {
		return fmt.Errorf("scale run: %w", err)
	}
	if err := os.WriteFile(c.String("json"), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("scale run: %w", err)
	}
	return nil
}

// scaleOptions returns the options of a sweep that the flags set. A program that the scenario does
// not need may be missing.
func scaleOptions(c *cli.Command, sc *scenario.Scenario) (sweep.Options, error) {
	var none sweep.Options
	self, err := os.Executable()
	if err != nil {
		return none, fmt.Errorf("scale run: %w", err)
	}
	selection, err := scaleSelection(c)
	if err != nil {
		return none, err
	}
	gigabytes := c.Float("memory-gb")
	if gigabytes < 0 {
		return none, fmt.Errorf("scale run: invalid -memory-gb %g: must not be negative", gigabytes)
	}
	options := sweep.Options{
		Worker:      []string{self, "scale", scaleWorkerCommand},
		Selection:   selection,
		MemoryBytes: int64(gigabytes * (1 << 30)),
		Log:         c.Root().ErrWriter,
	}
	if !sc.Hollow {
		options.Sidecar, err = findProgram(self, c.String("sidecar"), "fernlanding")
		if err != nil {
			return none, fmt.Errorf("scale run: program of real proxies: %w", err)
		}
	}
	if sc.Source == result.SourceRelay {
		options.Relay, err = findProgram(self, c.String("relay"), "fernrelay")
		if err != nil {
			return none, fmt.Errorf("scale run: program of sources and relays: %w", err)
		}
	}
	return options, nil
}

// findProgram returns the program that a flag names or, if the flag is empty, the program of the
// given name in the directory of this program. findProgram returns an error if the file does not
// exist.
func findProgram(self, flag, name string) ([]string, error) {
	program := flag
	if program == "" {
		program = filepath.Join(filepath.Dir(self), name)
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	return []string{program}, nil
}
