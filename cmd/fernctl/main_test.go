package main

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
)

// runCommand runs a command line and returns the exit code, the standard output and the standard
// error.
func runCommand(args ...string) (code int, out, log string) {
	var outBuffer, logBuffer bytes.Buffer
	code = run(context.Background(), args, &outBuffer, &logBuffer)
	return code, outBuffer.String(), logBuffer.String()
}

// expect runs a command line, checks the exit code, and checks that standard output or standard
// error contains a text. expect returns the standard output.
func expect(t *testing.T, code int, want string, args ...string) string {
	t.Helper()
	got, out, log := runCommand(args...)
	if got != code || !strings.Contains(out+log, want) {
		t.Errorf("fernctl %s: got exit code %d, want %d\n%s%s\nwant output with %q",
			strings.Join(args, " "), got, code, out, log, want)
	}
	return out
}

// replaceInFile replaces the first occurrence of a text in a file.
func replaceInFile(t *testing.T, name, old, replacement string) {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil || !strings.Contains(string(data), old) {
		t.Fatalf("%s: text %q not found: %v", name, old, err)
	}
	if err := os.WriteFile(name, []byte(strings.Replace(string(data), old, replacement, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// A command that cannot run ends with exit code 2 and one line on standard error.
func TestCommandErrorsAreOneLine(t *testing.T) {
	for _, c := range []struct {
		want string
		args []string
	}{
		{`unknown command "chek"`, []string{"chek"}},
		{"exactly one of FILE... and -catalogue DIR is required", []string{"check"}},
		{"exactly one of FILE... and -catalogue DIR is required", []string{"check", "-catalogue", "x", "y"}},
		{"no such file", []string{"check", "none.toml"}},
		{"no such file", []string{"check", "-catalogue", "none"}},
		{"is a directory", []string{"check", "."}},
		{"-env requires -catalogue", []string{"check", "-env", "x", "y"}},
		{"must be between 1 and 100", []string{"check", "-retry-factor", "0.5", "y"}},
		//nolint:misspell // the misspelled flag is what the case tests
		{"flag provided but not defined", []string{"check", "-cataloge", "x"}},
		{"-catalogue DIR and -out DIR are required", []string{"generate", "-catalogue", "x"}},
		{`unexpected argument "x"`, []string{"generate", "x"}},
		{"got 1 arguments, want FILE METHOD URL", []string{"explain", "x"}},
		{"got 0 arguments, want one FILE", []string{"migrate"}},
		{"no such file", []string{"migrate", "none"}},
		{"-catalogue DIR is required", []string{"init"}},
	} {
		code, out, log := runCommand(c.args...)
		if code != 2 || !strings.Contains(log, c.want) || strings.Count(strings.TrimSpace(log), "\n") > 0 {
			t.Errorf("%v: got exit code %d\n%s%s\nwant one line with %q", c.args, code, out, log, c.want)
		}
	}
}
