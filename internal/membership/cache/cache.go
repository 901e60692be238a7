// Package cache keeps the last endpoint list of a service in a directory that outlives the process,
// so that a replica that starts anew can serve before its list's source has answered. An older list
// never comes back with endpoints that a newer one removed: Recorder removes the file as soon as
// the pool is notified of the removal, and writes the new list afterwards.
package cache

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"fernlanding/internal/durable"
	"fernlanding/internal/membership"
)

// Store is the file of one service's list.
type Store struct {
	path   string
	source string
}

// NewStore returns the store in a directory of the list of a service. The source is any text that
// differs between sources; a list is loaded only for the source that it was stored for. The
// directory is created by the first Stage. The service's name is part of the file's.
func NewStore(dir, service, source string) *Store {
	s := &Store{path: filepath.Join(dir, "list-"+service+".json"), source: source}
	durable.RemoveStaged(s.path)
	return s
}

// Load returns the list, and how long ago its source last confirmed it. Without a usable file the
// list is nil; an error says in one line why the file is not usable. maxAge is the age from which
// on a list is not used.
func (s *Store) Load(now time.Time, maxAge time.Duration) (*membership.List, time.Duration, error) {
	list, age, err := s.load(now, maxAge)
	if err != nil {
		return nil, 0, wrap(err)
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
	if age < 0 { // a clock that has stepped back says nothing of an age
		return nil, 0, fmt.Errorf("%s: confirmed %v from now, a time in the past expected",
			s.path, -age.Round(time.Millisecond))
	}
	if age >= maxAge {
		return nil, 0, fmt.Errorf("%s: confirmed %v ago, less than %v expected", s.path, age.Round(time.Second), maxAge)
	}
	return list, age, nil
}

// wrap says of an error what it is about; nil stays nil.
func wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("last list: %w", err)
}

// Stage writes a full list that its source confirmed at a time; the file is replaced once it is
// committed.
func (s *Store) Stage(list *membership.List, confirmed time.Time) (*durable.Staged, error) {
	data, err := encode(list, s.source, confirmed)
	if err != nil {
		return nil, wrap(err)
	}
	if len(data) > maxFileBytes {
		return nil, wrap(fmt.Errorf("%d bytes, %d at most expected", len(data), maxFileBytes))
	}
	if err := os.MkdirAll(filepath.Dir(s.path), 0o700); err != nil {
		return nil, wrap(err)
	}
	// Not synced: the list has to outlive the process, not a crash of the machine.
	staged, err := durable.Stage(s.path, data, 0o600, false)
	return staged, wrap(err)
}

// Remove removes the file, if there is one. An endpoint that is gone must not come back with an
// earlier list.
func (s *Store) Remove() error {
	if err := os.Remove(s.path); err != nil && !os.IsNotExist(err) {
		return wrap(err)
	}
	return nil
}
