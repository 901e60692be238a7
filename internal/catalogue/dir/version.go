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

// version is what an edit of a file changes. The zero version is that of a file which was edited
// while it was read; it equals none.
type version struct {
	size     int64
	modified time.Time
	info     fs.FileInfo // its identity on the disk
}

// isOf reports whether the version is that of a file on the disk.
func (v version) isOf(info fs.FileInfo) bool {
	if v.info == nil {
		return false
	}
	return info.Size() == v.size && info.ModTime().Equal(v.modified) && os.SameFile(info, v.info)
}

// readFile reads a file and notes its version. Of a file beyond the size of the largest document it
// returns one byte more than that.
func (l *loader) readFile(name string) ([]byte, error) {
	f, err := l.root.Open(filepath.FromSlash(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read from
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
		l.versions[name] = version{} // was edited while it was read
	}
	return data, err
}

// unchanged reports whether the directory lists the same files, and all files are still of the
// version that was read.
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
		if !v.isOf(info) {
			return false, nil
		}
	}
	return true, nil
}
