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

// Marker is the name of the marker file, by which Write recognizes a directory that it has written.
const Marker = ".fernctl"

// markerText is the content of the marker file.
const markerText = "Written by fernctl as a whole. Change the catalogue, not these files.\n"

// Write replaces the content of a dedicated directory with a set of files. It writes the files to a
// staged directory in the same parent and exchanges the two directories. If a step before the
// exchange fails, for example because the disk is full or read-only, the old set stays complete.
// Write returns an error for a directory that contains files which Write has not written.
func Write(directory string, files []catalogue.Output) error {
	return write(directory, files, createFile)
}

// syncWriteCloser is the part of *os.File that write uses.
type syncWriteCloser interface {
	io.WriteCloser
	Sync() error
}

// createFile creates a file. It returns an error if the file exists.
func createFile(name string) (syncWriteCloser, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
}

// write implements Write. It calls create to create each file.
func write(directory string, files []catalogue.Output, create func(string) (syncWriteCloser, error)) error {
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
	// After the exchange the staged directory contains the old files.
	if removeErr := os.RemoveAll(staged); err == nil && removeErr != nil {
		return fmt.Errorf("write: new files are in place, but removing the old files in %s failed: %w",
			staged, removeErr)
	}
	return err
}

// writeSet writes the files and the marker to the staged directory and exchanges the directories.
func writeSet(
	staged, directory string, files []catalogue.Output, create func(string) (syncWriteCloser, error),
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

// checkReplaceable returns an error unless a directory does not exist, is empty or was written by
// Write.
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
			return fmt.Errorf("write: directory %s contains %s, which fernctl has not written: "+
				"a dedicated directory is required", directory, e.Name())
		}
	}
	if !hasMarker {
		return fmt.Errorf("write: directory %s contains files that fernctl has not written: "+
			"a dedicated directory is required", directory)
	}
	return nil
}

// writeFile creates a file, writes its content and syncs the file to the disk.
func writeFile(name string, data []byte, create func(string) (syncWriteCloser, error)) error {
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

// syncDirectory syncs the entries of a directory to the disk.
func syncDirectory(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }() // the directory is only synced
	return d.Sync()
}
