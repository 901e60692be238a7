package config_test

import (
	"errors"
	"fernlanding/internal/catalogue"
	"fernlanding/internal/catalogue/dir"
	"fernlanding/internal/check"
	"fernlanding/internal/config"
	"fernlanding/internal/rules"
	"fernlanding/internal/sidecar"
	"fernlanding/internal/tomldoc"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The cases of testdata: a directory each, with files of applications, or a catalogue in a directory of its own. env names
// the environment, deployed holds the files that run before. Of bad ones, rule is the rule that must object, and want the
// whole report; of good ones, near is the rule that they nearly break.

var update = flag.Bool("update", false, "write the reports of the bad cases anew; look at what changes")

func word(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(data))
}

// judge checks a case, and returns the files that it gives.
func judge(t *testing.T, at string) ([]check.File, tomldoc.Diagnostics) {
	t.Helper()
	var o check.Options
	var err error
	if o.Deployed, err = dir.Deployed(filepath.Join(at, "deployed")); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(at, "catalogue")); err != nil {
		var files []check.File
		names, _ := filepath.Glob(filepath.Join(at, "*.toml"))
		for _, n := range names {
			data, err := os.ReadFile(n)
			if err != nil {
				t.Fatal(err)
			}
			files = append(files, check.File{Name: filepath.Base(n), Data: data})
		}
		_, faults := check.Files(files, o)
		return files, faults
	}
	sources, faults, err := dir.Load(filepath.Join(at, "catalogue"))
	if err != nil {
		t.Fatal(err)
	}
	c, more := catalogue.Read(sources)
	if faults = append(faults, more...); c == nil {
		return nil, faults.Sorted()
	}
	plan, _, more := check.Catalogue(c, word(t, filepath.Join(at, "env")), o)
	var files []check.File
	if plan != nil {
		for _, f := range plan.Outputs {
			files = append(files, check.File{Name: f.Name, Data: f.Data})
		}
	}
	return files, append(faults, more...).Sorted()
}

func cases(t *testing.T, kind string) []string {
	t.Helper()
	dirs, err := filepath.Glob(filepath.Join("testdata", kind, "*"))
	if err != nil || len(dirs) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	return dirs
}

