package result

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Limits of a result file.
const (
	MaxFileBytes = 4 << 20 // bytes
	MaxPoints    = 64
	MaxRounds    = 32 // per point
	MaxProxies   = 1_000_000
	MaxValue     = 1e15 // any number in the file
	maxDepth     = 16   // nesting of the document
)

// FileError reports an invalid result file. Its text is one line.
type FileError struct {
	File string
	Line int   // from 1; 0 means unknown
	Err  error // a *FieldError if a single field is invalid
}

// Error returns the file, the line and the cause.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
}

// Unwrap returns the cause without its position.
func (e *FileError) Unwrap() error { return e.Err }

// FieldError reports an invalid field.
type FieldError struct {
	Field string // path of the field, such as "points[2].size.proxies"
	Err   error  // the value found and the values allowed
}

// Error returns the field and the cause.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause without the field.
func (e *FieldError) Unwrap() error { return e.Err }

// Read decodes and validates a result file. It rejects unknown fields. The error is a *FileError.
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
		// The error of a missing field has the position of the document.
		return nil, &FileError{File: name, Line: max(1, line), Err: err}
	}
	return r, nil
}

// Write writes a result file that Read accepts. If Read would reject the file, Write writes nothing
// and returns an error that wraps a *FieldError.
func Write(w io.Writer, r *Result) error {
	if err := r.validate(); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
