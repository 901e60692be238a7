package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernlanding/internal/rules"
)

// With -json, check and rules print valid JSON, and no diagnostics print as an empty array.
func TestCheckPrintsJSON(t *testing.T) {
	d := t.TempDir()
	name := filepath.Join(d, "a.toml")
	if err := os.WriteFile(name, []byte("version = 2\nnme = \"a\"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	var all []jsonDiagnostic
	out := expect(t, 1, "UNKNOWN-FIELD", "check", "-json", name)
	if err := json.Unmarshal([]byte(out), &all); err != nil || len(all) != 5 {
		t.Fatalf("%v, %v", all, err)
	}
	last := all[4]
	if last.Rule != rules.UnknownField || last.Line != 2 || last.Col != 7 || last.File != name ||
		last.Severity != "error" || last.Page != rules.Page+"#unknown-field" {
		t.Errorf("got %+v", last)
	}
	out = expect(t, 0, "[]", "check", "-json", "../../deploy/sidecar.example.toml")
	if strings.TrimSpace(out) != "[]" {
		t.Errorf("got %s", out)
	}
	if got := expect(t, 0, `"id": "UNSAFE-RESEND"`, "rules", "-json"); !json.Valid([]byte(got)) {
		t.Errorf("rules -json printed invalid JSON: %s", got)
	}
}
