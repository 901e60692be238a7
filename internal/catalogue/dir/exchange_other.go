//go:build !linux

package dir

import (
	"errors"
	"io/fs"
	"os"
)

// exchange replaces a directory by the staged one and removes the replaced directory. The
// replacement is not atomic: it takes two renames. If the second fails, the first is undone.
func exchange(staged, directory string) error {
	old := staged + ".old"
	err := os.Rename(directory, old)
	if errors.Is(err, fs.ErrNotExist) {
		return os.Rename(staged, directory)
	}
	if err != nil {
		return err
	}
	if err := os.Rename(staged, directory); err != nil {
		return errors.Join(err, os.Rename(old, directory))
	}
	return os.RemoveAll(old)
}
