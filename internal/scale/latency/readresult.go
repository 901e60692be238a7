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

// ResultError reports an invalid result file.
type ResultError struct {
	File    string
	Line    int    // from 1; 0 means unknown
	Field   string // path of the field; empty means unknown
	Problem string // the value found and the values allowed
}

// Error returns file, line, field and problem on one line.
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

// ReadResult decodes and validates a result file. The error is a *ResultError for the first problem.
func ReadResult(name string, data []byte) (*Result, error) {
	if len(data) > MaxResultBytes {
		return nil, &ResultError{
			File:    name,
			Problem: fmt.Sprintf("file of %d bytes exceeds the limit of %d", len(data), MaxResultBytes),
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
			Problem: "unexpected data after the document",
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

// decodeError returns an error of the decoder with its line and field.
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
			Problem: fmt.Sprintf("got %s, want %s", kind.Value, kind.Type),
		}
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return &ResultError{
			File:    name,
			Line:    lineOfName(data, m[1]),
			Field:   m[1],
			Problem: fmt.Sprintf("unknown field in format %d", Format),
		}
	}
	return &ResultError{File: name, Problem: strings.ReplaceAll(err.Error(), "\n", " ")}
}

// lineAt returns the line, from 1, of a byte offset.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(max(offset, 0), int64(len(data)))], []byte("\n"))
}
