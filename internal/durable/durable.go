// Package durable replaces files atomically: a crash leaves the old file or the new one, complete.
package durable

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// WriteFile replaces the named file, or creates it. Its directory has to exist. With sync the new
// file also outlives a crash of the machine, as far as the disk keeps its word; without, that of
// the process alone.
func WriteFile(name string, data []byte, perm fs.FileMode, sync bool) error {
	staged, err := Stage(name, data, perm, sync)
	if err != nil {
		return err
	}
	return staged.Commit()
}

// Staged is a file that is written but not in its place yet. Commit or Discard has to follow.
type Staged struct{ temporary, name string }

// Stage writes a file beside the place that it is to have, with the parameters of WriteFile.
func Stage(name string, data []byte, perm fs.FileMode, sync bool) (*Staged, error) {
	f, err := os.CreateTemp(filepath.Dir(name), stagedPrefix(name))
	if err != nil {
		return nil, fmt.Errorf("write: %w", err)
	}
	staged := &Staged{temporary: f.Name(), name: name}
	err = fill(f, data, perm, sync)
	if err = errors.Join(err, f.Close()); err != nil {
		staged.Discard()
		return nil, fmt.Errorf("write: %w", err)
	}
	return staged, nil
}

// fill writes the contents of a new file.
func fill(f *os.File, data []byte, perm fs.FileMode, sync bool) error {
	if _, err := f.Write(data); err != nil {
		return err
	}
	if err := f.Chmod(perm); err != nil {
		return err
	}
	if !sync {
		return nil
	}
	return f.Sync()
}

// stagedPrefix returns what the names of the staged versions of a file begin with.
func stagedPrefix(name string) string { return "." + filepath.Base(name) + ".new-" }

// Commit puts the file in its place. If that fails, the staged file is removed.
func (s *Staged) Commit() error {
	if err := os.Rename(s.temporary, s.name); err != nil {
		s.Discard()
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Discard removes the staged file.
func (s *Staged) Discard() {
	_ = os.Remove(s.temporary) // one that stays is found by RemoveStaged
}

// ReadFile reads a file of at most limit bytes; a longer one is an error. It returns nil where
// there is no file.
func ReadFile(name string, limit int64) ([]byte, error) {
	f, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	defer func() { _ = f.Close() }() // nothing was written
	data, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("read: %s: more than %d bytes found, that many at most expected", name, limit)
	}
	return data, nil
}

// RemoveStaged removes the staged versions of a file that processes have left behind that were
// killed.
func RemoveStaged(name string) {
	// Neither error matters: what stays is neither read nor in the way, and is removed another
	// time.
	staged, _ := filepath.Glob(filepath.Join(filepath.Dir(name), stagedPrefix(name)+"*"))
	for _, temporary := range staged {
		_ = os.Remove(temporary)
	}
}
