package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// From an empty directory to checked files, and what is printed when the catalogue changes.
func TestGenerateFromStarterCatalogue(t *testing.T) {
	d := t.TempDir()
	cat, out := filepath.Join(d, "cat"), filepath.Join(d, "out")
	expect(t, 0, "services.toml", "init", "-catalogue", cat)
	expect(t, 2, "is not empty", "init", "-catalogue", cat)
	expect(t, 0, "", "check", "-catalogue", cat)
	expect(t, 2, "-env expected, one of [local staging]", "generate", "-catalogue", cat, "-out", out)
	expect(t, 1, "gateway.toml: added", "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	if _, err := os.Stat(out); err == nil {
		t.Error("a diff wrote files")
	}
	expect(t, 0, "2 files", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	first, err := os.ReadFile(filepath.Join(out, "gateway.toml"))
	if err != nil {
		t.Fatal(err)
	}
	expect(t, 0, "", "generate", "-catalogue", cat, "-env", "local", "-out", out, "-diff")
	expect(t, 0, "2 files", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	if again, err := os.ReadFile(filepath.Join(out, "gateway.toml")); err != nil || !bytes.Equal(first, again) {
		t.Errorf("a second generation differs: %v", err)
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

	// A catalogue with a violation changes no file.
	replaceInFile(t, filepath.Join(cat, "services.toml"),
		`repeat = "unsafe" `, "resend = \"any\"\nrepeat = \"unsafe\" ")
	expect(t, 1, "services.toml:45:10: UNSAFE-RESEND: ", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	expect(t, 1, "services.toml:45:10: UNSAFE-RESEND: ", "check", "-catalogue", cat)
	if after, _ := os.ReadFile(filepath.Join(out, "gateway.toml")); !bytes.Equal(first, after) {
		t.Error("a faulty catalogue was written")
	}
}

// An endpoint that moves to another pod is reported by the deployed files, and a removed
// application is printed.
func TestDeployedFilesAreCompared(t *testing.T) {
	d := t.TempDir()
	cat, out := filepath.Join(d, "cat"), filepath.Join(d, "out")
	expect(t, 0, "", "init", "-catalogue", cat)
	expect(t, 0, "", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	replaceInFile(t, filepath.Join(cat, "services.toml"),
		"[services.billing.pods.east]\ncell = 1", "[services.billing.pods.east]\ncell = 2")
	expect(t, 1, "POD-MOVES", "generate", "-catalogue", cat, "-env", "local", "-out", out)
	expect(t, 1, "POD-MOVES", "check", "-catalogue", cat, "-env", "local", "-deployed", out)
	expect(t, 2, "-deployed is of one environment", "check", "-catalogue", cat, "-deployed", out)
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
		t.Error("the file of a removed application remains")
	}
}
