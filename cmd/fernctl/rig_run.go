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

// rigOptions returns the programs of a run.
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
		return harness.Options{}, fmt.Errorf("rig: the program under test: %w", err)
	}
	return harness.Options{
		Sidecar: []string{program},
		Worker:  []string{self, "rig", rigWorkerCommand},
		Logs:    c.Bool("logs"),
	}, nil
}

// scenarioAndOptions returns what a command needs to run the scenario that it names.
func scenarioAndOptions(c *cli.Command) (*scenario.Scenario, harness.Options, error) {
	spec, err := readScenario(c, 1)
	if err != nil {
		return nil, harness.Options{}, err
	}
	opts, err := rigOptions(c)
	return spec, opts, err
}

// runScenario runs a scenario once and judges it. If keep is not empty, the history is copied to
// that file.
func runScenario(
	ctx context.Context, spec *scenario.Scenario, opts harness.Options, keep string,
) (check.Result, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return check.Result{}, fmt.Errorf("rig: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left of a temporary directory changes no result
	path := filepath.Join(dir, "history.jsonl")
	if err := writeHistory(ctx, spec, opts, path); err != nil {
		return check.Result{}, err
	}
	if keep != "" {
		if err := copyFile(path, keep); err != nil {
			return check.Result{}, fmt.Errorf("rig: %w", err)
		}
	}
	return judgeHistory(spec, path)
}

// writeHistory runs a scenario and writes its history to a file. The sidecars' files are in the
// same directory.
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

// readHistory reads a run's history from a file.
func readHistory(path string) ([]history.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it is only read
	events, err := history.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}

// copyFile copies a file. It replaces the other if that exists.
func copyFile(from, to string) error {
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }() // it is only read
	out, err := os.Create(to)
	if err != nil {
		return err
	}
	_, err = io.Copy(out, in)
	return errors.Join(err, out.Close())
}

// writeRigResult writes a result as JSON or as text.
func writeRigResult(out io.Writer, result check.Result, asJSONText bool) error {
	if asJSONText {
		return asJSON(out, result)
	}
	_, err := io.WriteString(out, resultText(result))
	return err
}

// resultText returns a result as text for people.
func resultText(f check.Result) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, seed %d, %.1f s: "+
		"%d lives of sidecars, ready after %.2f s (median), %.2f (95%%), %.2f (last); "+
		"%d never; all once after %.2f s\n",
		f.Scenario, f.Seed, f.Seconds, f.Starts, f.ReadyP50, f.ReadyP95, f.ReadyAll, f.NeverReady, f.FirstAll)
	fmt.Fprintf(&text, "lists: %d whole readings, %.0f in the worst second, %.1f a second at the end; "+
		"%d further calls, %.0f, %.1f; %d calls refused, %d readings given up\n",
		f.Snapshots.Total, f.Snapshots.Peak, f.Snapshots.Steady,
		f.Updates.Total, f.Updates.Peak, f.Updates.Steady, f.PollsRejected, f.SnapshotsAbandoned)
	fmt.Fprintf(&text, "backends: %.0f connections to one in the worst second; "+
		"cold ones over what they bear for %.2f s, %.2f at a time\n",
		f.PeakConnects, f.OverloadSeconds, f.LongestOverload)
	fmt.Fprintf(&text, "requests: "+
		"%d asked, %.0f served (%d late), %d turned away, %d failed, %d without answer; "+
		"%d attempts; %.3f of the first 30 s served\n",
		f.Requests, f.Served, f.Late, f.Rejected, f.Failed, f.Unanswered, f.Attempts, f.EarlyServed)
	if len(f.ListRecoveries) > 0 {
		fmt.Fprintf(&text, "all ready after the end of each fault of the lists: %.2f s\n", f.ListRecoveries)
	}
	for _, verdict := range f.Verdicts {
		fmt.Fprintln(&text, verdict)
	}
	if len(f.Verdicts) == 0 {
		fmt.Fprintln(&text, "all checks hold")
	}
	return text.String()
}
