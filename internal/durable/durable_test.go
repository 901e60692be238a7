package durable

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A file is replaced as a whole, the staged files of a killed process are removed, and the size of
// a read is limited.
func TestWriteAndReadFile(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "a.json")
	if data, err := ReadFile(name, 10); data != nil || err != nil {
		t.Errorf("missing file: got %q, error %v", data, err)
	}
	for _, text := range []string{"first", "second", ""} {
		if err := WriteFile(name, []byte(text), 0o600, true); err != nil {
			t.Fatal(err)
		}
		if data, err := ReadFile(name, 6); err != nil || string(data) != text || data == nil {
			t.Errorf("got %q, error %v; want %q", data, err, text)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, ".a.json.new-123"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	RemoveStaged(name)
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("files in the directory: %v, %v", files, err)
	}
	if err := WriteFile(name, []byte("1234567"), 0o600, false); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFile(name, 6); err == nil || !strings.Contains(err.Error(), "exceeds the limit of 6 bytes") {
		t.Errorf("file above the limit: got error %v", err)
	}
	err := WriteFile(filepath.Join(dir, "none", "b"), nil, 0o600, true)
	if err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("missing directory: got error %v", err)
	}
}
