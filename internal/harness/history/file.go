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

// Limits of a history.
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
	err     error // first error
}

// NewWriter returns a Writer of a history to w. The caller has to call Flush after the last event.
func NewWriter(w io.Writer) *Writer {
	buffer := bufio.NewWriterSize(w, bufferBytes)
	return &Writer{buffer: buffer, encoder: json.NewEncoder(buffer)}
}

// Write writes one event. Flush returns the error if the write fails.
func (w *Writer) Write(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.encoder.Encode(e)
	}
}

// Flush writes all buffered events and returns the first error of the Writer.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.buffer.Flush()
	}
	return w.err
}

// FormatError is the error for an invalid line of a history.
type FormatError struct {
	Line    int    // line number, from 1
	Problem string // what is wrong with the line
	Err     error  // error of the decoder; may be nil
}

// Error implements error.
func (e *FormatError) Error() string {
	text := fmt.Sprintf("history: line %d: %s", e.Line, e.Problem)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the decoder's error.
func (e *FormatError) Unwrap() error { return e.Err }

// Read reads a history and sorts it by time. The error for an invalid line is a *FormatError.
func Read(r io.Reader) ([]Event, error) {
	var all []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, bufferBytes), maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		if len(all) == maxEvents {
			return nil, &FormatError{Line: number, Problem: fmt.Sprintf("history exceeds %d events", maxEvents)}
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, &FormatError{Line: number, Problem: "invalid event", Err: err}
		}
		if e.Kind == "" || e.At < 0 {
			return nil, &FormatError{Line: number, Problem: "event without a kind or with a negative time"}
		}
		all = append(all, e)
	}
	err := lines.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return nil, &FormatError{Line: len(all) + 1, Problem: fmt.Sprintf("line exceeds %d bytes", maxLineBytes)}
	}
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	Sort(all)
	return all, nil
}

// Sort sorts events by time. Events of the same time keep their order.
func Sort(all []Event) {
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}
