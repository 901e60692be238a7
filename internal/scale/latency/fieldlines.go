package latency

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// lineOfField returns the line of the field with a path such as cases[0].hops in a JSON text. If the
// field is missing, it returns the line of the nearest parent, or 0 if there is none.
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

// lineOfName returns the line of the first field with a name, or 0 if there is none.
func lineOfName(data []byte, name string) int {
	first := 0
	for path, line := range fieldLines(data) {
		if (path == name || strings.HasSuffix(path, "."+name)) && (first == 0 || line < first) {
			first = line
		}
	}
	return first
}

// fieldLines returns the lines of all fields of a JSON text by their paths, up to the first syntax
// error.
func fieldLines(data []byte) map[string]int {
	w := &walker{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), lines: map[string]int{}}
	w.value("")
	return w.lines
}

// maxDepth is the maximum nesting depth of the walker. No field of a result is nested deeper.
const maxDepth = 16

// walker visits the tokens of a JSON text.
type walker struct {
	data         []byte
	decoder      *json.Decoder
	lines        map[string]int
	depth        int
	countedBytes int64 // bytes whose newlines are counted in passed
	countedLines int
}

// line returns the line of the last token.
func (w *walker) line() int {
	at := min(w.decoder.InputOffset(), int64(len(w.data)))
	w.countedLines += bytes.Count(w.data[w.countedBytes:at], []byte("\n"))
	w.countedBytes = at
	return 1 + w.countedLines
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
