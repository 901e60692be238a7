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

// outputs returns n files with the same text.
func outputs(text string, n int) []catalogue.Output {
	var files []catalogue.Output
	for i := range n {
		files = append(files, catalogue.Output{Name: fmt.Sprintf("app-%d.toml", i), Data: []byte(text)})
	}
	return files
}

// checkSet reports an error unless a directory contains exactly n files with a text, apart from the
// marker.
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
			t.Errorf("%s: got %q, error %v; want %q", e.Name(), data, err, text)
		}
		count++
	}
	if count != n {
		t.Errorf("got %d files, want %d", count, n)
	}
}

// Write replaces the old set of files completely, also through a symbolic link, and leaves no other
// files in the parent directory.
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
		t.Errorf("entries of the parent directory: got %v, error %v; want one", left, err)
	}
	// Through a symbolic link, Write replaces the target.
	if err := os.Symlink("deep/out", base+"/link"); err != nil {
		t.Skip(err)
	}
	if err := Write(base+"/link", outputs("linked", 2)); err != nil {
		t.Fatal(err)
	}
	checkSet(t, out, "linked", 2)
}

// failingFile is a file that fails at a write or at a sync.
type failingFile struct {
	syncWriteCloser
	left *int   // bytes or syncs until the failure, shared by all files
	at   string // failing operation: "write" or "sync"
}

// Write writes half of p and fails when the bytes left are used up, as on a full disk.
func (f failingFile) Write(p []byte) (int, error) {
	if f.at == "write" {
		*f.left -= len(p)
		if *f.left < 0 {
			n, _ := f.syncWriteCloser.Write(p[:len(p)/2])
			return n, syscall.ENOSPC
		}
	}
	return f.syncWriteCloser.Write(p)
}

// Sync fails when the syncs left are used up.
func (f failingFile) Sync() error {
	if f.at == "sync" {
		*f.left--
		if *f.left < 0 {
			return syscall.EIO
		}
	}
	return f.syncWriteCloser.Sync()
}

// If the disk is full, fails or is read-only, Write keeps the old set complete and leaves no other
// files in the parent directory.
func TestFailedWriteKeepsOldSet(t *testing.T) {
	for _, at := range []string{"create", "write", "sync"} {
		for left := range 4 {
			base := t.TempDir()
			out := base + "/out"
			if err := Write(out, outputs("old", 4)); err != nil {
				t.Fatal(err)
			}
			n := left
			err := write(out, outputs("n", 6), func(name string) (syncWriteCloser, error) {
				if at == "create" {
					n--
					if n < 0 {
						return nil, syscall.EROFS
					}
				}
				file, err := createFile(name)
				return failingFile{syncWriteCloser: file, left: &n, at: at}, err
			})
			if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EROFS) && !errors.Is(err, syscall.EIO) {
				t.Errorf("%s fails after %d: got error %v", at, left, err)
			}
			checkSet(t, out, "old", 4)
			if all, _ := os.ReadDir(base); len(all) != 1 {
				t.Errorf("%s fails after %d: entries of the parent directory: got %v, want one", at, left, all)
			}
		}
	}
	if os.Geteuid() == 0 {
		return // root may write to a read-only directory
	}
	base := t.TempDir()
	if err := Write(base+"/out", outputs("old", 2)); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(base, 0o555); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.Chmod(base, 0o755) }() // allows the removal of the test's directory
	if err := Write(base+"/out", outputs("new", 2)); err == nil {
		t.Error("write to a read-only directory: got no error")
	}
	checkSet(t, base+"/out", "old", 2)
}

// Write does not replace a directory with files that Write has not written.
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
		if err == nil || !strings.Contains(err.Error(), "a dedicated directory is required") {
			t.Errorf("got error %v", err)
		}
		if after, _ := os.ReadDir(d); len(after) != len(before) {
			t.Errorf("entries after the write: got %v, want %v", after, before)
		}
	}
	if err := Write(t.TempDir(), outputs("new", 1)); err != nil {
		t.Errorf("empty directory: %v", err)
	}
}

// ReplaceFile keeps the mode of the file and leaves no other files in the directory.
func TestReplaceFileKeepsModeAndCleansUp(t *testing.T) {
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
		t.Errorf("got mode %v, error %v, entries %v", info.Mode(), err, all)
	}
	if err := ReplaceFile(d+"/none.toml", nil); err == nil {
		t.Error("replacing a missing file: got no error")
	}
}
