package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernlanding/internal/scale/result"
)

const (
	capacityPage   = "../../docs/CAPACITY.md"
	capacityTarget = "../../deploy/scale/target.toml"
	capacityRuns   = "../../deploy/scale/results/*.json"
	regenerate     = "fernctl scale predict -page docs/CAPACITY.md deploy/scale/target.toml deploy/scale/results/*.json"
)

func TestCapacityPageMatchesTheResults(t *testing.T) {
	runs, err := filepath.Glob(capacityRuns)
	if err != nil {
		t.Fatal(err)
	}
	var warnings strings.Builder
	calculator, err := newCalculator(capacityTarget, runs, &warnings)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	filled, err := calculator.Fill(string(page))
	if err != nil {
		t.Fatalf("docs/CAPACITY.md: %v", err)
	}
	if filled != string(page) {
		t.Errorf("docs/CAPACITY.md differs from what its target and results give, first in %q; "+
			"regenerate the page with\n\t%s",
			firstDifference(filled, string(page)), regenerate)
	}
}

// firstDifference returns the first line of a that differs from b, or "its end".
func firstDifference(a, b string) string {
	lines := strings.Split(b, "\n")
	for i, line := range strings.Split(a, "\n") {
		if i >= len(lines) || lines[i] != line {
			return line
		}
	}
	return "its end"
}

// writeResult writes the result of a sweep of five sizes and a held-out size, with one round each.
// Each proxy receives 100 bytes a second.
func writeResult(t *testing.T, name string) {
	t.Helper()
	r := &result.Result{
		Format:    result.Format,
		Scenario:  "s",
		Source:    result.SourceConsul,
		Dimension: result.Proxies,
		Hollow:    true,
	}
	for k := range 6 {
		n := 100 << k
		r.Points = append(r.Points, result.Point{
			Size:    result.Size{Proxies: n, Services: 1, TotalServices: 1, Backends: 2},
			HeldOut: k == 5,
			Rounds:  []result.Round{{Seconds: 10, Proxies: result.Cost{Processes: 1, BytesIn: int64(1000 * n)}}},
		})
	}
	f, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(result.Write(f, r), f.Close()); err != nil {
		t.Fatal(err)
	}
}

func TestScaleFitAndPredictOnFiles(t *testing.T) {
	dir := t.TempDir()
	run := filepath.Join(dir, "run.json")
	writeResult(t, run)
	code, out, warnings := runCommand("scale", "fit", run)
	if code != 0 || !strings.Contains(out, "Prediction against fact") || !strings.Contains(out, "both") {
		t.Errorf("fit: code %d, %s\n%s", code, warnings, out)
	}
	page := filepath.Join(dir, "page.md")
	const empty = "a\n<!-- generated: fernctl scale predict files -->\n<!-- end -->\n"
	if err := os.WriteFile(page, []byte(empty), 0o600); err != nil {
		t.Fatal(err)
	}
	missing := filepath.Join(dir, "missing.json")
	code, _, warnings = runCommand("scale", "predict", "-page", page, capacityTarget, run, missing)
	got, err := os.ReadFile(page)
	if code != 0 || err != nil || !strings.Contains(string(got), "`run.json`") ||
		!strings.Contains(warnings, "missing.json: no such file; its measurements count as not measured") {
		t.Errorf("predict: code %d, %v, %s\n%s", code, err, warnings, got)
	}
	code, out, _ = runCommand("scale", "predict", "-markdown", "-section", "files", capacityTarget, run)
	if code != 0 || !strings.Contains(out, "| `run.json` | consul |") {
		t.Errorf("predict -section: code %d\n%s", code, out)
	}
	code, _, stderr := runCommand("scale", "predict", "-section", "file", capacityTarget, run)
	if code == 0 || !strings.Contains(stderr, "one of sizes") {
		t.Errorf("predict with an unknown section: code %d, %s", code, stderr)
	}
}
