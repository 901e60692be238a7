package staleness

import (
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
	"log/slog"
	"time"
)

// Notifier hands on what is new in the lists of a source that reads whole ones without a version of their own: they are
// counted. It is not safe for concurrent use.
type Notifier struct {
	*Tracker
	book  *reconcile.Reconciler
	log   *slog.Logger
	what  string // begins its lines in the log
	index int64
}

// NewNotifier returns a teller that has told nothing.
func NewNotifier(what string, log *slog.Logger) *Notifier {
	return &Notifier{Tracker: New(), book: reconcile.New(reconcile.Config{}), log: log, what: what}
}

// Update takes a list, and tells a sink if it differs from the last one. An error says why it is no news; then the last
// one stands.
func (t *Notifier) Update(sink membership.Sink, entries []reconcile.Entry) (fresh bool, err error) {
	before := t.book.List()
	told, err := t.book.ApplySnapshot(time.Now(), reconcile.Snapshot{Revision: t.index + 1, Count: -1, Entries: entries})
	if err != nil {
		return false, err
	}
	t.index++
	for _, k := range told.Invalid {
		t.log.Warn(t.what+": an entry makes no sense", "entry", k.Key, "error", k.Err)
	}
	if fresh = before == nil || !membership.Equal(before, told.List); fresh {
		if told.Removed*2 > told.Before {
			t.log.Warn(t.what+": more than half of the servers went in one step", "lost", told.Removed, "of", told.Before)
		}
		sink.UpdateEndpoints(told.List)
	}
	t.Confirm()
	return fresh, nil
}

// Confirm notes that the list that stands was seen to be the source's.
func (t *Notifier) Confirm() { t.Confirmed(t.index, t.book.Invalid()) }
