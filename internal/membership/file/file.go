// Package file follows a list of backends in a file. It is meant for machines that something else keeps up to date, and
// for tests; whoever writes the file replaces it as a whole, by a rename.
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
	"fernlanding/internal/membership/heard"
	"fernlanding/internal/membership/news"
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
	path  string
	log   *slog.Logger
	heard *heard.Heard
	book  *news.Book
	index int64
	last  os.FileInfo
	read  time.Time
	said  string // the fault that was logged last
}

// New returns a source that follows a file: {"endpoints": [{"name", "address", "zone", "cell", "status", "weight",
// "since"}]}. An entry that makes no sense is skipped and named once; a file that is none changes nothing.
func New(path string, log *slog.Logger) *Source {
	return &Source{path: path, log: log, heard: heard.New(), book: news.New(news.Config{})}
}

// Health implements membership.Source.
func (s *Source) Health() membership.Health { return s.heard.Health() }

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
			s.heard.Spoke(s.index, s.book.Skipped())
		}
		return
	}
	var told news.Told
	if err == nil {
		s.last, s.read = info, time.Now()
		told, err = s.take()
	}
	if err != nil {
		s.last = nil
		s.heard.Fell()
		if err.Error() != s.said {
			s.said = err.Error()
			s.log.Warn("list in a file: the last one stands", "file", s.path, "error", err)
			sink.Missed()
		}
		return
	}
	s.said = ""
	for _, k := range told.Skipped {
		s.log.Warn("list in a file: an entry makes no sense", "file", s.path, "entry", k.Key, "error", k.Why)
	}
	if told.List != nil {
		if told.Lost*2 > told.Before {
			s.log.Warn("list in a file: more than half of the servers went in one step", "file", s.path, "lost", told.Lost, "of", told.Before)
		}
		sink.Listed(told.List)
	}
	s.heard.Spoke(s.index, s.book.Skipped())
}

// take reads the file and returns what is new in it.
func (s *Source) take() (news.Told, error) {
	f, err := os.Open(s.path)
	if err != nil {
		return news.Told{}, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return news.Told{}, err
	}
	if len(data) > maxFile {
		return news.Told{}, fmt.Errorf("over %d bytes", maxFile)
	}
	entries, err := parse(data)
	if err != nil {
		return news.Told{}, err
	}
	before := s.book.List()
	s.index++
	told, err := s.book.Whole(time.Now(), news.Snapshot{Revision: s.index, Count: int64(len(entries)), Entries: entries})
	if err != nil {
		s.index--
		return told, err
	}
	if before != nil && membership.Same(before, told.List) {
		told.List = nil // the same words written again are no news
	}
	return told, nil
}

// parse takes a file apart. Its entries are judged one by one.
func parse(data []byte) (entries []news.Entry, err error) {
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
		entries = append(entries, news.Entry{Key: "/" + key, Value: e})
	}
	return entries, nil
}
