package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/predict"
	"fernlanding/internal/scale/result"
)

// scaleFitCommand returns the command that fits models to the results of sweeps.
func scaleFitCommand() *cli.Command {
	return &cli.Command{
		Name: "fit",
		Usage: "how each figure grows over the sweeps of the result FILEs, " +
			"and prediction against fact at held-out sizes",
		ArgsUsage: "FILE...",
		Action:    scaleFit,
	}
}

// scalePredictCommand returns the command that predicts costs at a target size.
func scalePredictCommand() *cli.Command {
	return &cli.Command{
		Name:      "predict",
		Usage:     "what each role costs at the size of TARGET, worked out from RESULT files",
		ArgsUsage: "TARGET RESULT...",
		Action:    scalePredict,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "markdown", Usage: "print the page's tables as they stand there"},
			&cli.StringFlag{Name: "page", Usage: "generate the tables of the page `FILE` anew, in place"},
			&cli.StringFlag{Name: "section", Usage: "only this `SECTION` of the page"},
		},
	}
}

// readResults reads the result files of sweeps and of latency runs. A missing file is reported on
// warnings and skipped.
func readResults(names []string, warnings io.Writer) (*predict.Evidence, error) {
	var files []predict.File
	var latencies []predict.Latency
	for _, name := range names {
		data, err := readFileBounded(name, result.MaxFileBytes)
		if errors.Is(err, fs.ErrNotExist) {
			_, err := fmt.Fprintf(warnings,
				"%s: no such file; its measurements count as not measured\n", name)
			if err != nil {
				return nil, err
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		if isLatency(data) {
			found, err := readLatency(name, data)
			if err != nil {
				return nil, err
			}
			latencies = append(latencies, found...)
			continue
		}
		r, err := result.Read(name, data)
		if err != nil {
			return nil, err
		}
		files = append(files, predict.File{Name: filepath.Base(name), Result: r})
	}
	return predict.NewEvidence(files, latencies), nil
}

// readFileBounded reads at most limit+1 bytes of a file. The extra byte lets the decoder reject a
// file over the limit.
func readFileBounded(name string, limit int64) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file is only read
	return io.ReadAll(io.LimitReader(f, limit+1))
}

// isLatency reports whether data is the result of a latency run rather than of a sweep.
func isLatency(data []byte) bool {
	var probe struct {
		Cases json.RawMessage `json:"cases"`
	}
	return json.Unmarshal(data, &probe) == nil && len(probe.Cases) > 0
}

// scaleFit prints the lines, the models and the predictions of result files.
func scaleFit(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("scale fit: missing FILE argument")
	}
	e, err := readResults(c.Args().Slice(), c.Root().ErrWriter)
	if err != nil {
		return fmt.Errorf("scale fit: %w", err)
	}
	out := c.Root().Writer
	for _, part := range []struct {
		title string
		table predict.Table
	}{
		{"Lines", e.Lines(fit.Metrics())},
		{"Models", e.Models(fit.Metrics())},
		{"Prediction against fact", e.HeldOut(fit.Metrics())},
		{"Hollow against real", e.Hollow(fit.Metrics())},
	} {
		part.table.Title = part.title
		if err := printTable(out, &part.table); err != nil {
			return err
		}
	}
	return nil
}

// printTable prints a table in columns.
func printTable(out io.Writer, t *predict.Table) error {
	if t.Title != "" {
		if _, err := fmt.Fprintln(out, t.Title); err != nil {
			return err
		}
	}
	lines := make([]string, 0, len(t.Rows)+len(t.Notes)+2)
	if len(t.Rows) == 0 {
		lines = append(lines, "not measured")
	} else {
		lines = append(lines, strings.Join(t.Head, "\t"))
	}
	for _, row := range t.Rows {
		lines = append(lines, strings.Join(row, "\t"))
	}
	lines = append(lines, t.Notes...)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(w, strings.Join(lines, "\n")+"\n\n"); err != nil {
		return err
	}
	return w.Flush()
}

// newCalculator returns a calculator for a target file and result files.
func newCalculator(target string, results []string, warnings io.Writer) (*predict.Calculator, error) {
	data, err := readBounded(target)
	if err != nil {
		return nil, err
	}
	t, err := predict.ReadTarget(target, data)
	if err != nil {
		return nil, err
	}
	e, err := readResults(results, warnings)
	if err != nil {
		return nil, err
	}
	return predict.NewCalculator(t, e), nil
}

// scalePredict prints the predicted costs at a target size, or writes them to the page of -page.
func scalePredict(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("scale predict: missing TARGET argument")
	}
	calculator, err := newCalculator(c.Args().First(), c.Args().Tail(), c.Root().ErrWriter)
	if err != nil {
		return fmt.Errorf("scale predict: %w", err)
	}
	if page := c.String("page"); page != "" {
		return fillPage(calculator, page)
	}
	sections := predict.Sections()
	if c.IsSet("section") {
		sections = []predict.Section{predict.Section(c.String("section"))}
	}
	for _, s := range sections {
		tables, err := calculator.Tables(s)
		if err != nil {
			return fmt.Errorf("scale predict: %w", err)
		}
		for i := range tables {
			if err := writeTable(c.Root().Writer, &tables[i], s, c.Bool("markdown")); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeTable writes a table of a section as Markdown or in columns.
func writeTable(out io.Writer, t *predict.Table, s predict.Section, markdown bool) error {
	if markdown {
		_, err := fmt.Fprintf(out, "%s\n", t.Markdown())
		return err
	}
	t.Title = strings.TrimSpace(string(s) + " " + t.Title)
	return printTable(out, t)
}

// fillPage regenerates the tables of a page in place.
func fillPage(calculator *predict.Calculator, name string) error {
	page, err := readFileBounded(name, result.MaxFileBytes)
	if err != nil {
		return fmt.Errorf("scale predict: %w", err)
	}
	filled, err := calculator.Fill(string(page))
	if err != nil {
		return fmt.Errorf("scale predict: %s: %w", name, err)
	}
	if filled == string(page) {
		return nil
	}
	return replaceFile(name, []byte(filled))
}

// replaceFile replaces a file atomically.
func replaceFile(name string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".page")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // fails if the file has been renamed
	if _, err := io.Copy(f, bytes.NewReader(data)); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := errors.Join(f.Chmod(0o644), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), name)
}
