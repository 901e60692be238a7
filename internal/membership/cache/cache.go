// Package cache keeps the last endpoint list of a service in a directory that outlives the process,
// so that a restarted replica can serve before the source of the list has answered. A cached list
// never brings back endpoints that a newer list has removed: Recorder removes the file as soon as
// the pool has applied the removal, and writes the new list afterwards.
package cache

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"fernlanding/internal/durable"
	"fernlanding/internal/membership"
)

// Store is the cache file of one service's list.
type Store struct {
	path   string
	source string
}

// NewStore returns the store in dir for the list of a service. The source is any text that differs
// between sources; a list is loaded only for the source for which it was stored. The first Stage
// creates the directory. The name of the service is part of the file name.
func NewStore(dir, service, source string) *Store {
	s := &Store{path: filepath.Join(dir, "list-"+service+".json"), source: source}
	durable.RemoveStaged(s.path)
	return s
}

// Load returns the list and the time since its source last confirmed it. A list whose age is maxAge
// or more is not used. Without a usable file the list is nil, and a one-line error gives the reason
// if there is a file.
func (s *Store) Load(now time.Time, maxAge time.Duration) (*membership.List, time.Duration, error) {
	list, age, err := s.load(now, maxAge)
	if err != nil {
		return nil, 0, wrapError(err)
	}
	return list, age, nil
}

func (s *Store) load(now time.Time, maxAge time.Duration) (*membership.List, time.Duration, error) {
	data, err := durable.ReadFile(s.path, maxFileBytes)
	if err != nil || data == nil {
		return nil, 0, err
	}
	list, confirmed, err := parse(data, s.source)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", s.path, err)
	}
	age := now.Sub(confirmed)
	if age < 0 { // the clock stepped back, so the age is unknown
		return nil, 0, fmt.Errorf("%s: confirmed %v from now, want a time in the past",
			s.path, -age.Round(time.Millisecond))
	}
	if age >= maxAge {
		return nil, 0, fmt.Errorf("%s: confirmed %v ago, want less than %v", s.path, age.Round(time.Second), maxAge)
	}
	return list, age, nil
}

// wrapError adds the subject to an error. It returns nil for nil.
func wrapError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("list cache: %w", err)
}

// Stage writes a full list with the time of its confirmation. Committing the result replaces the
// file.
func (s *Store) Stage(list *membership.List, confirmed time.Time) (*durable.Staged, error) {
	data, err := encode(list, s.source, confirmed)
	if err != nil {
		return nil, wrapError(err)
	}
	if len(data) > maxFileBytes {
		return nil, wrapError(fmt.Errorf("list of %d bytes exceeds the limit of %d", len(data), maxFileBytes))
	}
	if err := os.MkdirAll(filepath.Dir(s.path), 0o700); err != nil {
		return nil, wrapError(err)
	}
	// Without a sync: the list must outlive the process, but not a crash of the machine.
	staged, err := durable.Stage(s.path, data, 0o600, false)
	return staged, wrapError(err)
}

// Remove removes the file if it exists. It prevents an older list from bringing back a removed
// endpoint.
func (s *Store) Remove() error {
	if err := os.Remove(s.path); err != nil && !os.IsNotExist(err) {
		return wrapError(err)
	}
	return nil
}
