package staleness

import (
	"log/slog"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
)

// Teller hands on what is new in the lists of a source that reads whole ones without a version of their own: they are
// counted. It is not safe for concurrent use.
type Teller struct {
	*Tracker
	book  *reconcile.Book
	log   *slog.Logger
	what  string // begins its lines in the log
	index int64
}

// NewTeller returns a teller that has told nothing.
func NewTeller(what string, log *slog.Logger) *Teller {
	return &Teller{Tracker: New(), book: reconcile.New(reconcile.Config{}), log: log, what: what}
}

// Whole takes a list, and tells a sink if it differs from the last one. An error says why it is no news; then the last
// one stands.
func (t *Teller) Whole(sink membership.Sink, entries []reconcile.Entry) (fresh bool, err error) {
	before := t.book.List()
	told, err := t.book.Whole(time.Now(), reconcile.Snapshot{Revision: t.index + 1, Count: -1, Entries: entries})
	if err != nil {
		return false, err
	}
	t.index++
	for _, k := range told.Skipped {
		t.log.Warn(t.what+": an entry makes no sense", "entry", k.Key, "error", k.Why)
	}
	if fresh = before == nil || !membership.Same(before, told.List); fresh {
		if told.Lost*2 > told.Before {
			t.log.Warn(t.what+": more than half of the servers went in one step", "lost", told.Lost, "of", told.Before)
		}
		sink.Listed(told.List)
	}
	t.Still()
	return fresh, nil
}

// Still notes that the list that stands was seen to be the source's.
func (t *Teller) Still() { t.Confirmed(t.index, t.book.Skipped()) }
