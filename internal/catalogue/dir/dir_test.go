package dir

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/rules"
)

func lay(t *testing.T, name, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func names(files []catalogue.File) (out []string) {
	for _, f := range files {
		out = append(out, f.Name)
	}
	return out
}

// A directory gives its own .toml files and what they include; hidden ones, others and those of directories below do not
// count. One file gives itself and what it includes.
func TestADirectoryIsRead(t *testing.T) {
	d := t.TempDir()
	lay(t, d+"/b.toml", "catalogue = 1\ninclude = [\"sub/c.toml\", \"./sub/../a.toml\"]\n")
	lay(t, d+"/a.toml", "catalogue = 1\n")
	lay(t, d+"/sub/c.toml", "catalogue = 1\ninclude = [\"d.toml\"]\n")
	lay(t, d+"/sub/d.toml", "catalogue = 1\n")
	lay(t, d+"/sub/e.toml", "catalogue = 1\n")
	lay(t, d+"/.f.toml", "?")
	lay(t, d+"/g.txt", "?")
	files, faults, err := Load(d)
	if got := names(files); err != nil || len(faults) > 0 || !slices.Equal(got, []string{"a.toml", "b.toml", "sub/c.toml", "sub/d.toml"}) {
		t.Errorf("got %v, %v, %v", got, faults, err)
	}
	files, _, err = Load(d + "/b.toml")
	if got := names(files); err != nil || !slices.Equal(got, []string{"b.toml", "sub/c.toml", "sub/d.toml", "a.toml"}) {
		t.Errorf("got %v, %v", got, err)
	}
	if _, _, err := Load(d + "/none"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}

// Links that lead out of the directory are not followed, whether a file is listed, included or below a linked directory;
// those that stay inside are.
func TestLinksDoNotLeaveTheDirectory(t *testing.T) {
	base := t.TempDir()
	d := base + "/in"
	lay(t, base+"/out/secret.toml", "catalogue = 1\n")
	lay(t, d+"/a.toml", "catalogue = 1\ninclude = [\"link.toml\", \"dir/secret.toml\", \"fine.toml\"]\n")
	lay(t, d+"/sub/b.toml", "catalogue = 1\n")
	for from, to := range map[string]string{"/link.toml": "../out/secret.toml", "/dir": "../out", "/fine.toml": "sub/b.toml", "/round.toml": "round.toml"} {
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
	if len(faults) != 2 || faults[0].Rule != rules.IncludeOutside || faults[1].Rule != rules.IncludeOutside || faults[0].Line != 2 {
		t.Errorf("got %v", faults)
	}
	if _, _, err := Load(d); err == nil { // round.toml is listed
		t.Error("a link to itself was read")
	}
}

func TestIncludesHaveADepth(t *testing.T) {
	d := t.TempDir()
	for i := range 2 * catalogue.MaxInclude {
		lay(t, fmt.Sprintf("%s/%d.toml", d, i), fmt.Sprintf("catalogue = 1\ninclude = [\"%d.toml\"]\n", i+1))
	}
	_, faults, err := Load(d + "/0.toml")
	if err != nil || len(faults) != 1 || faults[0].Rule != rules.IncludeLoop {
		t.Errorf("got %v, %v", faults, err)
	}
}

// A catalogue that is edited while it is read is read again, so that what is returned has stood there at one time; one
// that never holds still is an error.
func TestEditsWhileItIsReadAreSeen(t *testing.T) {
	for _, edit := range []struct {
		what string
		do   func(d string, n int)
	}{
		{"a file is written", func(d string, n int) { lay(t, d+"/a.toml", fmt.Sprintf("catalogue = 1\n# %d\n", n)) }},
		{"a file is replaced", func(d string, n int) {
			lay(t, d+"/.new", fmt.Sprintf("catalogue = 1\n# %d\n", n))
			at := time.Unix(1_000_000_000, 0) // the same time and size as before
			_ = os.Chtimes(d+"/.new", at, at)
			_ = os.Rename(d+"/.new", d+"/a.toml")
		}},
		{"a file is added", func(d string, n int) { lay(t, fmt.Sprintf("%s/n%d.toml", d, n), "catalogue = 1\n") }},
		{"a file is removed", func(d string, n int) { _ = os.Remove(fmt.Sprintf("%s/gone%d.toml", d, n)) }},
	} {
		d := t.TempDir()
		lay(t, d+"/a.toml", "catalogue = 1\n# 9\n")
		for i := range mostTries + 1 {
			lay(t, fmt.Sprintf("%s/gone%d.toml", d, i), "catalogue = 1\n")
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
		if _, _, err := load(d, func() { n++; edit.do(d, n) }); !errors.Is(err, ErrChanged) {
			t.Errorf("%s each time: got %v", edit.what, err)
		}
	}
}

func outputs(text string, n int) (out []catalogue.Output) {
	for i := range n {
		out = append(out, catalogue.Output{Name: fmt.Sprintf("app-%d.toml", i), Data: []byte(text)})
	}
	return out
}

// whole tells whether a directory holds exactly the files of one set.
func whole(t *testing.T, d, text string, n int) {
	t.Helper()
	entries, err := os.ReadDir(d)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, e := range entries {
		if e.Name() == Marker {
			continue
		}
		data, err := os.ReadFile(filepath.Join(d, e.Name()))
		if err != nil || string(data) != text {
			t.Errorf("%s: %q, %v; want %q", e.Name(), data, err, text)
		}
		count++
	}
	if count != n {
		t.Errorf("%d files, want %d", count, n)
	}
}

func TestASetIsReplacedAsAWhole(t *testing.T) {
	base := t.TempDir()
	out := base + "/deep/out"
	for i, n := range []int{3, 1, 5, 0} {
		if err := Write(out, outputs(fmt.Sprint(i), n)); err != nil {
			t.Fatal(err)
		}
		whole(t, out, fmt.Sprint(i), n)
	}
	left, err := os.ReadDir(base + "/deep")
	if err != nil || len(left) != 1 {
		t.Errorf("left beside it: %v, %v", left, err)
	}
	// Through a link: what it leads to changes.
	if err := os.Symlink("deep/out", base+"/link"); err != nil {
		t.Skip(err)
	}
	if err := Write(base+"/link", outputs("linked", 2)); err != nil {
		t.Fatal(err)
	}
	whole(t, out, "linked", 2)
}

// broken is a file on a disk that is full after some bytes.
type broken struct {
	file
	left *int
	at   string
}

func (b broken) Write(p []byte) (int, error) {
	if b.at == "write" {
		if *b.left -= len(p); *b.left < 0 {
			n, _ := b.file.Write(p[:len(p)/2])
			return n, syscall.ENOSPC
		}
	}
	return b.file.Write(p)
}

func (b broken) Sync() error {
	if b.at == "sync" {
		if *b.left--; *b.left < 0 {
			return syscall.EIO
		}
	}
	return b.file.Sync()
}

// A full disk, a failing one and one that can't be written leave the old set whole and nothing beside it.
func TestAFailedWriteLeavesTheOldSet(t *testing.T) {
	for _, at := range []string{"create", "write", "sync"} {
		for left := range 4 {
			base := t.TempDir()
			out := base + "/out"
			if err := Write(out, outputs("old", 4)); err != nil {
				t.Fatal(err)
			}
			n := left
			err := write(out, outputs("n", 6), func(name string) (file, error) {
				if at == "create" {
					if n--; n < 0 {
						return nil, syscall.EROFS
					}
				}
				f, err := create(name)
				return broken{f, &n, at}, err
			})
			if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EROFS) && !errors.Is(err, syscall.EIO) {
				t.Errorf("%s after %d: got %v", at, left, err)
			}
			whole(t, out, "old", 4)
			if all, _ := os.ReadDir(base); len(all) != 1 {
				t.Errorf("%s after %d: left %v", at, left, all)
			}
		}
	}
	if os.Geteuid() == 0 {
		return // may write everywhere
	}
	base := t.TempDir()
	if err := Write(base+"/out", outputs("old", 2)); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(base, 0o555); err != nil {
		t.Fatal(err)
	}
	defer os.Chmod(base, 0o755)
	if err := Write(base+"/out", outputs("new", 2)); err == nil {
		t.Error("a read-only directory was written")
	}
	whole(t, base+"/out", "old", 2)
}

// Nothing is overwritten that Write has not written.
func TestOthersFilesAreNotReplaced(t *testing.T) {
	for _, c := range []func(d string){
		func(d string) { lay(t, d+"/mine.toml", "x") },
		func(d string) { lay(t, d+"/"+Marker, ""); lay(t, d+"/notes.txt", "x") },
		func(d string) { lay(t, d+"/"+Marker, ""); lay(t, d+"/sub.toml/x", "x") },
	} {
		d := t.TempDir()
		c(d)
		before, _ := os.ReadDir(d)
		err := Write(d, outputs("new", 1))
		if err == nil || !strings.Contains(err.Error(), "a directory of its own expected") {
			t.Errorf("got %v", err)
		}
		if after, _ := os.ReadDir(d); len(after) != len(before) {
			t.Errorf("got %v", after)
		}
	}
	if err := Write(t.TempDir(), outputs("new", 1)); err != nil {
		t.Errorf("an empty directory: %v", err)
	}
}

func TestReplaceKeepsModeAndLeavesNothing(t *testing.T) {
	d := t.TempDir()
	lay(t, d+"/a.toml", "old")
	if err := os.Chmod(d+"/a.toml", 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Replace(d+"/a.toml", []byte("new")); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(d + "/a.toml")
	if all, _ := os.ReadDir(d); err != nil || info.Mode().Perm() != 0o600 || len(all) != 1 {
		t.Errorf("got %v, %v, %v", info.Mode(), err, all)
	}
	if err := Replace(d+"/none.toml", nil); err == nil {
		t.Error("a file that is not there was replaced")
	}
}
