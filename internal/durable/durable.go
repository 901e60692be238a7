// Package durable replaces files atomically: after a crash, a file has either its complete old
// contents or its complete new contents.
package durable

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// WriteFile replaces or creates the named file. Its directory must exist. With sync, the new file
// also survives a crash of the machine, as far as the disk honors the sync. Without sync, it
// survives only a crash of the process.
func WriteFile(name string, data []byte, perm fs.FileMode, sync bool) error {
	staged, err := Stage(name, data, perm, sync)
	if err != nil {
		return err
	}
	return staged.Commit()
}

// Staged is a file that is written but not yet in place. Commit or Discard must follow.
type Staged struct{ temporary, name string }

// Stage writes a file beside its final place. The parameters are those of WriteFile.
func Stage(name string, data []byte, perm fs.FileMode, sync bool) (*Staged, error) {
	f, err := os.CreateTemp(filepath.Dir(name), stagedPrefix(name))
	if err != nil {
		return nil, fmt.Errorf("write: %w", err)
	}
	staged := &Staged{temporary: f.Name(), name: name}
	err = writeContents(f, data, perm, sync)
	if err = errors.Join(err, f.Close()); err != nil {
		staged.Discard()
		return nil, fmt.Errorf("write: %w", err)
	}
	return staged, nil
}

// writeContents writes the contents of a new file.
func writeContents(f *os.File, data []byte, perm fs.FileMode, sync bool) error {
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

// stagedPrefix returns the prefix of the names of the staged versions of a file.
func stagedPrefix(name string) string { return "." + filepath.Base(name) + ".new-" }

// Commit moves the file to its final place. If that fails, the staged file is removed.
func (s *Staged) Commit() error {
	if err := os.Rename(s.temporary, s.name); err != nil {
		s.Discard()
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Discard removes the staged file.
func (s *Staged) Discard() {
	_ = os.Remove(s.temporary) // RemoveStaged removes the file later if this fails
}

// ReadFile reads a file of at most limit bytes. A longer file is an error. ReadFile returns nil if
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
		return nil, fmt.Errorf("read %s: file exceeds the limit of %d bytes", name, limit)
	}
	return data, nil
}

// RemoveStaged removes the staged versions of a file that killed processes have left behind.
func RemoveStaged(name string) {
	// Errors are ignored: a remaining file is never read, and the next call tries again.
	staged, _ := filepath.Glob(filepath.Join(filepath.Dir(name), stagedPrefix(name)+"*"))
	for _, temporary := range staged {
		_ = os.Remove(temporary)
	}
}