// Each broken configuration is refused by the rule that it breaks, with exactly the report that an operator has read and
// found clear; and every rule has a case.
func TestBrokenConfigurationsAreRefused(t *testing.T) {
	seen := map[rules.ID]int{rules.FileSize: 1} // TestALargeFileIsRefused
	all := cases(t, "bad")
	for _, at := range all {
		_, faults := judge(t, at)
		rule := rules.ID(word(t, filepath.Join(at, "rule")))
		seen[rule]++
		if !slices.ContainsFunc(faults, func(f tomldoc.Diagnostic) bool { return f.Rule == rule }) {
			t.Errorf("%s: %s does not object:\n%v", at, rule, faults)
		}
		var b strings.Builder
		for _, f := range faults {
			if b.WriteString(f.Report() + "\n"); f.Place.File == "" {
				t.Errorf("%s: no place: %s", at, f.Report())
			}
		}
		want := filepath.Join(at, "want")
		if *update {
			if err := os.WriteFile(want, []byte(b.String()), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if got := strings.TrimSpace(b.String()); got != word(t, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", at, got, word(t, want))
		}
	}
	for _, r := range rules.All() {
		if seen[r.ID] == 0 {
			t.Errorf("no broken case of %s", r.ID)
		}
	}
	if len(all) < 80 {
		t.Errorf("%d cases", len(all))
	}
}

// What is nearly broken is accepted: by the tool without an error, and by a sidecar, which loads it. Every rule has a case.
func TestGoodConfigurationsAreAccepted(t *testing.T) {
	near := map[string]int{string(rules.FileSize): 1} // TestALargeFileIsRefused
	all := cases(t, "good")
	for _, at := range all {
		files, faults := judge(t, at)
		for _, rule := range strings.Fields(word(t, filepath.Join(at, "near"))) {
			near[rule]++
			for _, f := range faults {
				if string(f.Rule) == rule {
					t.Errorf("%s: %s", at, f.Report())
				}
			}
		}
		for _, f := range faults.Errors() {
			t.Errorf("%s: %s", at, f.Report())
		}
		for _, f := range files {
			loads(t, at, f)
		}
	}
	for _, r := range rules.All() {
		if near[string(r.ID)] == 0 {
			t.Errorf("no near miss of %s", r.ID)
		}
	}
	if len(all) < 25 {
		t.Errorf("%d cases", len(all))
	}
}

// loads has a sidecar take a file, on free ports.
func loads(t *testing.T, at string, f check.File) {
	t.Helper()
	app, err := config.Decode(f.Name, f.Data)
	if err != nil {
		t.Errorf("%s: %v", at, err)
		return
	}
	for i := range app.Listeners {
		app.Listeners[i].Address = "127.0.0.1:0"
	}
	s, err := sidecar.New(app, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Errorf("%s: %s: %v", at, f.Name, err)
		return
	}
	s.Close()
}

// A file over the bound is refused before it is read, and one just under it for what it says.
func TestALargeFileIsRefused(t *testing.T) {
	for _, c := range []struct {
		n    int
		rule rules.ID
	}{{10 << 20, rules.FileSize}, {config.MaxFile + 1, rules.FileSize}, {config.MaxFile, rules.Version}} {
		d := config.Read("f", []byte(strings.Repeat("#\n", c.n/2)+strings.Repeat("\n", c.n%2)))
		if d.App != nil || !slices.ContainsFunc(d.Diagnostics, func(f tomldoc.Diagnostic) bool { return f.Rule == c.rule }) {
			t.Errorf("%d bytes: got %v", c.n, d.Diagnostics)
		}
	}
}

// Files of version 1 are frozen: they read as they did, are migrated without a loss, and read the same afterwards.
func TestVersion1StaysReadable(t *testing.T) {
	names, _ := filepath.Glob("testdata/v1/*.toml")
	if len(names) < 5 {
		t.Fatalf("%d files", len(names))
	}
	for _, n := range names {
		data, err := os.ReadFile(n)
		if err != nil {
			t.Fatal(err)
		}
		old, err := config.Decode(n, data)
		if err != nil {
			t.Errorf("%v", err)
			continue
		}
		want := word(t, strings.TrimSuffix(n, ".toml")+".migrated")
		fresh, steps, err := config.Migrate(n, data)
		got := string(fresh)
		for _, s := range steps {
			got += fmt.Sprintf("# %s\n", s)
		}
		if err != nil {
			got = err.Error()
		}
		if *update {
			if err := os.WriteFile(strings.TrimSuffix(n, ".toml")+".migrated", []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if strings.TrimSpace(got) != want {
			t.Errorf("%s: got\n%s", n, got)
		}
		if err != nil {
			continue
		}
		app, err := config.Decode(n, fresh)
		if err != nil {
			t.Errorf("%v", err)
			continue
		}
		app.Version, app.Name = old.Version, old.Name
		if a, b := said(app), said(old); a != b {
			t.Errorf("%s: migrated it reads\n%s\nand before\n%s", n, a, b)
		}
		if again, steps, err := config.Migrate(n, fresh); err != nil || len(steps) > 0 || string(again) != string(fresh) {
			t.Errorf("%s: not settled: %v, %v", n, steps, err)
		}
	}
}

// said is all that an App says.
func said(a *config.App) string {
	b := *a
	b.Services, b.Routes = nil, slices.Clone(a.Routes)
	text := ""
	for i, r := range b.Routes {
		if r.Mirror != nil {
			text += fmt.Sprintf("%+v", *r.Mirror)
			b.Routes[i].Mirror = nil
		}
	}
	text += fmt.Sprintf("%+v", b)
	for _, s := range a.Services {
		text += fmt.Sprintf("\n%+v", *s)
	}
	return text
}
