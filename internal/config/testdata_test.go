package config_test

import (
	"errors"
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/catalogue/dir"
	"fernlanding/internal/check"
	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/sidecar"
	"fernlanding/internal/tomldoc"
)

// Each case of testdata is a directory with files of applications, or with a catalogue in the
// directory catalogue. The file env has the environment, and the directory deployed has the files
// that are deployed before. In a bad case, the file rule has the rule that must reject the case,
// and the file want has all reports. In a good case, the file near has the rules that the case
// nearly violates.

var update = flag.Bool("update", false, "rewrite the reports of the bad cases; review the changes")

// readText returns the text of a file without surrounding space, or "" if the file does not exist.
func readText(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(data))
}

// checkCase checks the case in a directory. checkCase returns the files of the applications and the
// diagnostics.
func checkCase(t *testing.T, path string) ([]check.File, tomldoc.Diagnostics) {
	t.Helper()
	deployed, err := dir.ReadDeployed(filepath.Join(path, "deployed"))
	if err != nil {
		t.Fatal(err)
	}
	options := check.Options{Deployed: deployed}
	if _, err := os.Stat(filepath.Join(path, "catalogue")); err != nil {
		files := readFiles(t, path)
		_, faults := check.Files(files, options)
		return files, faults
	}
	return checkCatalogue(t, path, options)
}

// readFiles reads the files of the applications in a directory.
func readFiles(t *testing.T, path string) []check.File {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(path, "*.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var files []check.File
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, check.File{Name: filepath.Base(name), Data: data})
	}
	return files
}

// checkCatalogue checks the catalogue of a case. checkCatalogue returns the generated files and the
// diagnostics.
func checkCatalogue(t *testing.T, path string, options check.Options) ([]check.File, tomldoc.Diagnostics) {
	t.Helper()
	sources, faults, err := dir.Load(filepath.Join(path, "catalogue"))
	if err != nil {
		t.Fatal(err)
	}
	c, more := catalogue.Read(sources)
	faults = append(faults, more...)
	if c == nil {
		return nil, faults.Sorted()
	}
	plan, _, more := check.Catalogue(c, readText(t, filepath.Join(path, "env")), options)
	var files []check.File
	if plan != nil {
		for _, output := range plan.Outputs {
			files = append(files, check.File{Name: output.Name, Data: output.Data})
		}
	}
	return files, append(faults, more...).Sorted()
}

// cases returns the directories of the good or the bad cases.
func cases(t *testing.T, kind string) []string {
	t.Helper()
	dirs, err := filepath.Glob(filepath.Join("testdata", kind, "*"))
	if err != nil || len(dirs) == 0 {
		t.Fatalf("no %s cases: %v", kind, err)
	}
	return dirs
}

// TestBadConfigurationsAreRejected checks that each bad configuration is rejected by the rule that
// it violates, with exactly the reviewed reports, and that every rule has a case.
func TestBadConfigurationsAreRejected(t *testing.T) {
	seen := map[rules.ID]bool{rules.FileSize: true} // tested by TestLargeFileIsRejected
	paths := cases(t, "bad")
	for _, path := range paths {
		_, faults := checkCase(t, path)
		rule := rules.ID(readText(t, filepath.Join(path, "rule")))
		seen[rule] = true
		if !slices.ContainsFunc(faults, func(f tomldoc.Diagnostic) bool { return f.Rule == rule }) {
			t.Errorf("%s: no diagnostic of rule %s:\n%v", path, rule, faults)
		}
		var reports strings.Builder
		for _, fault := range faults {
			reports.WriteString(fault.Report() + "\n")
			if fault.File == "" {
				t.Errorf("%s: diagnostic without a place: %s", path, fault.Report())
			}
		}
		want := filepath.Join(path, "want")
		if *update {
			if err := os.WriteFile(want, []byte(reports.String()), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if got := strings.TrimSpace(reports.String()); got != readText(t, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", path, got, readText(t, want))
		}
	}
	for _, r := range rules.All() {
		if !seen[r.ID] {
			t.Errorf("no bad case for rule %s", r.ID)
		}
	}
	if len(paths) < 80 {
		t.Errorf("got %d cases, want at least 80", len(paths))
	}
}

// TestGoodConfigurationsAreAccepted checks that a configuration that nearly violates a rule is
// accepted by the checks and can be loaded by a sidecar, and that every rule has a case.
func TestGoodConfigurationsAreAccepted(t *testing.T) {
	near := map[rules.ID]bool{rules.FileSize: true} // tested by TestLargeFileIsRejected
	paths := cases(t, "good")
	for _, path := range paths {
		files, faults := checkCase(t, path)
		for _, word := range strings.Fields(readText(t, filepath.Join(path, "near"))) {
			rule := rules.ID(word)
			near[rule] = true
			for _, fault := range faults {
				if fault.Rule == rule {
					t.Errorf("%s: %s", path, fault.Report())
				}
			}
		}
		for _, fault := range faults.Errors() {
			t.Errorf("%s: %s", path, fault.Report())
		}
		for _, file := range files {
			testLoad(t, path, file)
		}
	}
	for _, r := range rules.All() {
		if !near[r.ID] {
			t.Errorf("no good case for rule %s", r.ID)
		}
	}
	if len(paths) < 25 {
		t.Errorf("got %d cases, want at least 25", len(paths))
	}
}

// testLoad checks that a sidecar loads a file, on free ports.
func testLoad(t *testing.T, path string, file check.File) {
	t.Helper()
	app, err := config.Decode(file.Name, file.Data)
	if err != nil {
		t.Errorf("%s: %v", path, err)
		return
	}
	for i := range app.Listeners {
		app.Listeners[i].Address = "127.0.0.1:0"
	}
	s, err := sidecar.New(app, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Errorf("%s: %s: %v", path, file.Name, err)
		return
	}
	s.Close()
}

// TestLargeFileIsRejected checks that a file over the size limit is rejected before parsing, and
// that a file of exactly the limit is rejected because of its content.
func TestLargeFileIsRejected(t *testing.T) {
	for _, test := range []struct {
		size int
		rule rules.ID
	}{
		{10 << 20, rules.FileSize},
		{config.MaxFile + 1, rules.FileSize},
		{config.MaxFile, rules.Version},
	} {
		text := strings.Repeat("#\n", test.size/2) + strings.Repeat("\n", test.size%2)
		d := config.Read("f", []byte(text))
		isRule := func(f tomldoc.Diagnostic) bool { return f.Rule == test.rule }
		if d.App != nil || !slices.ContainsFunc(d.Diagnostics, isRule) {
			t.Errorf("%d bytes: got %v, want a diagnostic of rule %s", test.size, d.Diagnostics, test.rule)
		}
	}
}
