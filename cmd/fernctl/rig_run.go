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

	"fernlanding/internal/harness"
	"fernlanding/internal/harness/check"
	"fernlanding/internal/harness/history"
	"fernlanding/internal/harness/scenario"
)

// rigOptions returns the harness options: the programs of a run, and whether to record logs.
func rigOptions(c *cli.Command) (harness.Options, error) {
	self, err := os.Executable()
	if err != nil {
		return harness.Options{}, fmt.Errorf("rig: %w", err)
	}
	program := c.String("sidecar")
	if program == "" {
		program = filepath.Join(filepath.Dir(self), "fernlanding")
	}
	if _, err := os.Stat(program); err != nil {
		return harness.Options{}, fmt.Errorf("rig: program under test: %w", err)
	}
	return harness.Options{
		Sidecar: []string{program},
		Worker:  []string{self, "rig", rigWorkerCommand},
		Logs:    c.Bool("logs"),
	}, nil
}

// scenarioAndOptions returns the scenario that a command names, and the options of the run.
func scenarioAndOptions(c *cli.Command) (*scenario.Scenario, harness.Options, error) {
	spec, err := readScenario(c, 1)
	if err != nil {
		return nil, harness.Options{}, err
	}
	opts, err := rigOptions(c)
	return spec, opts, err
}

// runScenario runs a scenario once and judges the history. If historyCopy is not empty, the history
// is copied to that file.
func runScenario(
	ctx context.Context, spec *scenario.Scenario, opts harness.Options, historyCopy string,
) (check.Result, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return check.Result{}, fmt.Errorf("rig: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a remaining temporary directory does not affect the result
	path := filepath.Join(dir, "history.jsonl")
	if err := writeHistory(ctx, spec, opts, path); err != nil {
		return check.Result{}, err
	}
	if historyCopy != "" {
		if err := copyFile(path, historyCopy); err != nil {
			return check.Result{}, fmt.Errorf("rig: %w", err)
		}
	}
	return judgeHistory(spec, path)
}

// writeHistory runs a scenario and writes the history to a file. The files of the sidecars are
// written to the same directory.
func writeHistory(ctx context.Context, spec *scenario.Scenario, opts harness.Options, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	opts.Out = file
	opts.Dir = filepath.Dir(path)
	err = harness.Run(ctx, spec, opts)
	if closeErr := file.Close(); closeErr != nil {
		err = errors.Join(err, fmt.Errorf("rig: %w", closeErr))
	}
	return err
}

// judgeHistory judges the history in a file.
func judgeHistory(spec *scenario.Scenario, path string) (check.Result, error) {
	events, err := readHistory(path)
	if err != nil {
		return check.Result{}, fmt.Errorf("rig: %w", err)
	}
	return check.Judge(spec, events), nil
}

// readHistory reads the history of a run from a file.
func readHistory(path string) ([]history.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file is only read
	events, err := history.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}

// copyFile copies a file. copyFile replaces the destination if the destination exists.
func copyFile(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }() // the file is only read
	out, err := os.Create(to)
	if err != nil {
		return err
	}
	_, err = io.Copy(out, in)
	return errors.Join(err, out.Close())
}

// writeRigResult writes a result as JSON or as text.
func writeRigResult(out io.Writer, result check.Result, jsonOutput bool) error {
	if jsonOutput {
		return writeJSON(out, result)
	}
	_, err := io.WriteString(out, resultText(result))
	return err
}

// resultText returns a result as text.
func resultText(r check.Result) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, seed %d, %.1f s: "+
		"%d lives of sidecars, ready after %.2f s (median), %.2f (95%%), %.2f (last); "+
		"%d never; all once after %.2f s\n",
		r.Scenario, r.Seed, r.Seconds, r.Starts, r.ReadyP50, r.ReadyP95, r.ReadyAll, r.NeverReady, r.FirstAll)
	fmt.Fprintf(&text, "lists: %d whole readings, %.0f in the worst second, %.1f a second at the end; "+
		"%d further calls, %.0f, %.1f; %d calls refused, %d readings given up\n",
		r.Snapshots.Total, r.Snapshots.Peak, r.Snapshots.Steady,
		r.Updates.Total, r.Updates.Peak, r.Updates.Steady, r.PollsRejected, r.SnapshotsAbandoned)
	fmt.Fprintf(&text, "backends: %.0f connections to one in the worst second; "+
		"cold ones over what they bear for %.2f s, %.2f at a time\n",
		r.PeakConnects, r.OverloadSeconds, r.LongestOverload)
	fmt.Fprintf(&text, "requests: "+
		"%d asked, %.0f served (%d late), %d turned away, %d failed, %d without answer; "+
		"%d attempts; %.3f of the first 30 s served\n",
		r.Requests, r.Served, r.Late, r.Rejected, r.Failed, r.Unanswered, r.Attempts, r.EarlyServed)
	if len(r.ListRecoveries) > 0 {
		fmt.Fprintf(&text, "all ready after the end of each fault of the lists: %.2f s\n", r.ListRecoveries)
	}
	for _, verdict := range r.Verdicts {
		fmt.Fprintln(&text, verdict)
	}
	if len(r.Verdicts) == 0 {
		fmt.Fprintln(&text, "all checks hold")
	}
	return text.String()
}
