package result

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

var (
	errUnknownField = errors.New("unknown field")
	errRepeated     = errors.New("stands twice, once expected")
	errTooDeep      = fmt.Errorf("deeper than %d levels", maxDepth)
	errTruncated    = errors.New("the document ends early")
	errTrailing     = errors.New("something behind the document's end, nothing expected")
)

// fieldLines are the lines on which the fields of a file stand, by their paths such as
// "points[2].size.proxies".
type fieldLines map[string]int

// decode reads a JSON document into v, a pointer to a struct. It rejects, with a *FileError, fields
// that the struct lacks, repeated fields, and anything that follows the document: encoding/json
// alone accepts the latter two.
func decode(name string, data []byte, v any) (fieldLines, error) {
	if len(data) > MaxFileBytes {
		return nil, &FileError{File: name, Err: fmt.Errorf("%d bytes, at most %d expected", len(data), MaxFileBytes)}
	}
	w := walker{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), lines: fieldLines{}}
	if err := w.walk("", reflect.TypeOf(v).Elem()); err != nil {
		return nil, &FileError{File: name, Line: w.line(w.decoder.InputOffset()), Err: err}
	}
	if _, err := w.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &FileError{File: name, Line: w.line(w.decoder.InputOffset()), Err: errTrailing}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, w.unmarshalError(name, err)
	}
	return w.lines, nil
}

// walker goes through a document side by side with the type that the document is decoded to.
type walker struct {
	data    []byte
	decoder *json.Decoder
	lines   fieldLines
	depth   int
}

// line returns the line of a byte's offset, from 1.
func (w *walker) line(offset int64) int {
	return 1 + bytes.Count(w.data[:min(offset, int64(len(w.data)))], []byte("\n"))
}

// walk consumes one value of type t. A value of another type is left to json.Unmarshal, which names
// both types.
func (w *walker) walk(path string, t reflect.Type) error {
	token, err := w.decoder.Token()
	if err != nil {
		return syntaxError(err)
	}
	w.lines[path] = w.line(w.decoder.InputOffset())
	w.depth++
	defer func() { w.depth-- }()
	if w.depth > maxDepth {
		return &FieldError{Field: printable(path), Err: errTooDeep}
	}
	switch token {
	case json.Delim('{'):
		return w.walkObject(path, t)
	case json.Delim('['):
		return w.walkArray(path, t)
	}
	return nil
}

func (w *walker) walkObject(path string, t reflect.Type) error {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return syntaxError(err)
		}
		key, _ := token.(string) // always a string: the decoder rejects any other key
		field := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			return &FieldError{Field: printable(field), Err: errRepeated}
		}
		seen[key] = true
		inner, found := fieldType(t, key)
		if !found {
			return &FieldError{Field: printable(field), Err: errUnknownField}
		}
		if err := w.walk(field, inner); err != nil {
			return err
		}
	}
	return w.walkEnd()
}

func (w *walker) walkArray(path string, t reflect.Type) error {
	var element reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.walk(path+"["+strconv.Itoa(i)+"]", element); err != nil {
			return err
		}
	}
	return w.walkEnd()
}

// walkEnd consumes the closing brace or bracket.
func (w *walker) walkEnd() error {
	if _, err := w.decoder.Token(); err != nil {
		return syntaxError(err)
	}
	return nil
}

// fieldType returns the type of a struct's field by its JSON key. Every key is accepted for a type
// that is no struct: json.Unmarshal rejects the object.
func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
	if t == nil || t.Kind() != reflect.Struct {
		return nil, true
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == key {
			return f.Type, true
		}
	}
	return nil, false
}

// syntaxError returns a decoder's error on one line.
func syntaxError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncated
	}
	return errors.New(oneLine(err.Error()))
}

// unmarshalError returns json.Unmarshal's error with its line and field.
func (w *walker) unmarshalError(name string, err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return &FileError{File: name, Err: errors.New(oneLine(err.Error()))}
	}
	return &FileError{File: name, Line: w.line(mismatch.Offset), Err: &FieldError{
		Field: printable(mismatch.Field),
		Err:   fmt.Errorf("%s found, %s expected", mismatch.Value, mismatch.Type.Kind()),
	}}
}

// printable returns a field's path for an error: at most 100 characters, on one line.
func printable(path string) string { return oneLine(fmt.Sprintf("%.100s", path)) }

// oneLine returns the text with each control character replaced by a question mark.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}
