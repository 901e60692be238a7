package statedir

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernlanding/internal/distribution"
)

// open opens a directory until the test ends.
func open(t *testing.T, path string, clock int64) *Dir {
	t.Helper()
	d, err := Open(path, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return d
}

// snapshot returns a snapshot of a resource with one item.
func snapshot(resource string, revision uint64) *distribution.Update {
	return &distribution.Update{
		Resource: resource,
		Version:  distribution.Version{Epoch: 1, Revision: revision},
		Items:    []distribution.Item{{Key: "b1", Value: json.RawMessage(`{"address":"127.0.0.1:1"}`)}},
	}
}

// load returns the resources in a directory, by name.
func load(t *testing.T, d *Dir) map[string]*distribution.Update {
	t.Helper()
	all := make(map[string]*distribution.Update)
	err := d.Load(func(u *distribution.Update) error {
		all[u.Resource] = u
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// The last write of each resource is loaded after a restart, even if the name of the resource is no
// valid file name. Each process has its own epoch, which is later than all before, even if the
// directory is lost.
func TestSaveAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	d := open(t, path, 0)
	names := []string{"service-a", "../service b", strings.Repeat("ü", distribution.MaxNameBytes/2)}
	for _, name := range names {
		for revision := range uint64(2) {
			if err := d.Save(snapshot(name, revision+1)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := Open(path, 0); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Errorf("second Open of a directory: got error %v, want in use by another process", err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	staged := filepath.Join(path, ".epoch.new-1") // left by a killed process
	if err := os.WriteFile(staged, []byte("9"), 0o600); err != nil {
		t.Fatal(err)
	}
	again := open(t, path, 0)
	if d.Epoch() != 1 || again.Epoch() != 2 {
		t.Errorf("got epochs %d and %d, want 1 and 2", d.Epoch(), again.Epoch())
	}
	all := load(t, again)
	for _, name := range names {
		if u := all[name]; u == nil || u.Version.Revision != 2 || len(u.Items) != 1 {
			t.Errorf("%s: got %+v, want revision 2 with 1 item", name, u)
		}
	}
	if lost := open(t, t.TempDir(), 1_000); lost.Epoch() != 1_000 {
		t.Errorf("new directory with the clock at 1000: got epoch %d, want 1000", lost.Epoch())
	}
}

// A directory with a corrupt file is rejected with an error of one line.
func TestCorruptDirectory(t *testing.T) {
	another, err := json.Marshal(snapshot("r", 1))
	if err != nil {
		t.Fatal(err)
	}
	for want, file := range map[string]struct{ name, content string }{
		"invalid epoch \"x\"":           {epochFile, "x"},
		"unexpected end of JSON":        {"1.json", "{"},
		"in the file of another":        {"1.json", string(another)},
		"from version 1.1 instead of a": {"1.json", `{"resource":"r","from":"1.1","version":"1.2"}`},
	} {
		path := t.TempDir()
		if err := os.WriteFile(filepath.Join(path, file.name), []byte(file.content), 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := Open(path, 0)
		if err == nil {
			err = d.Load(func(*distribution.Update) error { return nil })
			_ = d.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want one line with %q", err, want)
		}
	}
}

// Decode accepts only valid snapshots.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"resource":"r","version":"1.2","items":[{"key":"a","value":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := Decode(data)
		if err == nil && (!u.IsSnapshot() || u.Validate() != nil) {
			t.Errorf("got %+v, want a valid snapshot", u)
		}
	})
}
