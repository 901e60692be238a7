package dir

import (
	"errors"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"
)

// swap has two directories change places in one step, or puts the first where nothing is (renameat2, RENAME_EXCHANGE).
func swap(fresh, out string) error {
	err := unix.Renameat2(unix.AT_FDCWD, fresh, unix.AT_FDCWD, out, unix.RENAME_EXCHANGE)
	if errors.Is(err, fs.ErrNotExist) {
		return os.Rename(fresh, out)
	}
	if err != nil {
		return &os.LinkError{Op: "exchange", Old: fresh, New: out, Err: err}
	}
	return nil
}
