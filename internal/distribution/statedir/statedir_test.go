package statedir

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernlanding/internal/distribution"
)

func open(t *testing.T, path string, clock int64) *Dir {
	t.Helper()
	d, err := Open(path, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func whole(resource string, revision uint64) *distribution.Update {
	return &distribution.Update{
		Resource: resource, Version: distribution.Version{Epoch: 1, Revision: revision},
		Items: []distribution.Item{{Key: "b1", Value: json.RawMessage(`{"address":"127.0.0.1:1"}`)}},
	}
}

// load is what a folder keeps, by name.
func load(t *testing.T, d *Dir) map[string]*distribution.Update {
	t.Helper()
	all := make(map[string]*distribution.Update)
	if err := d.Load(func(u *distribution.Update) error { all[u.Resource] = u; return nil }); err != nil {
		t.Fatal(err)
	}
	return all
}

// The last write of each resource is there after a restart, whatever its name; each process has an epoch of its own, later
// than all before, also in a folder that was lost.
func TestKeepAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	d := open(t, path, 0)
	names := []string{"service-a", "../service b", strings.Repeat("ü", distribution.MaxNameBytes/2)}
	for _, name := range names {
		for revision := range uint64(2) {
			if err := d.Save(whole(name, revision+1)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := Open(path, 0); err == nil || !strings.Contains(err.Error(), "another process has it") {
		t.Errorf("two processes in one folder: %v", err)
	}
	_ = d.Close()
	if err := os.WriteFile(filepath.Join(path, ".epoch.new-1"), []byte("9"), 0o600); err != nil { // of a killed process
		t.Fatal(err)
	}
	again := open(t, path, 0)
	if d.Epoch() != 1 || again.Epoch() != 2 {
		t.Errorf("epochs %d and %d", d.Epoch(), again.Epoch())
	}
	all := load(t, again)
	for _, name := range names {
		if u := all[name]; u == nil || u.Version.Revision != 2 || len(u.Items) != 1 {
			t.Errorf("%s: %+v", name, u)
		}
	}
	if lost := open(t, t.TempDir(), 1_000); lost.Epoch() != 1_000 {
		t.Errorf("epoch %d of a folder that was lost, by the clock at 1000", lost.Epoch())
	}
}

// A spoilt folder is said in one line, and nothing is served by it.
func TestSpoiltFolder(t *testing.T) {
	for want, spoil := range map[string]func(path string) error{
		"a whole number expected": func(path string) error { return os.WriteFile(filepath.Join(path, epochFile), []byte("x"), 0o600) },
		"unexpected end of JSON":  func(path string) error { return os.WriteFile(filepath.Join(path, "1.json"), []byte("{"), 0o600) },
		"another one's file": func(path string) error {
			data, _ := json.Marshal(whole("r", 1))
			return os.WriteFile(filepath.Join(path, "1.json"), data, 0o600)
		},
		"a whole resource expected": func(path string) error {
			return os.WriteFile(filepath.Join(path, "1.json"), []byte(`{"resource":"r","from":"1.1","version":"1.2"}`), 0o600)
		},
	} {
		path := t.TempDir()
		if err := spoil(path); err != nil {
			t.Fatal(err)
		}
		d, err := Open(path, 0)
		if err == nil {
			err = d.Load(func(*distribution.Update) error { return nil })
			_ = d.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v found, %q expected", err, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"resource":"r","version":"1.2","items":[{"key":"a","value":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := Decode(data)
		if err == nil && (!u.Full() || u.Validate() != nil) {
			t.Errorf("%+v", u)
		}
	})
}
