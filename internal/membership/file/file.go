// Package file follows an endpoint list in a file. It is intended for tests and for machines on
// which another program maintains the file. The writer must replace the whole file with a rename.
//
// A file that is missing, truncated or not a list changes nothing: the last list stays in use, and
// the source counts as silent.
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
	// checkInterval is the time between checks of the file. It is well below the 250 ms within
	// which the protocol requires a drain to be known.
	checkInterval = 100 * time.Millisecond
	maxFileBytes  = 32 << 20
	// timestampSlack is the age below which a modification time does not prove that a file is
	// unchanged. File systems have coarse clocks, so a file that was modified that shortly before a
	// read may change again with the same time. Such a file is read again.
	timestampSlack = 2 * time.Second
)

// Source is a membership.Source of one file.
type Source struct {
	path     string
	log      *slog.Logger
	notifier *staleness.Notifier
	lastInfo os.FileInfo // of the last file read; nil if the last read failed or there was none
	lastRead time.Time
	lastErr  string // last logged error; empty if the last check succeeded
}

// New returns a Source that follows a file with the contents {"endpoints": [{"name", "address",
// "zone", "cell", "status", "weight", "since"}]}. An invalid entry is left out and logged once.
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
		s.handleFailure(sink, err)
		return
	}
	s.lastErr = ""
}

// isUnchanged reports whether the file has certainly not changed since it was last read.
func (s *Source) isUnchanged(info os.FileInfo) bool {
	return s.lastInfo != nil && os.SameFile(info, s.lastInfo) && info.Size() == s.lastInfo.Size() &&
		info.ModTime().Equal(s.lastInfo.ModTime()) && s.lastRead.Sub(info.ModTime()) > timestampSlack
}

// handleFailure records that the file could not be read. When the error differs from the last one,
// the sink is notified and the error is logged.
func (s *Source) handleFailure(sink membership.Sink, err error) {
	s.lastInfo = nil
	s.notifier.Failed()
	if err.Error() == s.lastErr {
		return
	}
	s.lastErr = err.Error()
	s.log.Warn("endpoint list not read, the last one stands", "error", err)
	sink.UpdateFailed()
}

// read reads the file and passes its list to the sink if the list has changed.
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
		return fmt.Errorf("file exceeds the limit of %d bytes", maxFileBytes)
	}
	entries, err := parse(data)
	if err != nil {
		return err
	}
	_, err = s.notifier.Update(sink, entries)
	return err
}

// parse splits the contents of a file into entries. The reconciler decodes and checks the value of
// each entry.
func parse(data []byte) ([]reconcile.Entry, error) {
	var raw struct {
		Endpoints *[]json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	if raw.Endpoints == nil {
		return nil, errors.New("missing endpoints")
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

// parseEntry returns the entry of the endpoint at the given index of a file. The entry's key is its
// name, or its address if it has no name. If it has neither, or an earlier entry has the key, the
// key is the position in the file.
func parseEntry(text json.RawMessage, index int, seen map[string]bool) reconcile.Entry {
	var named struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}
	// The reconciler reports the error when it decodes the entry.
	_ = json.Unmarshal(text, &named)
	key := named.Name
	if key == "" {
		key = named.Address
	}
	if key == "" || seen[key] {
		if seen[key] && named.Name == "" {
			text = nil // a repeated address without a name makes the entry invalid
		}
		key = fmt.Sprintf("(entry %d)", index+1)
	}
	return reconcile.Entry{Key: key, Value: text}
}
