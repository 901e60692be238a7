// Package dir reads catalogues from the disk and writes the generated files. A set of generated
// files is written completely or not at all.
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

// maxReads is the limit of reads of a catalogue that is edited during each read.
const maxReads = 3

// ErrChanged is returned by Load for a catalogue that was edited during each read.
var ErrChanged = errors.New("catalogue changed while being read")

// outsideText is the diagnostic text for an include that leads out of the catalogue's directory.
const outsideText = "file is outside of the catalogue's directory"

// Load reads a catalogue and the files that it includes. The catalogue is a file, or all files of a
// directory whose names end with .toml. Load reads no file outside of the directory, even through
// symbolic links. If the catalogue is edited during the read, Load reads all files again, so that
// the returned files existed on the disk at the same time. It returns ErrChanged if the catalogue
// is edited during each read. The diagnostics are those of the includes, not of the files' content.
func Load(name string) ([]catalogue.File, tomldoc.Diagnostics, error) {
	return load(name, func() {})
}

// load implements Load. It calls afterRead when all files have been read, before it checks for
// edits.
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
			return l.files, l.diagnostics, nil
		}
	}
	return nil, nil, fmt.Errorf("%s: %w in each of %d attempts", name, ErrChanged, maxReads)
}

// loader is the state of one read of a catalogue.
type loader struct {
	root        *os.Root
	isDirectory bool
	names       []string // root files: the listed files of the directory, or the single file
	files       []catalogue.File
	versions    map[string]version // versions of all opened files, keyed by name
	size        int                // total size of all files in bytes
	diagnostics tomldoc.Diagnostics
	including   []string // files whose includes are being read, outermost first
}

// readAll reads a catalogue once. The caller must close the returned loader.
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
	_ = l.root.Close() // the directory is only read
}

// readNames reads the root files and the files that they include.
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

// list returns the sorted names of the catalogue's files in the directory.
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

// reportInclude adds a diagnostic for an include.
func (l *loader) reportInclude(rule rules.ID, at tomldoc.Place, name, expect string) {
	l.diagnostics = append(l.diagnostics, tomldoc.Diagnostic{
		Place: at, Rule: rule, Field: "include", Found: fmt.Sprintf("%q", tomldoc.Truncate(name)), Expect: expect,
	})
}

// read reads a file and the files that it includes, unless the file has been read before. at is the
// place of the include; its Line is 0 for a root file.
func (l *loader) read(name string, at tomldoc.Place) error {
	if slices.Contains(l.including, name) {
		l.reportInclude(rules.IncludeLoop, at, name,
			"include cycle: "+strings.Join(append(l.including, name), " -> "))
		return nil
	}
	if _, isRead := l.versions[name]; isRead {
		return nil
	}
	if len(l.including) > catalogue.MaxIncludeDepth {
		l.reportInclude(rules.IncludeLoop, at, name,
			fmt.Sprintf("include depth exceeds the limit of %d", catalogue.MaxIncludeDepth))
		return nil
	}
	if len(l.files) >= catalogue.MaxFiles {
		return fmt.Errorf("catalogue: number of files exceeds the limit of %d", catalogue.MaxFiles)
	}
	data, err := l.readFile(name)
	if err != nil {
		return l.reportUnreadable(name, at, err)
	}
	l.size += len(data)
	if l.size > catalogue.MaxBytes {
		return fmt.Errorf("catalogue: size of %d bytes exceeds the limit of %d", l.size, catalogue.MaxBytes)
	}
	file := catalogue.File{Name: name, Data: data}
	l.files = append(l.files, file)
	return l.readIncludes(file)
}

// reportUnreadable reports an include that cannot be read. For a root file it returns the error.
func (l *loader) reportUnreadable(name string, at tomldoc.Place, err error) error {
	switch {
	case escapesRoot(err):
		l.reportInclude(rules.IncludeOutside, at, name, outsideText)
		return nil
	case at.Line > 0:
		l.reportInclude(rules.IncludeMissing, at, name, errorReason(err))
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
			l.reportInclude(rules.IncludeOutside, places[i], name, outsideText)
			continue
		}
		if err := l.read(joined, places[i]); err != nil {
			return err
		}
	}
	return nil
}

// escapesRoot reports whether a file could not be opened because its name, or a symbolic link on
// its path, leads out of the root. Package os has no error value for this case.
func escapesRoot(err error) bool {
	return err != nil && strings.Contains(err.Error(), "path escapes from parent")
}

// errorReason returns the text of a file system error without the operation and the path.
func errorReason(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}
