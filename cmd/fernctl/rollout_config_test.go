package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernlanding/internal/distribution/httpapi"
)

// A configuration is written as fragments, so that a change to one service changes one item. A
// configuration that sidecars would reject is not written.
func TestRolloutConfig(t *testing.T) {
	address := startSource(t)
	example, err := os.ReadFile("../../deploy/sidecar.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(example) + "\n[distribution]\nrelays = [\"127.0.0.1:7420\"]\nconfiguration = \"shop\"\n"
	file := filepath.Join(t.TempDir(), "shop.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(example))
	expect(t, 2, "distribution.configuration", "rollout", "config", "-to", address, file)
	write(text + "nonsense = 1\n")
	expect(t, 1, "nonsense", "rollout", "config", "-to", address, file)
	write(text)
	version := strings.TrimSpace(expect(t, 0, "1.1", "rollout", "config", "-expected", "0.0", "-to", address, file))
	expect(t, 1, "not written", "rollout", "config", "-expected", "0.0", "-to", address, file)
	expect(t, 0, "1.2", "rollout", "config", "-expected", version, "-to", address, appendComment(t, file, text))

	client := httpapi.NewClient(nil)
	defer client.Close()
	written, err := client.Resource(context.Background(), address, "config/shop")
	if err != nil {
		t.Fatal(err)
	}
	if len(written.Items) < 3 {
		t.Errorf("got %d fragments, want at least 3", len(written.Items))
	}
}

// appendComment writes the text with a comment appended to a file, and returns the name of the
// file.
func appendComment(t *testing.T, file, text string) string {
	t.Helper()
	if err := os.WriteFile(file, []byte(text+"# a comment\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
