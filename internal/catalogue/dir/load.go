// Package dir reads catalogues from a disk and writes what is generated from them, as a whole or not at all.
package dir

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

const mostTries = 3 // readings of a catalogue that changes meanwhile

// ErrChanged is the error of a catalogue that was edited each time while it was read.
var ErrChanged = errors.New("changed while it was read")

// Load reads a catalogue: one file, or all files of a directory that end with .toml, and what they include. Nothing
// outside of the directory is read, through links neither. Files that were edited while others were read are read again,
// so that what is returned has stood on the disk at one time; ErrChanged if it never held still. Faults are those that
// were found on the way to the files, not in them.
func Load(name string) ([]catalogue.File, tomldoc.Diagnostics, error) { return load(name, func() {}) }

// load calls read when all files have been read; a test edits them there.
func load(name string, read func()) ([]catalogue.File, tomldoc.Diagnostics, error) {
	for range mostTries {
		l := &loader{at: map[string]state{}}
		err := l.load(name)
		if err != nil {
			return nil, nil, err
		}
		read()
		same, err := l.unchanged()
		l.root.Close()
		if err != nil {
			return nil, nil, err
		}
		if same {
			return l.files, l.faults, nil
		}
	}
	return nil, nil, fmt.Errorf("%s: %w %d times", name, ErrChanged, mostTries)
}

// state is what tells that a file has not been edited.
type state struct {
	size int64
	time time.Time
	info fs.FileInfo
}

type loader struct {
	root   *os.Root
	dir    bool
	names  []string // that the directory lists
	files  []catalogue.File
	at     map[string]state
	bytes  int
	faults tomldoc.Diagnostics
	onWay  []string // of includes
}

func (l *loader) load(name string) error {
	info, err := os.Stat(name)
	if err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	l.dir = info.IsDir()
	in := name
	if !l.dir {
		in = filepath.Dir(name)
	}
	if l.root, err = os.OpenRoot(in); err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	if l.dir {
		if l.names, err = l.list(); err != nil {
			l.root.Close()
			return err
		}
	} else {
		l.names = []string{filepath.Base(name)}
	}
	for _, n := range l.names {
		if err := l.read(n, tomldoc.Place{File: n}); err != nil {
			l.root.Close()
			return err
		}
	}
	return nil
}

func (l *loader) list() (names []string, err error) {
	entries, err := fs.ReadDir(l.root.FS(), ".")
	if err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	for _, e := range entries {
		if !e.IsDir() && strings.HasSuffix(e.Name(), ".toml") && !strings.HasPrefix(e.Name(), ".") {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (l *loader) fault(rule rules.ID, at tomldoc.Place, found, expect string) {
	l.faults = append(l.faults, tomldoc.Diagnostic{Place: at, Rule: rule, Field: "include", Found: found, Expect: expect})
}

// read reads a file and what it includes. from is where it is named.
func (l *loader) read(name string, from tomldoc.Place) error {
	if slices.Contains(l.onWay, name) {
		l.fault(rules.IncludeLoop, from, fmt.Sprintf("%q", tomldoc.Clip(name)), "a circle: "+strings.Join(append(l.onWay, name), " -> "))
		return nil
	}
	if _, known := l.at[name]; known {
		return nil
	}
	if len(l.onWay) > catalogue.MaxInclude {
		l.fault(rules.IncludeLoop, from, fmt.Sprintf("%q", tomldoc.Clip(name)), fmt.Sprintf("%d files below each other at most", catalogue.MaxInclude))
		return nil
	}
	if len(l.files) >= catalogue.MaxFiles {
		return fmt.Errorf("catalogue: over %d files", catalogue.MaxFiles)
	}
	data, err := l.content(name)
	switch {
	case escapes(err):
		l.fault(rules.IncludeOutside, from, fmt.Sprintf("%q", tomldoc.Clip(name)), "a file in the catalogue's directory expected")
		return nil
	case err != nil && from.Line > 0:
		l.fault(rules.IncludeMissing, from, fmt.Sprintf("%q", tomldoc.Clip(name)), plain(err))
		return nil
	case err != nil:
		return fmt.Errorf("catalogue: %w", err)
	}
	if l.bytes += len(data); l.bytes > catalogue.MaxBytes {
		return fmt.Errorf("catalogue: over %d bytes", catalogue.MaxBytes)
	}
	f := catalogue.File{Name: name, Data: data}
	l.files = append(l.files, f)
	l.onWay = append(l.onWay, name)
	defer func() { l.onWay = l.onWay[:len(l.onWay)-1] }()
	names, at := catalogue.Includes(f)
	for i, n := range names {
		inner := path.Join(path.Dir(name), n)
		if path.IsAbs(n) || strings.Contains(n, `\`) || inner == ".." || strings.HasPrefix(inner, "../") {
			l.fault(rules.IncludeOutside, at[i], fmt.Sprintf("%q", tomldoc.Clip(n)), "a file in the catalogue's directory expected")
			continue
		}
		if err := l.read(inner, at[i]); err != nil {
			return err
		}
	}
	return nil
}

// escapes tells whether a name, or a link on its way, leads out of the root.
func escapes(err error) bool {
	return err != nil && strings.Contains(err.Error(), "path escapes from parent")
}

// plain is the cause of a file system's error.
func plain(err error) string {
	var pe *fs.PathError
	if errors.As(err, &pe) {
		return pe.Err.Error()
	}
	return err.Error()
}

func (l *loader) content(name string) ([]byte, error) {
	f, err := l.root.Open(filepath.FromSlash(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &fs.PathError{Op: "open", Path: name, Err: errors.New("not a regular file")}
	}
	l.at[name] = state{info.Size(), info.ModTime(), info}
	data, err := io.ReadAll(io.LimitReader(f, tomldoc.MaxFile+1))
	if err == nil && int64(len(data)) != info.Size() && len(data) <= tomldoc.MaxFile {
		l.at[name] = state{} // was edited while it was read
	}
	return data, err
}

// unchanged tells whether all files are still what was read.
func (l *loader) unchanged() (bool, error) {
	if l.dir {
		names, err := l.list()
		if err != nil || !slices.Equal(names, l.names) {
			return false, err
		}
	}
	for name, s := range l.at {
		info, err := l.root.Stat(filepath.FromSlash(name))
		if errors.Is(err, fs.ErrNotExist) {
			return false, nil
		}
		if err != nil {
			return false, fmt.Errorf("catalogue: %w", err)
		}
		if s.info == nil || info.Size() != s.size || !info.ModTime().Equal(s.time) || !os.SameFile(info, s.info) {
			return false, nil
		}
	}
	return true, nil
}
