package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// migrate prints the migrated file, or replaces the file by the same bytes.
func TestMigratePrintsOrReplaces(t *testing.T) {
	old, err := os.ReadFile("../../internal/config/testdata/v1/rich.toml")
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "rich.toml")
	if err := os.WriteFile(name, old, 0o644); err != nil {
		t.Fatal(err)
	}
	out := expect(t, 0, "version = 2; the newest version", "migrate", name)
	if now, _ := os.ReadFile(name); !bytes.Equal(now, old) {
		t.Error("printing replaced the file")
	}
	expect(t, 0, `key = "Idempotency-Key"`, "migrate", "-write", name)
	if now, _ := os.ReadFile(name); string(now) != out {
		t.Errorf("the replaced file differs from the printed one: %s", now)
	}
	expect(t, 0, "is of version 2", "migrate", "-write", name)
	expect(t, 0, "", "check", name)
	expect(t, 1, "nothing that means the same can be written",
		"migrate", "../../internal/config/testdata/v1/loose.toml")
}
