package dir

import (
	"errors"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// exchange exchanges two directories atomically (renameat2 with RENAME_EXCHANGE). If directory does
// not exist, it renames the staged directory.
func exchange(staged, directory string) error {
	err := unix.Renameat2(unix.AT_FDCWD, staged, unix.AT_FDCWD, directory, unix.RENAME_EXCHANGE)
	if errors.Is(err, fs.ErrNotExist) {
		return os.Rename(staged, directory)
	}
	if err != nil {
		return &os.LinkError{Op: "exchange", Old: staged, New: directory, Err: err}
	}
	return nil
}
