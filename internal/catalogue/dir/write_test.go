package dir

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"fernlanding/internal/catalogue"
)

// outputs returns n files of one text.
func outputs(text string, n int) []catalogue.Output {
	var files []catalogue.Output
	for i := range n {
		files = append(files, catalogue.Output{Name: fmt.Sprintf("app-%d.toml", i), Data: []byte(text)})
	}
	return files
}

// checkSet fails the test unless a directory holds exactly the files of one set.
func checkSet(t *testing.T, d, text string, n int) {
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

// A new set replaces the old one completely, through a link too, and leaves nothing beside it.
func TestWriteReplacesCompleteSet(t *testing.T) {
	base := t.TempDir()
	out := base + "/deep/out"
	for i, n := range []int{3, 1, 5, 0} {
		if err := Write(out, outputs(fmt.Sprint(i), n)); err != nil {
			t.Fatal(err)
		}
		checkSet(t, out, fmt.Sprint(i), n)
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
	checkSet(t, out, "linked", 2)
}

// failingFile is a file on a disk that fails after some bytes, at a write or at a sync.
type failingFile struct {
	writableFile
	left *int
	at   string
}

// Write fails in the middle where the disk is full.
func (f failingFile) Write(p []byte) (int, error) {
	if f.at == "write" {
		*f.left -= len(p)
		if *f.left < 0 {
			n, _ := f.writableFile.Write(p[:len(p)/2])
			return n, syscall.ENOSPC
		}
	}
	return f.writableFile.Write(p)
}

// Sync fails after some syncs.
func (f failingFile) Sync() error {
	if f.at == "sync" {
		*f.left--
		if *f.left < 0 {
			return syscall.EIO
		}
	}
	return f.writableFile.Sync()
}

// A full disk, a failing one and a read-only one leave the old set complete and nothing beside it.
func TestFailedWriteKeepsOldSet(t *testing.T) {
	for _, at := range []string{"create", "write", "sync"} {
		for left := range 4 {
			base := t.TempDir()
			out := base + "/out"
			if err := Write(out, outputs("old", 4)); err != nil {
				t.Fatal(err)
			}
			n := left
			err := write(out, outputs("n", 6), func(name string) (writableFile, error) {
				if at == "create" {
					n--
					if n < 0 {
						return nil, syscall.EROFS
					}
				}
				file, err := createFile(name)
				return failingFile{writableFile: file, left: &n, at: at}, err
			})
			if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EROFS) && !errors.Is(err, syscall.EIO) {
				t.Errorf("%s after %d: got %v", at, left, err)
			}
			checkSet(t, out, "old", 4)
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
	defer func() { _ = os.Chmod(base, 0o755) }() // else the test's directory can't be removed
	if err := Write(base+"/out", outputs("new", 2)); err == nil {
		t.Error("a read-only directory was written")
	}
	checkSet(t, base+"/out", "old", 2)
}

// Write replaces nothing that it has not written.
func TestWriteRejectsForeignFiles(t *testing.T) {
	for _, prepare := range []func(d string){
		func(d string) { writeTestFile(t, d+"/mine.toml", "x") },
		func(d string) {
			writeTestFile(t, d+"/"+Marker, "")
			writeTestFile(t, d+"/notes.txt", "x")
		},
		func(d string) {
			writeTestFile(t, d+"/"+Marker, "")
			writeTestFile(t, d+"/sub.toml/x", "x")
		},
	} {
		d := t.TempDir()
		prepare(d)
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

// Replace keeps the file's mode and leaves nothing beside it.
func TestReplaceKeepsModeAndCleansUp(t *testing.T) {
	d := t.TempDir()
	writeTestFile(t, d+"/a.toml", "old")
	if err := os.Chmod(d+"/a.toml", 0o600); err != nil {
		t.Fatal(err)
	}
	if err := ReplaceFile(d+"/a.toml", []byte("new")); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(d + "/a.toml")
	if all, _ := os.ReadDir(d); err != nil || info.Mode().Perm() != 0o600 || len(all) != 1 {
		t.Errorf("got %v, %v, %v", info.Mode(), err, all)
	}
	if err := ReplaceFile(d+"/none.toml", nil); err == nil {
		t.Error("a file that is not there was replaced")
	}
}
