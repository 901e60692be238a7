package latency

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// lineOfField returns the line of the field of a path such as cases[0].hops in a JSON text, or else
// that of its nearest parent; 0 where neither is there.
func lineOfField(data []byte, path string) int {
	lines := fieldLines(data)
	for path != "" {
		if line, ok := lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// lineOfName returns the first line on which a field has a name; 0 where none does.
func lineOfName(data []byte, name string) int {
	first := 0
	for path, line := range fieldLines(data) {
		if (path == name || strings.HasSuffix(path, "."+name)) && (first == 0 || line < first) {
			first = line
		}
	}
	return first
}

// fieldLines are the lines of all fields of a JSON text, by their paths, up to where it makes no
// sense.
func fieldLines(data []byte) map[string]int {
	w := &walker{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), lines: map[string]int{}}
	w.value("")
	return w.lines
}

// maxDepth bounds the nesting that is walked; no field of a result is deeper.
const maxDepth = 16

// walker walks over the tokens of a JSON text.
type walker struct {
	data    []byte
	decoder *json.Decoder
	lines   map[string]int
	depth   int
	counted int64 // bytes whose newlines are counted in passed
	passed  int
}

// line returns the line of the last token.
func (w *walker) line() int {
	at := min(w.decoder.InputOffset(), int64(len(w.data)))
	w.passed += bytes.Count(w.data[w.counted:at], []byte("\n"))
	w.counted = at
	return 1 + w.passed
}

// value consumes a value and reports whether it is complete.
func (w *walker) value(path string) bool {
	if w.depth == maxDepth {
		return false
	}
	w.depth++
	defer func() { w.depth-- }()
	token, err := w.decoder.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		return w.fields(path)
	case json.Delim('['):
		return w.items(path)
	}
	return true
}

// fields consumes the rest of an object.
func (w *walker) fields(path string) bool {
	for w.decoder.More() {
		name, err := w.decoder.Token()
		if err != nil {
			return false
		}
		field := fmt.Sprint(name)
		if path != "" {
			field = path + "." + field
		}
		if _, seen := w.lines[field]; !seen {
			w.lines[field] = w.line()
		}
		if !w.value(field) {
			return false
		}
	}
	_, err := w.decoder.Token()
	return err == nil
}

// items consumes the rest of an array.
func (w *walker) items(path string) bool {
	for i := 0; w.decoder.More(); i++ {
		item := fmt.Sprintf("%s[%d]", path, i)
		if !w.value(item) {
			return false
		}
	}
	_, err := w.decoder.Token()
	return err == nil
}
