// Package record keeps the recent starts of a replica in a directory that outlives the process.
// With it, a replica that repeatedly exits right after its start can detect this and back off. A
// file that can't be read counts as empty, so a record never prevents a replica from starting.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"fernlanding/internal/durable"
)

const (
	fileName      = "starts.json"
	formatVersion = 1

	// StableAfter is the run time after which a replica's starts are cleared.
	StableAfter = 2 * time.Minute
	// window is how long a start counts as recent.
	window = 10 * time.Minute

	maxFileBytes = 4 << 10
	maxStarts    = 32 // the latest are kept
)

// state is the contents of the file.
type state struct {
	Version int     `json:"version"`
	Starts  []int64 `json:"starts"` // Unix time in milliseconds, in order
}

// Record is the record of starts in a directory. It is not safe for concurrent use.
type Record struct{ dir string }

// Open returns the record in a directory. The first write creates the directory if it does not
// exist.
func Open(dir string) *Record { return &Record{dir: dir} }

// RecordStart records a start. It returns the number of recent starts before this one since the
// last Clear. An error reports what could not be read or written; the count then covers only the
// starts that were read.
func (r *Record) RecordStart(now time.Time) (recentStarts int, err error) {
	previous, readErr := r.read()
	var starts []int64
	for _, at := range previous {
		// A start in the future is left over from a clock that has stepped back.
		if age := now.Sub(time.UnixMilli(at)); age >= 0 && age < window {
			starts = append(starts, at)
		}
	}
	recentStarts = len(starts)
	starts = append(starts, now.UnixMilli())
	if len(starts) > maxStarts {
		starts = starts[len(starts)-maxStarts:]
	}
	return recentStarts, errors.Join(readErr, r.write(starts))
}

// Clear removes all starts, because this process runs stably.
func (r *Record) Clear() error { return r.write(nil) }

// read returns the recorded starts, or none if there is no file.
func (r *Record) read() ([]int64, error) {
	data, err := durable.ReadFile(r.path(), maxFileBytes)
	if err != nil {
		return nil, fmt.Errorf("start record: %w", err)
	}
	if data == nil {
		return nil, nil
	}
	starts, err := parse(data)
	if err != nil {
		return nil, fmt.Errorf("start record: %s: %w", r.path(), err)
	}
	return starts, nil
}

func (r *Record) path() string { return filepath.Join(r.dir, fileName) }

// parse decodes the contents of the file.
func parse(data []byte) ([]int64, error) {
	var s state
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("malformed file: %w", err)
	}
	if s.Version != formatVersion {
		return nil, fmt.Errorf("unsupported version %d, want %d", s.Version, formatVersion)
	}
	if len(s.Starts) > maxStarts {
		return nil, fmt.Errorf("%d starts exceed the limit of %d", len(s.Starts), maxStarts)
	}
	return s.Starts, nil
}

// write replaces the file atomically.
func (r *Record) write(starts []int64) error {
	if err := r.replace(starts); err != nil {
		return fmt.Errorf("start record: %w", err)
	}
	return nil
}

func (r *Record) replace(starts []int64) error {
	data, err := json.Marshal(state{Version: formatVersion, Starts: starts})
	if err != nil {
		return err
	}
	if err := os.MkdirAll(r.dir, 0o700); err != nil {
		return err
	}
	// Without a sync: the record must only outlive the process, and with a sync hundreds of
	// replicas that start together would wait for the disk.
	return durable.WriteFile(r.path(), data, 0o600, false)
}
