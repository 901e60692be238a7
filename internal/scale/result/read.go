package result

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Bounds of a result file.
const (
	MaxFileBytes = 4 << 20 // bytes
	MaxPoints    = 64
	MaxRounds    = 32 // of a point
	MaxProxies   = 1_000_000
	MaxValue     = 1e15 // of any number in a file
	maxDepth     = 16   // of a document's nesting
)

// FileError is a fault of a result file. Its text is one line.
type FileError struct {
	File string
	Line int   // from 1; 0 where it is unknown
	Err  error // a *FieldError where the fault is that of a field
}

// Error returns the file, the line and the fault.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
}

// Unwrap returns the fault without its position.
func (e *FileError) Unwrap() error { return e.Err }

// FieldError is a fault of one field: what was found and what is expected.
type FieldError struct {
	Field string // its path, such as "points[2].size.proxies"
	Err   error
}

// Error returns the field and its fault.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the fault without the field.
func (e *FieldError) Unwrap() error { return e.Err }

// Read reads a result file strictly. The error is a *FileError.
func Read(name string, data []byte) (*Result, error) {
	r := &Result{}
	lines, err := decode(name, data, r)
	if err != nil {
		return nil, err
	}
	if err := r.validate(); err != nil {
		line := 0
		var field *FieldError
		if errors.As(err, &field) {
			line = lines[field.Field]
		}
		// A field that the document lacks is a fault of the document as a whole.
		return nil, &FileError{File: name, Line: max(1, line), Err: err}
	}
	return r, nil
}

// Write writes a result file that Read accepts. It returns an error that wraps a *FieldError, and
// writes nothing, where Read would reject the file.
func Write(w io.Writer, r *Result) error {
	if err := r.validate(); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
