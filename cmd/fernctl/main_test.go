package main

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
)

// ctl runs a command line; it returns the exit code and what was printed.
func ctl(args ...string) (code int, out, log string) {
	var outBuffer, logBuffer bytes.Buffer
	code = run(context.Background(), args, &outBuffer, &logBuffer)
	return code, outBuffer.String(), logBuffer.String()
}

// expect runs a command line and checks its exit code and a part of what it prints; it returns the
// output.
func expect(t *testing.T, code int, want string, args ...string) string {
	t.Helper()
	got, out, log := ctl(args...)
	if got != code || !strings.Contains(out+log, want) {
		t.Errorf("fernctl %s: %d, want %d\n%s%s\nwant %q in it", strings.Join(args, " "), got, code, out, log, want)
	}
	return out
}

// replaceInFile replaces the first occurrence of a text in a file.
func replaceInFile(t *testing.T, name, old, replacement string) {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil || !strings.Contains(string(data), old) {
		t.Fatalf("%s: %q, %v", name, old, err)
	}
	if err := os.WriteFile(name, []byte(strings.Replace(string(data), old, replacement, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
}

// A command that cannot run ends with 2 and one line.
func TestCommandErrorsAreOneLine(t *testing.T) {
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
		//nolint:misspell // a misspelt flag is the case
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
