package dir

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/config"
	"fernlanding/internal/durable"
	"fernlanding/internal/tomldoc"
)

// Marker is the file in a directory that Write has written, which tells that the directory is its own.
const Marker = ".fernctl"

// Deployed reads the files of a directory that Write has written. One that does not exist is empty.
func Deployed(out string) ([]*config.Document, error) {
	entries, err := os.ReadDir(out)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("deployed: %w", err)
	}
	var docs []*config.Document
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), ".toml") || e.IsDir() {
			continue
		}
		data, err := ReadFile(filepath.Join(out, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("deployed: %w", err)
		}
		docs = append(docs, config.Read(e.Name(), data))
	}
	return docs, nil
}

// ReadFile reads a file up to the bound of a configuration and one byte more.
func ReadFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.IsDir() {
		return nil, &fs.PathError{Op: "read", Path: name, Err: errors.New("is a directory")}
	}
	return io.ReadAll(io.LimitReader(f, tomldoc.MaxFile+1))
}

// Write puts files into a directory of their own: all of them, and nothing else. They are written beside it first, and
// the two directories change places in one step; whatever fails before, a full or a read-only disk, leaves the old set
// whole. A directory that holds anything which Write has not written is refused.
func Write(out string, files []catalogue.Output) error { return write(out, files, create) }

// create makes a file that has not been there.
func create(name string) (file, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
}

// file is what write needs of one.
type file interface {
	io.WriteCloser
	Sync() error
}

func write(out string, files []catalogue.Output, create func(string) (file, error)) (err error) {
	out = filepath.Clean(out)
	if target, err := filepath.EvalSymlinks(out); err == nil {
		out = target // a link stays, and what it leads to changes
	}
	if err := own(out); err != nil {
		return err
	}
	parent := filepath.Dir(out)
	if err := os.MkdirAll(parent, 0o755); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	fresh, err := os.MkdirTemp(parent, "."+filepath.Base(out)+".new-")
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	defer func() {
		if e := os.RemoveAll(fresh); err == nil && e != nil {
			err = fmt.Errorf("the new files hold, the old ones in %s could not be removed: %w", fresh, e)
		}
	}()
	if err := os.Chmod(fresh, 0o755); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	for _, f := range append(slices.Clone(files), catalogue.Output{Name: Marker, Data: []byte("Written by fernctl as a whole. Change the catalogue, not these files.\n")}) {
		if err := put(filepath.Join(fresh, f.Name), f.Data, create); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	if err := syncDir(fresh); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := swap(fresh, out); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return syncDir(parent)
}

// own tells whether a directory is one that Write has written, or empty, or not there.
func own(out string) error {
	entries, err := os.ReadDir(out)
	if errors.Is(err, fs.ErrNotExist) || err == nil && len(entries) == 0 {
		return nil
	}
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	marked := false
	for _, e := range entries {
		if e.Name() == Marker {
			marked = true
		} else if !strings.HasSuffix(e.Name(), ".toml") || e.IsDir() {
			return fmt.Errorf("write: %s holds %s, which fernctl has not written: a directory of its own expected", out, e.Name())
		}
	}
	if !marked {
		return fmt.Errorf("write: %s holds files that fernctl has not written: a directory of its own expected", out)
	}
	return nil
}

func put(name string, data []byte, create func(string) (file, error)) (err error) {
	f, err := create(name)
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}

func syncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Replace puts other bytes into a file, in one step.
func Replace(name string, data []byte) error {
	info, err := os.Stat(name)
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if target, err := filepath.EvalSymlinks(name); err == nil {
		name = target
	}
	return durable.WriteFile(name, data, info.Mode().Perm(), true)
}
