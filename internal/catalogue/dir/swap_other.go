//go:build !linux

package dir

import (
	"errors"
	"io/fs"
	"os"
)

// swap puts a directory in the place of another. Here this takes two steps; when the second fails the first is undone.
func swap(fresh, out string) error {
	old := fresh + ".old"
	err := os.Rename(out, old)
	if errors.Is(err, fs.ErrNotExist) {
		return os.Rename(fresh, out)
	}
	if err != nil {
		return err
	}
	if err := os.Rename(fresh, out); err != nil {
		return errors.Join(err, os.Rename(old, out))
	}
	return os.RemoveAll(old)
}
