package dir

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"fernlanding/internal/tomldoc"
)

// version is the metadata of a file that an edit changes. The zero version, which matches no file,
// stands for a file that was edited while being read.
type version struct {
	size     int64
	modified time.Time
	info     fs.FileInfo // identity of the file, for os.SameFile
}

// matches reports whether a file on the disk has the version.
func (v version) matches(info fs.FileInfo) bool {
	if v.info == nil {
		return false
	}
	return info.Size() == v.size && info.ModTime().Equal(v.modified) && os.SameFile(info, v.info)
}

// readFile reads a file up to one byte beyond tomldoc.MaxFile, and records its version.
func (l *loader) readFile(name string) ([]byte, error) {
	f, err := l.root.Open(filepath.FromSlash(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file is only read
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &fs.PathError{Op: "open", Path: name, Err: errors.New("not a regular file")}
	}
	l.versions[name] = version{size: info.Size(), modified: info.ModTime(), info: info}
	data, err := io.ReadAll(io.LimitReader(f, tomldoc.MaxFile+1))
	if err == nil && int64(len(data)) != info.Size() && len(data) <= tomldoc.MaxFile {
		l.versions[name] = version{} // edited while being read
	}
	return data, err
}

// unchanged reports whether the directory still lists the same files and all files still have the
// versions that were read.
func (l *loader) unchanged() (bool, error) {
	if l.isDirectory {
		names, err := l.list()
		if err != nil || !slices.Equal(names, l.names) {
			return false, err
		}
	}
	for name, v := range l.versions {
		info, err := l.root.Stat(filepath.FromSlash(name))
		if errors.Is(err, fs.ErrNotExist) {
			return false, nil
		}
		if err != nil {
			return false, fmt.Errorf("catalogue: %w", err)
		}
		if !v.matches(info) {
			return false, nil
		}
	}
	return true, nil
}
