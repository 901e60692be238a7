package dir

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"fernlanding/internal/catalogue"
)

// Marker is the name of the file by which Write recognizes a directory that it has written.
const Marker = ".fernctl"

// markerText is the content of the marker.
const markerText = "Written by fernctl as a whole. Change the catalogue, not these files.\n"

// Write puts files into a directory of their own: all of them, and nothing else. They are written
// to a directory beside it first, and the two directories are exchanged in one step; if anything
// fails before that, such as a full or a read-only disk, the old set stays complete. Write returns
// an error for a directory that holds anything which it has not written.
func Write(directory string, files []catalogue.Output) error {
	return write(directory, files, createFile)
}

// writableFile is what write needs of a file.
type writableFile interface {
	io.WriteCloser
	Sync() error
}

// createFile creates a file that does not exist.
func createFile(name string) (writableFile, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
}

// write is Write; create creates each file.
func write(directory string, files []catalogue.Output, create func(string) (writableFile, error)) error {
	directory = filepath.Clean(directory)
	if target, err := filepath.EvalSymlinks(directory); err == nil {
		directory = target // the link stays, and its target is replaced
	}
	if err := checkReplaceable(directory); err != nil {
		return err
	}
	parent := filepath.Dir(directory)
	if err := os.MkdirAll(parent, 0o755); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	staged, err := os.MkdirTemp(parent, "."+filepath.Base(directory)+".new-")
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	err = writeSet(staged, directory, files, create)
	// After the exchange the staged directory has the old files.
	if removeErr := os.RemoveAll(staged); err == nil && removeErr != nil {
		return fmt.Errorf("the new files hold, the old ones in %s could not be removed: %w", staged, removeErr)
	}
	return err
}

// writeSet writes the files and the marker to the staged directory and exchanges it for the other.
func writeSet(
	staged, directory string, files []catalogue.Output, create func(string) (writableFile, error),
) error {
	if err := os.Chmod(staged, 0o755); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	for _, file := range files {
		if err := writeFile(filepath.Join(staged, file.Name), file.Data, create); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	if err := writeFile(filepath.Join(staged, Marker), []byte(markerText), create); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := syncDirectory(staged); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := exchange(staged, directory); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return syncDirectory(filepath.Dir(directory))
}

// checkReplaceable returns an error unless a directory is one that Write has written, or empty, or
// does not exist.
func checkReplaceable(directory string) error {
	entries, err := os.ReadDir(directory)
	if errors.Is(err, fs.ErrNotExist) || err == nil && len(entries) == 0 {
		return nil
	}
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	hasMarker := false
	for _, e := range entries {
		if e.Name() == Marker {
			hasMarker = true
		} else if !strings.HasSuffix(e.Name(), ".toml") || e.IsDir() {
			return fmt.Errorf("write: %s holds %s, which fernctl has not written: a directory of its own expected",
				directory, e.Name())
		}
	}
	if !hasMarker {
		return fmt.Errorf("write: %s holds files that fernctl has not written: a directory of its own expected",
			directory)
	}
	return nil
}

// writeFile creates a file, writes its content and syncs it to the disk.
func writeFile(name string, data []byte, create func(string) (writableFile, error)) error {
	f, err := create(name)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDirectory syncs a directory's entries to the disk.
func syncDirectory(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }() // nothing is written through it
	return d.Sync()
}
