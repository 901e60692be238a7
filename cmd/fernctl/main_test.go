package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fernlanding/internal/rules"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// ctl runs the tool.
func ctl(args ...string) (code int, out, log string) {
	var o, l bytes.Buffer
	code = run(context.Background(), args, &o, &l)
	return code, o.String(), l.String()
}

func expect(t *testing.T, code int, want string, args ...string) string {
	t.Helper()
	got, out, log := ctl(args...)
	if got != code || !strings.Contains(out+log, want) {
		t.Errorf("fernctl %s: %d, want %d\n%s%s\nwant %q in it", strings.Join(args, " "), got, code, out, log, want)
	}
	return out
}

func edit(t *testing.T, name, old, fresh string) {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil || !strings.Contains(string(data), old) {
		t.Fatalf("%s: %q, %v", name, old, err)
	}
	if err := os.WriteFile(name, []byte(strings.Replace(string(data), old, fresh, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// From an empty directory to checked files, and what is said when the catalogue changes.
func TestACatalogueFromItsBeginning(t *testing.T) {
	d := t.TempDir()
	cat, out := filepath.Join(d, "cat"), filepath.Join(d, "out")
	expect(t, 0, "services.toml", "init", "-catalogue", cat)
	expect(t, 2, "is not empty", "init", "-catalogue", cat)
	expect(t, 0, "", "check", "-catalogue", cat)
	expect(t, 2, "-env expected, one of [local staging]", "generate", "-catalogue", cat, "-out", out)
	expect(t, 1, "gateway.toml: added", "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	if _, err := os.Stat(out); err == nil {
		t.Error("a diff has written")
	}
	expect(t, 0, "2 files", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	first, err := os.ReadFile(filepath.Join(out, "gateway.toml"))
	if err != nil {
		t.Fatal(err)
	}
	expect(t, 0, "", "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	expect(t, 0, "2 files", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	if again, err := os.ReadFile(filepath.Join(out, "gateway.toml")); err != nil || !bytes.Equal(first, again) {
		t.Errorf("generated twice, it differs: %v", err)
	}
	files, _ := filepath.Glob(filepath.Join(out, "*.toml"))
	expect(t, 0, "", append([]string{"check"}, files...)...)

	edit(t, filepath.Join(cat, "applications.toml"), `time_limit = "800ms"`, `time_limit = "900ms"`)
	expect(t, 1, `~ routes[tariff.tariff-lookup].timeout = "900ms", was "800ms"`, "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	edit(t, filepath.Join(cat, "applications.toml"), `time_limit = "900ms"`, `time_limit = "800ms" # a comment`)
	expect(t, 0, "2 files differ in their head alone", "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")

	// A catalogue with a fault changes nothing.
	edit(t, filepath.Join(cat, "services.toml"), `repeat = "unsafe" `, "resend = \"any\"\nrepeat = \"unsafe\" ")
	expect(t, 1, "services.toml:45:10: UNSAFE-RESEND: ", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	expect(t, 1, "services.toml:45:10: UNSAFE-RESEND: ", "check", "-catalogue", cat)
	if after, _ := os.ReadFile(filepath.Join(out, "gateway.toml")); !bytes.Equal(first, after) {
		t.Error("a faulty catalogue was written")
	}
}

// An endpoint that moves to another pod is refused against what runs, and an application that goes is said.
func TestWhatRunsIsCompared(t *testing.T) {
	d := t.TempDir()
	cat, out := filepath.Join(d, "cat"), filepath.Join(d, "out")
	expect(t, 0, "", "init", "-catalogue", cat)
	expect(t, 0, "", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	edit(t, filepath.Join(cat, "services.toml"), "[services.billing.pods.east]\ncell = 1", "[services.billing.pods.east]\ncell = 2")
	expect(t, 1, "POD-MOVES", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	expect(t, 1, "POD-MOVES", "check", "-catalogue", cat, "-env", "local", "-deployed", out)
	expect(t, 2, "-deployed is of one environment", "check", "-catalogue", cat, "-deployed", out)
	expect(t, 0, "", "check", "-catalogue", cat)
	edit(t, filepath.Join(cat, "services.toml"), "[services.billing.pods.east]\ncell = 2", "[services.billing.pods.east]\ncell = 1")
	data, _ := os.ReadFile(filepath.Join(cat, "applications.toml"))
	before, _, _ := strings.Cut(string(data), "[applications.reports]")
	if err := os.WriteFile(filepath.Join(cat, "applications.toml"), []byte(before), 0o644); err != nil {
		t.Fatal(err)
	}
	expect(t, 1, "reports.toml: removed", "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	expect(t, 0, "1 files", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	if _, err := os.Stat(filepath.Join(out, "reports.toml")); err == nil {
		t.Error("the file of an application that is gone stays")
	}
}

func TestFaultsForMachines(t *testing.T) {
	d := t.TempDir()
	name := filepath.Join(d, "a.toml")
	if err := os.WriteFile(name, []byte("version = 2\nnme = \"a\"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	var all []said
	if err := json.Unmarshal([]byte(expect(t, 1, "UNKNOWN-FIELD", "check", "-json", name)), &all); err != nil || len(all) != 5 {
		t.Fatalf("%v, %v", all, err)
	}
	last := all[4]
	if last.Rule != rules.UnknownField || last.Line != 2 || last.Col != 7 || last.File != name || last.Severity != "error" || last.Page != rules.Page+"#unknown-field" {
		t.Errorf("got %+v", last)
	}
	if got := expect(t, 0, "[]", "check", "-json", "../../deploy/sidecar.example.toml"); strings.TrimSpace(got) != "[]" {
		t.Errorf("got %s", got)
	}
	if got := expect(t, 0, `"id": "UNSAFE-RESEND"`, "rules", "-json"); !json.Valid([]byte(got)) {
		t.Error("no JSON")
	}
}

func TestCallsThatCannotRun(t *testing.T) {
	for _, c := range []struct {
		want string
		args []string
	}{
		{`unknown command "chek"`, []string{"chek"}},
		{"either files or -catalogue DIR expected", []string{"check"}},
		{"either files or -catalogue DIR expected", []string{"check", "-catalogue", "x", "y"}},
		{"no such file", []string{"check", "none.toml"}},
		{"no such file", []string{"check", "-catalogue", "none"}},
		{"is a directory", []string{"check", "."}},
		{"-env goes with -catalogue", []string{"check", "-env", "x", "y"}},
		{"1 to 100 expected", []string{"check", "-retry-factor", "0.5", "y"}},
		{"flag provided but not defined", []string{"check", "-cataloge", "x"}},
		{"-catalogue DIR and -out DIR expected", []string{"generate", "-catalogue", "x"}},
		{`unknown argument "x"`, []string{"generate", "x"}},
		{"FILE METHOD URL expected, found 1", []string{"explain", "x"}},
		{"one FILE expected", []string{"migrate"}},
		{"no such file", []string{"migrate", "none"}},
		{"-catalogue DIR expected", []string{"init"}},
	} {
		code, out, log := ctl(c.args...)
		if code != 2 || !strings.Contains(log, c.want) || strings.Count(strings.TrimSpace(log), "\n") > 0 {
			t.Errorf("%v: %d\n%s%s\nwant one line with %q", c.args, code, out, log, c.want)
		}
	}
}

func TestExplainPrintsLines(t *testing.T) {
	f := "../../deploy/sidecar.example.toml"
	expect(t, 0, "never once it may have run", "explain", f, "POST", "http://h/v1/accounts/7/charges")
	expect(t, 0, "404 Not Found", "explain", f, "GET", "/nothing")
	// A value may hold commas, and fields may come before or behind.
	expect(t, 0, "drops its repeats by Idempotency-Key", "explain", "-H", "Idempotency-Key: a,b", f, "POST", "/v1/usage")
	out := expect(t, 0, "lines", "explain", f, "POST", "/v1/usage", "-json", "-H", "Idempotency-Key: a,b")
	if !json.Valid([]byte(out)) {
		t.Errorf("no JSON: %s", out)
	}
	expect(t, 1, "SYNTAX", "explain", "main.go", "GET", "/")
}

func TestMigratePrintsOrReplaces(t *testing.T) {
	old, err := os.ReadFile("../../internal/config/testdata/v1/rich.toml")
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "rich.toml")
	if err := os.WriteFile(name, old, 0o644); err != nil {
		t.Fatal(err)
	}
	out := expect(t, 0, "version = 2; the format", "migrate", name)
	if now, _ := os.ReadFile(name); !bytes.Equal(now, old) {
		t.Error("printing has written")
	}
	expect(t, 0, `key = "Idempotency-Key"`, "migrate", "-write", name)
	if now, _ := os.ReadFile(name); string(now) != out {
		t.Errorf("written and printed differ: %s", now)
	}
	expect(t, 0, "is of version 2", "migrate", "-write", name)
	expect(t, 0, "", "check", name)
	expect(t, 1, "nothing that means the same can be written", "migrate", "../../internal/config/testdata/v1/loose.toml")
}
