// Package durable replaces files so that a crash leaves the old one or the new one, whole.
package durable

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// WriteFile puts a file in the place of another, or where none is. Its folder has to be there. With sync the new one outlives
// the machine's crash too, as far as the disk keeps its word; without, that of the process alone.
func WriteFile(name string, data []byte, perm fs.FileMode, sync bool) error {
	staged, err := Stage(name, data, perm, sync)
	if err != nil {
		return err
	}
	return staged.Commit()
}

// Staged is a file that is written and not in its place yet. Commit or Discard has to follow.
type Staged struct{ from, to string }

// Stage writes a file beside the place that it is to have, as Replace does.
func Stage(name string, data []byte, perm fs.FileMode, sync bool) (s *Staged, err error) {
	f, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+".new-")
	if err != nil {
		return nil, fmt.Errorf("write: %w", err)
	}
	if _, err = f.Write(data); err == nil {
		err = f.Chmod(perm)
	}
	if err == nil && sync {
		err = f.Sync()
	}
	s = &Staged{f.Name(), name}
	if err = errors.Join(err, f.Close()); err != nil {
		s.Discard()
		return nil, fmt.Errorf("write: %w", err)
	}
	return s, nil
}

// Commit puts the file in its place. One that can't be is removed.
func (s *Staged) Commit() error {
	if err := os.Rename(s.from, s.to); err != nil {
		s.Discard()
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Discard removes the file.
func (s *Staged) Discard() { _ = os.Remove(s.from) }

// ReadFile reads a file of no more bytes than most; a longer one is an error. A file that is not there is nil.
func ReadFile(name string, most int64) ([]byte, error) {
	f, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if int64(len(data)) > most {
		return nil, fmt.Errorf("read: %s: more than %d bytes found, that many at most expected", name, most)
	}
	return data, nil
}

// RemoveStaged removes what Replace has left behind of a file where its process was killed.
func RemoveStaged(name string) {
	left, _ := filepath.Glob(filepath.Join(filepath.Dir(name), "."+filepath.Base(name)+".new-*"))
	for _, l := range left {
		_ = os.Remove(l)
	}
}
