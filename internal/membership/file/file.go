// Package file follows a list of backends in a file. It is meant for machines that something else keeps up to date, and
// for tests; whoever writes the file replaces it as a whole, by a rename.
package file

import (
	"context"
	"encoding/json"
	"errors"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
	"fernlanding/internal/membership/staleness"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"
)

const (
	// Every is how often the file is looked at: a drain in it is known well within the 250 ms of its rule.
	Every   = 100 * time.Millisecond
	maxFile = 32 << 20
	// A file that was changed this short a time before it was read may change again unseen: clocks of file systems are
	// coarse. It is read again.
	racy = 2 * time.Second
)

// Source is a source.
type Source struct {
	path   string
	log    *slog.Logger
	teller *staleness.Notifier
	last   os.FileInfo
	read   time.Time
	said   string // the fault that was logged last
}

// New returns a source that follows a file: {"endpoints": [{"name", "address", "zone", "cell", "status", "weight",
// "since"}]}. An entry that makes no sense is skipped and named once; a file that is none changes nothing.
func New(path string, log *slog.Logger) *Source {
	log = log.With("file", path)
	return &Source{path: path, log: log, teller: staleness.NewNotifier("list in a file", log)}
}

// Health implements membership.Source.
func (s *Source) Health() membership.Health { return s.teller.Health() }

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, sink membership.Sink) {
	tick := time.NewTicker(Every)
	defer tick.Stop()
	for {
		s.look(sink)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// look reads the file if it may have changed.
func (s *Source) look(sink membership.Sink) {
	info, err := os.Stat(s.path)
	if err == nil && s.last != nil && os.SameFile(info, s.last) && info.Size() == s.last.Size() && info.ModTime().Equal(s.last.ModTime()) &&
		s.read.Sub(info.ModTime()) > racy {
		if s.said == "" {
			s.teller.Confirm()
		}
		return
	}
	if err == nil {
		s.last, s.read = info, time.Now()
		err = s.take(sink)
	}
	if err != nil {
		s.last = nil
		s.teller.Failed()
		if err.Error() != s.said {
			s.said = err.Error()
			s.log.Warn("list in a file: the last one stands", "error", err)
			sink.UpdateFailed()
		}
		return
	}
	s.said = ""
}

// take reads the file and tells what is new in it.
func (s *Source) take(sink membership.Sink) error {
	f, err := os.Open(s.path)
	if err != nil {
		return err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return err
	}
	if len(data) > maxFile {
		return fmt.Errorf("over %d bytes", maxFile)
	}
	entries, err := parse(data)
	if err != nil {
		return err
	}
	_, err = s.teller.Update(sink, entries)
	return err
}

// parse takes a file apart. Its entries are judged one by one.
func parse(data []byte) (entries []reconcile.Entry, err error) {
	var raw struct {
		Endpoints *[]json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	if raw.Endpoints == nil {
		return nil, errors.New("endpoints is missing")
	}
	seen := map[string]bool{}
	for i, e := range *raw.Endpoints {
		var named struct {
			Name    string `json:"name"`
			Address string `json:"address"`
		}
		// A name that makes no sense shows again where the entry is judged.
		_ = json.Unmarshal(e, &named)
		key := named.Name
		if key == "" {
			key = named.Address
		}
		if key == "" || seen[key] {
			if seen[key] && named.Name == "" {
				e = nil // twice the same address: the second is nobody
			}
			key = fmt.Sprintf("(entry %d)", i+1)
		}
		seen[key] = true
		entries = append(entries, reconcile.Entry{Key: "/" + key, Value: e})
	}
	return entries, nil
}
