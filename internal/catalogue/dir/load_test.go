package dir

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/rules"
)

// writeTestFile writes a file and creates its parent directories.
func writeTestFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// fileNames returns the names of files.
func fileNames(files []catalogue.File) []string {
	var names []string
	for _, f := range files {
		names = append(names, f.Name)
	}
	return names
}

// For a directory, Load reads the .toml files in it and the files that they include. It does not
// read hidden files, other files, or files of subdirectories that are not included. For a single
// file, it reads that file and the files that it includes.
func TestLoadReadsDirectoryAndIncludes(t *testing.T) {
	d := t.TempDir()
	writeTestFile(t, d+"/b.toml", "catalogue = 1\ninclude = [\"sub/c.toml\", \"./sub/../a.toml\"]\n")
	writeTestFile(t, d+"/a.toml", "catalogue = 1\n")
	writeTestFile(t, d+"/sub/c.toml", "catalogue = 1\ninclude = [\"d.toml\"]\n")
	writeTestFile(t, d+"/sub/d.toml", "catalogue = 1\n")
	writeTestFile(t, d+"/sub/e.toml", "catalogue = 1\n")
	writeTestFile(t, d+"/.f.toml", "?")
	writeTestFile(t, d+"/g.txt", "?")
	files, diagnostics, err := Load(d)
	want := []string{"a.toml", "b.toml", "sub/c.toml", "sub/d.toml"}
	if got := fileNames(files); err != nil || len(diagnostics) > 0 || !slices.Equal(got, want) {
		t.Errorf("directory: got %v, diagnostics %v, error %v; want %v", got, diagnostics, err, want)
	}
	files, _, err = Load(d + "/b.toml")
	want = []string{"b.toml", "sub/c.toml", "sub/d.toml", "a.toml"}
	if got := fileNames(files); err != nil || !slices.Equal(got, want) {
		t.Errorf("single file: got %v, error %v; want %v", got, err, want)
	}
	if _, _, err := Load(d + "/none"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing catalogue: got %v, want os.ErrNotExist", err)
	}
}

// Load does not follow symbolic links that lead out of the catalogue's directory, whether the file
// is listed, included or in a linked directory. It follows links that stay inside.
func TestLoadDoesNotFollowLinksOutside(t *testing.T) {
	base := t.TempDir()
	d := base + "/in"
	writeTestFile(t, base+"/out/secret.toml", "catalogue = 1\n")
	writeTestFile(t, d+"/a.toml", "catalogue = 1\ninclude = [\"link.toml\", \"dir/secret.toml\", \"fine.toml\"]\n")
	writeTestFile(t, d+"/sub/b.toml", "catalogue = 1\n")
	for from, to := range map[string]string{
		"/link.toml": "../out/secret.toml", "/dir": "../out", "/fine.toml": "sub/b.toml", "/round.toml": "round.toml",
	} {
		if err := os.Symlink(to, d+from); err != nil {
			t.Skip(err)
		}
	}
	files, diagnostics, err := Load(d + "/a.toml")
	if err != nil {
		t.Fatal(err)
	}
	if got := fileNames(files); !slices.Equal(got, []string{"a.toml", "fine.toml"}) {
		t.Errorf("got files %v", got)
	}
	if len(diagnostics) != 2 || diagnostics[0].Rule != rules.IncludeOutside ||
		diagnostics[1].Rule != rules.IncludeOutside || diagnostics[0].Line != 2 {
		t.Errorf("got diagnostics %v", diagnostics)
	}
	if _, _, err := Load(d); err == nil { // the directory lists round.toml
		t.Error("a link to itself was read without an error")
	}
}

// Load reports includes that are nested more deeply than MaxIncludeDepth.
func TestLoadLimitsIncludeDepth(t *testing.T) {
	d := t.TempDir()
	for i := range 2 * catalogue.MaxIncludeDepth {
		writeTestFile(t, fmt.Sprintf("%s/%d.toml", d, i), fmt.Sprintf("catalogue = 1\ninclude = [\"%d.toml\"]\n", i+1))
	}
	_, diagnostics, err := Load(d + "/0.toml")
	if err != nil || len(diagnostics) != 1 || diagnostics[0].Rule != rules.IncludeLoop {
		t.Errorf("got diagnostics %v, error %v; want one diagnostic of %s", diagnostics, err, rules.IncludeLoop)
	}
}

// Load reads a catalogue again that is edited during the read, so that the returned files existed on
// the disk at the same time. It returns ErrChanged if the catalogue is edited during each read.
func TestLoadDetectsConcurrentEdits(t *testing.T) {
	for _, edit := range []struct {
		name string
		do   func(d string, n int)
	}{
		{"a file is written", func(d string, n int) {
			writeTestFile(t, d+"/a.toml", fmt.Sprintf("catalogue = 1\n# %d\n", n))
		}},
		{"a file is replaced", func(d string, n int) {
			writeTestFile(t, d+"/.new", fmt.Sprintf("catalogue = 1\n# %d\n", n))
			at := time.Unix(1_000_000_000, 0) // the same time and size as before
			_ = os.Chtimes(d+"/.new", at, at)
			_ = os.Rename(d+"/.new", d+"/a.toml")
		}},
		{"a file is added", func(d string, n int) {
			writeTestFile(t, fmt.Sprintf("%s/n%d.toml", d, n), "catalogue = 1\n")
		}},
		{"a file is removed", func(d string, n int) { _ = os.Remove(fmt.Sprintf("%s/gone%d.toml", d, n)) }},
	} {
		d := t.TempDir()
		writeTestFile(t, d+"/a.toml", "catalogue = 1\n# 9\n")
		for i := range maxReads + 1 {
			writeTestFile(t, fmt.Sprintf("%s/gone%d.toml", d, i), "catalogue = 1\n")
		}
		at := time.Unix(1_000_000_000, 0)
		_ = os.Chtimes(d+"/a.toml", at, at)
		n := 0
		files, _, err := load(d, func() {
			if n == 0 {
				edit.do(d, n)
			}
			n++
		})
		if err != nil || n != 2 {
			t.Errorf("%s: got %d reads, error %v; want 2 reads", edit.name, n, err)
		}
		for _, f := range files {
			if now, err := os.ReadFile(filepath.Join(d, f.Name)); err != nil || string(now) != string(f.Data) {
				t.Errorf("%s: data of %s differs from the file on the disk", edit.name, f.Name)
			}
		}
		n = 0
		_, _, err = load(d, func() {
			n++
			edit.do(d, n)
		})
		if !errors.Is(err, ErrChanged) {
			t.Errorf("%s during each read: got %v, want ErrChanged", edit.name, err)
		}
	}
}
