package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The starter catalogue generates files that pass check. Changes to the catalogue are printed by
// -diff, and a catalogue with a violation is not written.
func TestGenerateFromStarterCatalogue(t *testing.T) {
	d := t.TempDir()
	cat, out := filepath.Join(d, "cat"), filepath.Join(d, "out")
	expect(t, 0, "services.toml", "init", "-catalogue", cat)
	expect(t, 2, "is not empty", "init", "-catalogue", cat)
	expect(t, 0, "", "check", "-catalogue", cat)
	expect(t, 2, "-env is required: one of [local staging]", "generate", "-catalogue", cat, "-out", out)
	expect(t, 1, "gateway.toml: added", "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	if _, err := os.Stat(out); err == nil {
		t.Error("generate -diff wrote files")
	}
	expect(t, 0, "2 files", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	first, err := os.ReadFile(filepath.Join(out, "gateway.toml"))
	if err != nil {
		t.Fatal(err)
	}
	expect(t, 0, "", "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	expect(t, 0, "2 files", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	if again, err := os.ReadFile(filepath.Join(out, "gateway.toml")); err != nil || !bytes.Equal(first, again) {
		t.Errorf("the second run of generate wrote a different file: %v", err)
	}
	files, _ := filepath.Glob(filepath.Join(out, "*.toml"))
	expect(t, 0, "", append([]string{"check"}, files...)...)

	replaceInFile(t, filepath.Join(cat, "applications.toml"), `time_limit = "800ms"`, `time_limit = "900ms"`)
	expect(t, 1, `~ routes[tariff.tariff-lookup].timeout = "900ms", was "800ms"`,
		"generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	replaceInFile(t, filepath.Join(cat, "applications.toml"),
		`time_limit = "900ms"`, `time_limit = "800ms" # a comment`)
	expect(t, 0, "2 files differ in their head alone",
		"generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")

	// A catalogue with a violation leaves the files unchanged.
	replaceInFile(t, filepath.Join(cat, "services.toml"),
		`repeat = "unsafe" `, "resend = \"any\"\nrepeat = \"unsafe\" ")
	expect(t, 1, "services.toml:45:10: UNSAFE-RESEND: ", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	expect(t, 1, "services.toml:45:10: UNSAFE-RESEND: ", "check", "-catalogue", cat)
	if after, _ := os.ReadFile(filepath.Join(out, "gateway.toml")); !bytes.Equal(first, after) {
		t.Error("generate wrote a catalogue with a violation")
	}
}

// An endpoint that moves to another pod is reported by comparison with the deployed files, and the
// file of a removed application is listed and deleted.
func TestDeployedFilesAreCompared(t *testing.T) {
	d := t.TempDir()
	cat, out := filepath.Join(d, "cat"), filepath.Join(d, "out")
	expect(t, 0, "", "init", "-catalogue", cat)
	expect(t, 0, "", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	replaceInFile(t, filepath.Join(cat, "services.toml"),
		"[services.billing.pods.east]\ncell = 1", "[services.billing.pods.east]\ncell = 2")
	expect(t, 1, "POD-MOVES", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	expect(t, 1, "POD-MOVES", "check", "-catalogue", cat, "-env", "local", "-deployed", out)
	expect(t, 2, "-deployed applies to one environment", "check", "-catalogue", cat, "-deployed", out)
	expect(t, 0, "", "check", "-catalogue", cat)
	replaceInFile(t, filepath.Join(cat, "services.toml"),
		"[services.billing.pods.east]\ncell = 2", "[services.billing.pods.east]\ncell = 1")
	data, _ := os.ReadFile(filepath.Join(cat, "applications.toml"))
	before, _, _ := strings.Cut(string(data), "[applications.reports]")
	if err := os.WriteFile(filepath.Join(cat, "applications.toml"), []byte(before), 0o644); err != nil {
		t.Fatal(err)
	}
	expect(t, 1, "reports.toml: removed", "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	expect(t, 0, "1 files", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	if _, err := os.Stat(filepath.Join(out, "reports.toml")); err == nil {
		t.Error("the file of a removed application still exists")
	}
}
