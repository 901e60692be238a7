// Package file follows an endpoint list in a file. It is meant for machines on which something else
// keeps the file up to date, and for tests. Whoever writes the file replaces it as a whole, by a
// rename.
//
// A file that is missing, cut short or no list changes nothing: the last list stands, and the
// source counts as silent.
package file

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
	"fernlanding/internal/membership/staleness"
)

const (
	// checkInterval is how often the file is checked: a drain in it is known well within the 250 ms
	// that the protocol allows.
	checkInterval = 100 * time.Millisecond
	maxFileBytes  = 32 << 20
	// timestampSlack is how shortly before a read a file may have been modified and then change
	// again unseen, since the clocks of file systems are coarse. Such a file is read again.
	timestampSlack = 2 * time.Second
)

// Source is a membership.Source of one file.
type Source struct {
	path     string
	log      *slog.Logger
	notifier *staleness.Notifier
	lastInfo os.FileInfo // of the last file read; nil: the last read failed, or there was none
	lastRead time.Time
	lastErr  string // logged last; empty: the last check succeeded
}

// New returns a source that follows a file: {"endpoints": [{"name", "address", "zone", "cell",
// "status", "weight", "since"}]}. An invalid entry is left out and logged once.
func New(path string, log *slog.Logger) *Source {
	log = log.With("source", "file", "file", path)
	return &Source{path: path, log: log, notifier: staleness.NewNotifier(log)}
}

// Health implements membership.Source.
func (s *Source) Health() membership.Health { return s.notifier.Health() }

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, sink membership.Sink) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		s.check(sink)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// check reads the file if it may have changed.
func (s *Source) check(sink membership.Sink) {
	info, err := os.Stat(s.path)
	if err == nil && s.isUnchanged(info) {
		s.notifier.Confirm()
		return
	}
	if err == nil {
		s.lastInfo, s.lastRead = info, time.Now()
		err = s.read(sink)
	}
	if err != nil {
		s.fail(sink, err)
		return
	}
	s.lastErr = ""
}

// isUnchanged reports whether the file is certainly the one that was read last.
func (s *Source) isUnchanged(info os.FileInfo) bool {
	return s.lastInfo != nil && os.SameFile(info, s.lastInfo) && info.Size() == s.lastInfo.Size() &&
		info.ModTime().Equal(s.lastInfo.ModTime()) && s.lastRead.Sub(info.ModTime()) > timestampSlack
}

// fail notes that the file could not be read. Its sink is notified, and a line is logged, when the
// error changes.
func (s *Source) fail(sink membership.Sink, err error) {
	s.lastInfo = nil
	s.notifier.Failed()
	if err.Error() == s.lastErr {
		return
	}
	s.lastErr = err.Error()
	s.log.Warn("endpoint list not read, the last one stands", "error", err)
	sink.UpdateFailed()
}

// read reads the file, and notifies the sink of its list where that has changed.
func (s *Source) read(sink membership.Sink) error {
	f, err := os.Open(s.path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // nothing was written
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxFileBytes {
		return fmt.Errorf("over %d bytes", maxFileBytes)
	}
	entries, err := parse(data)
	if err != nil {
		return err
	}
	_, err = s.notifier.Update(sink, entries)
	return err
}

// parse splits the contents of a file into entries, whose values the reconciler decodes and checks
// one by one.
func parse(data []byte) ([]reconcile.Entry, error) {
	var raw struct {
		Endpoints *[]json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	if raw.Endpoints == nil {
		return nil, errors.New("endpoints is missing")
	}
	var entries []reconcile.Entry
	seen := map[string]bool{}
	for i, text := range *raw.Endpoints {
		entry := parseEntry(text, i, seen)
		seen[entry.Key] = true
		entry.Key = "/" + entry.Key
		entries = append(entries, entry)
	}
	return entries, nil
}

// parseEntry returns the entry of an endpoint in a file, by its index there. Its key is its name,
// or else its address, or else its place, which is also the key where another entry has that name.
func parseEntry(text json.RawMessage, index int, seen map[string]bool) reconcile.Entry {
	var named struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}
	// An error shows again where the reconciler decodes the entry.
	_ = json.Unmarshal(text, &named)
	key := named.Name
	if key == "" {
		key = named.Address
	}
	if key == "" || seen[key] {
		if seen[key] && named.Name == "" {
			text = nil // the same address a second time, and no name: the entry is invalid
		}
		key = fmt.Sprintf("(entry %d)", index+1)
	}
	return reconcile.Entry{Key: key, Value: text}
}
