package history

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
)

// Bounds of a history.
const (
	bufferBytes  = 1 << 16
	maxLineBytes = 1 << 20
	maxEvents    = 20_000_000
)

// Writer writes a history. Its methods may be called from any goroutine.
type Writer struct {
	mu      sync.Mutex
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error // the first one
}

// NewWriter returns a Writer. Flush has to follow the last event.
func NewWriter(w io.Writer) *Writer {
	buffer := bufio.NewWriterSize(w, bufferBytes)
	return &Writer{buffer: buffer, encoder: json.NewEncoder(buffer)}
}

// Write writes one event. Flush returns its error.
func (w *Writer) Write(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.encoder.Encode(e)
	}
}

// Flush writes out what is buffered, and returns the first error of the Writer.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.buffer.Flush()
	}
	return w.err
}

// FormatError says that a line of a history is wrong.
type FormatError struct {
	Line    int    // from 1
	Problem string // what was expected there
	Err     error  // of the decoder; may be nil
}

// Error implements error.
func (e *FormatError) Error() string {
	text := fmt.Sprintf("history: line %d: %s expected", e.Line, e.Problem)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the decoder's error.
func (e *FormatError) Unwrap() error { return e.Err }

// Read reads a history and sorts it by time. An error about a line is a FormatError.
func Read(r io.Reader) ([]Event, error) {
	var all []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, bufferBytes), maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		if len(all) == maxEvents {
			return nil, &FormatError{Line: number, Problem: fmt.Sprintf("at most %d events", maxEvents)}
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, &FormatError{Line: number, Problem: "an event", Err: err}
		}
		if e.Kind == "" || e.At < 0 {
			return nil, &FormatError{Line: number, Problem: "an event with kind and at"}
		}
		all = append(all, e)
	}
	err := lines.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return nil, &FormatError{Line: len(all) + 1, Problem: fmt.Sprintf("at most %d bytes", maxLineBytes)}
	}
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	Sort(all)
	return all, nil
}

// Sort sorts events by time. Events of one time keep their order.
func Sort(all []Event) {
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}
