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
	errUnknownField   = errors.New("unknown field")
	errDuplicateField = errors.New("duplicate field")
	errTooDeep        = fmt.Errorf("nesting exceeds %d levels", maxDepth)
	errTruncated      = errors.New("unexpected end of document")
	errTrailingData   = errors.New("unexpected data after the document")
)

// fieldLines maps the path of each field, such as "points[2].size.proxies", to its line in the
// file.
type fieldLines map[string]int

// decode reads a JSON document into v, a pointer to a struct. It returns a *FileError for an
// unknown field, a duplicate field, and data after the document. Package encoding/json accepts the
// latter two.
func decode(name string, data []byte, v any) (fieldLines, error) {
	if len(data) > MaxFileBytes {
		err := fmt.Errorf("file of %d bytes exceeds the limit of %d", len(data), MaxFileBytes)
		return nil, &FileError{File: name, Err: err}
	}
	w := walker{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), lines: fieldLines{}}
	if err := w.walk("", reflect.TypeOf(v).Elem()); err != nil {
		return nil, &FileError{File: name, Line: w.line(w.decoder.InputOffset()), Err: err}
	}
	if _, err := w.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &FileError{File: name, Line: w.line(w.decoder.InputOffset()), Err: errTrailingData}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, w.unmarshalError(name, err)
	}
	return w.lines, nil
}

// walker compares the tokens of a document with the type that the document is decoded to.
type walker struct {
	data    []byte
	decoder *json.Decoder
	lines   fieldLines
	depth   int
}

// line returns the line, from 1, of a byte offset.
func (w *walker) line(offset int64) int {
	return 1 + bytes.Count(w.data[:min(offset, int64(len(w.data)))], []byte("\n"))
}

// walk consumes one value of type t. It does not check the types of values: json.Unmarshal does, and
// its error names both types.
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
			return &FieldError{Field: printable(field), Err: errDuplicateField}
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

// fieldType returns the type of the struct field with a JSON key. It accepts every key for a type
// that is not a struct, because json.Unmarshal rejects the object later.
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

// syntaxError returns a decoder's error as one line.
func syntaxError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncated
	}
	return errors.New(oneLine(err.Error()))
}

// unmarshalError returns an error of json.Unmarshal with its line and field.
func (w *walker) unmarshalError(name string, err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return &FileError{File: name, Err: errors.New(oneLine(err.Error()))}
	}
	return &FileError{File: name, Line: w.line(mismatch.Offset), Err: &FieldError{
		Field: printable(mismatch.Field),
		Err:   fmt.Errorf("got %s, want %s", mismatch.Value, mismatch.Type.Kind()),
	}}
}

// printable returns the path of a field for an error message, as one line of at most 100
// characters.
func printable(path string) string { return oneLine(fmt.Sprintf("%.100s", path)) }

// oneLine returns text with each control character replaced by a question mark.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}
