// Package record keeps what outlives a process of its starts, in a folder that lasts, so that a copy that dies again and
// again right after its start can tell. What can't be read counts as nothing: a record never keeps a copy from starting.
package record

import (
	"encoding/json"
	"errors"
	"fernlanding/internal/durable"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	file    = "starts.json"
	version = 1

	// StableAfter is how long a copy has to live for its starts to be forgotten.
	StableAfter = 2 * time.Minute
	// Window is how long a start is remembered.
	Window = 10 * time.Minute

	maxFile   = 4 << 10 // bytes
	maxStarts = 32      // the latest are kept
)

// state is the file.
type state struct {
	Version int     `json:"version"`
	Starts  []int64 `json:"starts"` // Unix time in milliseconds, the earliest first
}

// Record is a folder's record of starts.
type Record struct{ dir string }

// Open returns the record in a folder, which is made where it is missing.
func Open(dir string) *Record { return &Record{dir} }

// RecordStart notes a start and returns how many there have been lately without a life that lasted. An error says what could not
// be read or written; the count holds as far as it goes.
func (r *Record) RecordStart(now time.Time) (lately int, err error) {
	all, err := r.read()
	var kept []int64
	for _, at := range all {
		// A clock that has stepped back leaves starts in the future, which tell nothing.
		if age := now.Sub(time.UnixMilli(at)); age >= 0 && age < Window {
			kept = append(kept, at)
		}
	}
	lately = len(kept)
	kept = append(kept, now.UnixMilli())
	if len(kept) > maxStarts {
		kept = kept[len(kept)-maxStarts:]
	}
	return lately, errors.Join(err, r.write(kept))
}

// Clear forgets the starts: this life has lasted.
func (r *Record) Clear() error { return r.write(nil) }

func (r *Record) read() ([]int64, error) {
	data, err := durable.ReadFile(r.path(), maxFile)
	if err != nil || data == nil {
		return nil, wrap(err)
	}
	all, err := parse(data)
	if err != nil {
		return nil, wrap(fmt.Errorf("%s: %w", r.path(), err))
	}
	return all, nil
}

func (r *Record) path() string { return filepath.Join(r.dir, file) }

func wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("record of starts: %w", err)
}

// parse reads a record.
func parse(data []byte) ([]int64, error) {
	var s state
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("a record in JSON expected: %w", err)
	}
	if s.Version != version {
		return nil, fmt.Errorf("version %d found, %d expected", s.Version, version)
	}
	if len(s.Starts) > maxStarts {
		return nil, fmt.Errorf("%d starts found, %d at most expected", len(s.Starts), maxStarts)
	}
	return s.Starts, nil
}

// write replaces the file as a whole, so that a crash leaves the old or the new.
func (r *Record) write(starts []int64) error {
	data, err := json.Marshal(state{version, starts})
	if err == nil {
		err = os.MkdirAll(r.dir, 0o700)
	}
	if err == nil {
		// Not synced: it has to outlive the process, and hundreds that start together would wait for the disk.
		err = durable.WriteFile(r.path(), data, 0o600, false)
	}
	return wrap(err)
}
