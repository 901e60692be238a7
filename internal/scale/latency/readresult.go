package latency

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// ResultError is a fault of a result file.
type ResultError struct {
	File    string
	Line    int    // from 1; 0: unknown
	Field   string // path of the field; empty: unknown
	Problem string // what was found and what is expected
}

// Error returns file, line, field and fault on one line.
func (e *ResultError) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", position, e.Line)
	}
	if e.Field != "" {
		position += ": " + e.Field
	}
	return position + ": " + e.Problem
}

// ReadResult reads a result from a file's bytes. Its error is a *ResultError, of the first fault.
func ReadResult(name string, data []byte) (*Result, error) {
	if len(data) > MaxResultBytes {
		return nil, &ResultError{
			File:    name,
			Problem: fmt.Sprintf("%d bytes found, %d at most expected", len(data), MaxResultBytes),
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var r Result
	if err := decoder.Decode(&r); err != nil {
		return nil, decodeError(name, data, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &ResultError{
			File:    name,
			Line:    lineAt(data, decoder.InputOffset()),
			Problem: "more than one value found, the end of the file expected",
		}
	}
	if e := r.validate(); e != nil {
		e.File = name
		e.Line = lineOfField(data, e.Field)
		return nil, e
	}
	return &r, nil
}

var unknownField = regexp.MustCompile(`^json: unknown field "(.*)"$`)

// decodeError returns a decoder's error with its line and field.
func decodeError(name string, data []byte, err error) *ResultError {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return &ResultError{File: name, Line: lineAt(data, syntax.Offset), Problem: err.Error()}
	case errors.As(err, &kind):
		return &ResultError{
			File:    name,
			Line:    lineAt(data, kind.Offset),
			Field:   kind.Field,
			Problem: fmt.Sprintf("%s found, %s expected", kind.Value, kind.Type),
		}
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return &ResultError{
			File:    name,
			Line:    lineOfName(data, m[1]),
			Field:   m[1],
			Problem: fmt.Sprintf("unknown field, one of format %d expected", Format),
		}
	}
	return &ResultError{File: name, Problem: strings.ReplaceAll(err.Error(), "\n", " ")}
}

// lineAt returns the line of an offset, from 1.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), int64(len(data)))], []byte("\n"))
}
