// Package dir reads catalogues from a disk and writes what is generated from them, completely or
// not at all.
package dir

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"fernlanding/internal/catalogue"
	"fernlanding/internal/rules"
	"fernlanding/internal/tomldoc"
)

// maxReads bounds how often a catalogue is read while it changes.
const maxReads = 3

// ErrChanged is returned by Load for a catalogue that was edited during each read.
var ErrChanged = errors.New("changed while it was read")

// Load reads a catalogue: one file, or all files of a directory that end with .toml, and what they
// include. It reads nothing outside of the directory, not through links either. If a file was
// edited while others were read, all are read again, so that the returned files were on the disk at
// one time; ErrChanged if each read found an edit. The diagnostics are those of the includes, not
// of the files' content.
func Load(name string) ([]catalogue.File, tomldoc.Diagnostics, error) {
	return load(name, func() {})
}

// load is Load; it calls afterRead when all files have been read, before it looks for edits.
func load(name string, afterRead func()) ([]catalogue.File, tomldoc.Diagnostics, error) {
	for range maxReads {
		l, err := readAll(name)
		if err != nil {
			return nil, nil, err
		}
		afterRead()
		same, err := l.unchanged()
		l.close()
		if err != nil {
			return nil, nil, err
		}
		if same {
			return l.files, l.faults, nil
		}
	}
	return nil, nil, fmt.Errorf("%s: %w %d times", name, ErrChanged, maxReads)
}

// loader is one read of a catalogue.
type loader struct {
	root        *os.Root
	isDirectory bool
	names       []string // the files to begin with: those that the directory lists, or the one file
	files       []catalogue.File
	versions    map[string]version // of all files that were opened
	size        int                // of all files, in bytes
	faults      tomldoc.Diagnostics
	including   []string // the files whose includes are being read, outermost first
}

// readAll reads a catalogue once. The loader has to be closed unless there is an error.
func readAll(name string) (*loader, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	l := &loader{isDirectory: info.IsDir(), versions: map[string]version{}}
	directory := name
	if !l.isDirectory {
		directory = filepath.Dir(name)
		l.names = []string{filepath.Base(name)}
	}
	l.root, err = os.OpenRoot(directory)
	if err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	if err := l.readNames(); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// close closes the directory.
func (l *loader) close() {
	_ = l.root.Close() // it was only read from
}

// readNames reads the files to begin with and what they include.
func (l *loader) readNames() error {
	if l.isDirectory {
		names, err := l.list()
		if err != nil {
			return err
		}
		l.names = names
	}
	for _, name := range l.names {
		if err := l.read(name, tomldoc.Place{File: name}); err != nil {
			return err
		}
	}
	return nil
}

// list returns the catalogue's files in the directory, in order.
func (l *loader) list() ([]string, error) {
	entries, err := fs.ReadDir(l.root.FS(), ".")
	if err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	var names []string
	for _, e := range entries {
		isHidden := strings.HasPrefix(e.Name(), ".")
		if !e.IsDir() && !isHidden && strings.HasSuffix(e.Name(), ".toml") {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// reportInclude adds a diagnostic of an include.
func (l *loader) reportInclude(rule rules.ID, at tomldoc.Place, name, expect string) {
	l.faults = append(l.faults, tomldoc.Diagnostic{
		Place: at, Rule: rule, Field: "include", Found: fmt.Sprintf("%q", tomldoc.Truncate(name)), Expect: expect,
	})
}

// read reads a file and what it includes, unless it has been read already. at is where it is
// included; its Line is 0 for a file to begin with.
func (l *loader) read(name string, at tomldoc.Place) error {
	if slices.Contains(l.including, name) {
		l.reportInclude(rules.IncludeLoop, at, name, "a circle: "+strings.Join(append(l.including, name), " -> "))
		return nil
	}
	if _, isRead := l.versions[name]; isRead {
		return nil
	}
	if len(l.including) > catalogue.MaxIncludeDepth {
		l.reportInclude(rules.IncludeLoop, at, name,
			fmt.Sprintf("%d files below each other at most", catalogue.MaxIncludeDepth))
		return nil
	}
	if len(l.files) >= catalogue.MaxFiles {
		return fmt.Errorf("catalogue: over %d files", catalogue.MaxFiles)
	}
	data, err := l.readFile(name)
	if err != nil {
		return l.reportUnreadable(name, at, err)
	}
	l.size += len(data)
	if l.size > catalogue.MaxBytes {
		return fmt.Errorf("catalogue: over %d bytes", catalogue.MaxBytes)
	}
	file := catalogue.File{Name: name, Data: data}
	l.files = append(l.files, file)
	return l.readIncludes(file)
}

// reportUnreadable reports an include that cannot be read; for a file to begin with it returns the
// error.
func (l *loader) reportUnreadable(name string, at tomldoc.Place, err error) error {
	switch {
	case escapesRoot(err):
		l.reportInclude(rules.IncludeOutside, at, name, "a file in the catalogue's directory expected")
		return nil
	case at.Line > 0:
		l.reportInclude(rules.IncludeMissing, at, name, cause(err))
		return nil
	default:
		return fmt.Errorf("catalogue: %w", err)
	}
}

// readIncludes reads the files that a file includes.
func (l *loader) readIncludes(file catalogue.File) error {
	l.including = append(l.including, file.Name)
	defer func() { l.including = l.including[:len(l.including)-1] }()
	names, places := catalogue.Includes(file)
	for i, name := range names {
		joined := path.Join(path.Dir(file.Name), name)
		isOutside := joined == ".." || strings.HasPrefix(joined, "../")
		if path.IsAbs(name) || strings.Contains(name, `\`) || isOutside {
			l.reportInclude(rules.IncludeOutside, places[i], name, "a file in the catalogue's directory expected")
			continue
		}
		if err := l.read(joined, places[i]); err != nil {
			return err
		}
	}
	return nil
}

// escapesRoot reports whether a file could not be opened since its name, or a link on its path,
// leads out of the root. Package os has no error value for this.
func escapesRoot(err error) bool {
	return err != nil && strings.Contains(err.Error(), "path escapes from parent")
}

// cause returns the text of a file system's error without the operation and the path.
func cause(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}
