package dir

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"fernlanding/internal/config"
	"fernlanding/internal/durable"
	"fernlanding/internal/tomldoc"
)

// ReadDeployed decodes the files of a directory that Write has written. It returns no documents if
// the directory does not exist.
func ReadDeployed(directory string) ([]*config.Document, error) {
	entries, err := os.ReadDir(directory)
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
		data, err := ReadFile(filepath.Join(directory, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("deployed: %w", err)
		}
		docs = append(docs, config.Read(e.Name(), data))
	}
	return docs, nil
}

// ReadFile reads a file up to one byte beyond tomldoc.MaxFile, so that the decoder can report a
// file that is too large.
func ReadFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file is only read
	if info, err := f.Stat(); err == nil && info.IsDir() {
		return nil, &fs.PathError{Op: "read", Path: name, Err: errors.New("is a directory")}
	}
	return io.ReadAll(io.LimitReader(f, tomldoc.MaxFile+1))
}

// ReplaceFile replaces the content of a file atomically and keeps its mode. If the file is a
// symbolic link, the target of the link is replaced.
func ReplaceFile(name string, data []byte) error {
	info, err := os.Stat(name)
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if target, err := filepath.EvalSymlinks(name); err == nil {
		name = target
	}
	return durable.WriteFile(name, data, info.Mode().Perm(), true)
}
