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

// writeTestFile writes a file and the directories above it.
func writeTestFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// names returns the names of files.
func names(files []catalogue.File) []string {
	var names []string
	for _, f := range files {
		names = append(names, f.Name)
	}
	return names
}

// Load reads a directory's own .toml files and what they include; not hidden files, other files and
// those of subdirectories. Of one file it reads that and what it includes.
func TestLoadReadsDirectoryAndIncludes(t *testing.T) {
	d := t.TempDir()
	writeTestFile(t, d+"/b.toml", "catalogue = 1\ninclude = [\"sub/c.toml\", \"./sub/../a.toml\"]\n")
	writeTestFile(t, d+"/a.toml", "catalogue = 1\n")
	writeTestFile(t, d+"/sub/c.toml", "catalogue = 1\ninclude = [\"d.toml\"]\n")
	writeTestFile(t, d+"/sub/d.toml", "catalogue = 1\n")
	writeTestFile(t, d+"/sub/e.toml", "catalogue = 1\n")
	writeTestFile(t, d+"/.f.toml", "?")
	writeTestFile(t, d+"/g.txt", "?")
	files, faults, err := Load(d)
	want := []string{"a.toml", "b.toml", "sub/c.toml", "sub/d.toml"}
	if got := names(files); err != nil || len(faults) > 0 || !slices.Equal(got, want) {
		t.Errorf("got %v, %v, %v", got, faults, err)
	}
	files, _, err = Load(d + "/b.toml")
	want = []string{"b.toml", "sub/c.toml", "sub/d.toml", "a.toml"}
	if got := names(files); err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v", got, err)
	}
	if _, _, err := Load(d + "/none"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}

// Links that lead out of the directory are not followed, whether a file is listed, included or
// below a linked directory; those that stay inside are.
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
	files, faults, err := Load(d + "/a.toml")
	if err != nil {
		t.Fatal(err)
	}
	if got := names(files); !slices.Equal(got, []string{"a.toml", "fine.toml"}) {
		t.Errorf("read %v", got)
	}
	if len(faults) != 2 || faults[0].Rule != rules.IncludeOutside || faults[1].Rule != rules.IncludeOutside ||
		faults[0].Line != 2 {
		t.Errorf("got %v", faults)
	}
	if _, _, err := Load(d); err == nil { // round.toml is listed
		t.Error("a link to itself was read")
	}
}

// Nested includes have a bound.
func TestLoadBoundsIncludeDepth(t *testing.T) {
	d := t.TempDir()
	for i := range 2 * catalogue.MaxIncludeDepth {
		writeTestFile(t, fmt.Sprintf("%s/%d.toml", d, i), fmt.Sprintf("catalogue = 1\ninclude = [\"%d.toml\"]\n", i+1))
	}
	_, faults, err := Load(d + "/0.toml")
	if err != nil || len(faults) != 1 || faults[0].Rule != rules.IncludeLoop {
		t.Errorf("got %v, %v", faults, err)
	}
}

// A catalogue that is edited while it is read is read again, so that the returned files were on the
// disk at one time; one that is edited during each read is an error.
func TestLoadDetectsConcurrentEdits(t *testing.T) {
	for _, edit := range []struct {
		what string
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
			t.Errorf("%s: %d readings, %v", edit.what, n, err)
		}
		for _, f := range files {
			if now, err := os.ReadFile(filepath.Join(d, f.Name)); err != nil || string(now) != string(f.Data) {
				t.Errorf("%s: %s is not what stands there", edit.what, f.Name)
			}
		}
		n = 0
		_, _, err = load(d, func() {
			n++
			edit.do(d, n)
		})
		if !errors.Is(err, ErrChanged) {
			t.Errorf("%s each time: got %v", edit.what, err)
		}
	}
}
