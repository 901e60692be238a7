package relayed

import (
	"errors"
	"fernlanding/internal/distribution"
	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
)

const (
	// keyPrefix is what a reconcile.Reconciler of no prefix and service expects before a key.
	keyPrefix = "/"

	// maxSourceAge is how long the relays may have heard nothing from the source before a list counts as old. A relay hears
	// from it with each blocking read, so this is some lost reads in a row.
	maxSourceAge = 15 * time.Second
)

// The reasons for which an update is refused as a whole.
var (
	errResource  = errors.New("another resource")
	errVersion   = errors.New("a version that is not after the one in force")
	errBase      = errors.New("changes to another version than the one in force")
	errDeleted   = errors.New("a deleted item in a whole list")
	errSenseless = errors.New("no entry of the list makes sense")
)

// list is the state of one list, and whom it is told. It implements follow.Subscriber.
type list struct {
	name string
	log  *slog.Logger
	now  func() time.Time

	users int // guarded by Lists.mu

	following sync.Mutex
	follower  Follower // nil: none
	cancel    func()   // of the subscription there; nil: none

	mu        sync.Mutex // held while sinks are told
	sinks     []membership.Sink
	book      *reconcile.Reconciler // its revisions count accepted updates: a version of distribution has two parts
	inForce   distribution.Version  // zero: none yet
	confirmed time.Time             // when that was put in force; before, when the list began
	refused   int64
	refusedAt time.Time // of the last update refused, if none has been accepted since; else zero
}

func newList(name string, log *slog.Logger, now func() time.Time) *list {
	return &list{name: name, log: log.With("list", name), now: now, book: reconcile.New(reconcile.Config{}), confirmed: now()}
}

// follow subscribes to a follower instead of the one before; nil: to none.
func (l *list) follow(f Follower) {
	l.following.Lock()
	defer l.following.Unlock()
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	if l.follower = f; f != nil {
		l.cancel = f.Subscribe(Resource(l.name), l.version(), l)
	}
}

func (l *list) version() distribution.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForce
}

// add has a sink told of the list, first as it stands.
func (l *list) add(sink membership.Sink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sinks = append(l.sinks, sink)
	if stands := l.book.List(); stands != nil {
		sink.UpdateEndpoints(stands)
	}
}

// remove has a sink told no more, once a call of it that is under way has returned.
func (l *list) remove(sink membership.Sink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sinks = slices.DeleteFunc(l.sinks, func(s membership.Sink) bool { return s == sink })
}

// ApplyUpdate implements follow.Subscriber. Once it has returned without an error, the update is in force.
func (l *list) ApplyUpdate(u distribution.Update) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	told, err := l.reconcile(&u)
	if err != nil {
		l.refused++
		l.refusedAt = l.now()
		return err
	}
	l.inForce, l.confirmed, l.refusedAt = u.Version, l.now(), time.Time{}
	l.report(told)
	if told.List == nil {
		return nil
	}
	for _, sink := range l.sinks {
		sink.UpdateEndpoints(told.List)
	}
	return nil
}

// UpdateFailed implements follow.Subscriber.
func (l *list) UpdateFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sink := range l.sinks {
		sink.UpdateFailed()
	}
}

// reconcile takes an update into the book, or says why it makes no sense as a whole: then nothing has changed.
func (l *list) reconcile(u *distribution.Update) (reconcile.Result, error) {
	if want := Resource(l.name); u.Resource != want {
		return reconcile.Result{}, fmt.Errorf("%w: %.128q found, %q expected", errResource, u.Resource, want)
	}
	if !u.Version.After(l.inForce) {
		return reconcile.Result{}, fmt.Errorf("%w: %s found, %s stands", errVersion, u.Version, l.inForce)
	}
	if u.Full() {
		return l.whole(u)
	}
	return l.changes(u)
}

// whole takes an update that has the whole list.
func (l *list) whole(u *distribution.Update) (reconcile.Result, error) {
	entries := make([]reconcile.Entry, len(u.Items))
	for i := range u.Items {
		if u.Items[i].Deleted {
			return reconcile.Result{}, fmt.Errorf("%w: %.128q", errDeleted, u.Items[i].Key)
		}
		entries[i] = entry(&u.Items[i])
	}
	if err := sensible(entries, l.now()); err != nil {
		return reconcile.Result{}, err
	}
	return l.book.ApplySnapshot(l.now(), snapshot(l.book.Revision()+1, entries))
}

// sensible refuses a whole list of entries none of which makes sense: it is something else, published by mistake. An
// empty list is one.
func sensible(entries []reconcile.Entry, now time.Time) error {
	if len(entries) == 0 {
		return nil
	}
	scratch := reconcile.New(reconcile.Config{})
	told, err := scratch.ApplySnapshot(now, snapshot(1, entries))
	if err != nil || len(told.List.Endpoints) > 0 {
		return err
	}
	return fmt.Errorf("%w: %.128q: %w", errSenseless, told.Invalid[0].Key, told.Invalid[0].Err)
}

func snapshot(revision int64, entries []reconcile.Entry) reconcile.Snapshot {
	return reconcile.Snapshot{Revision: revision, Count: -1, Entries: entries}
}

// changes takes an update that has what has changed since the version in force.
func (l *list) changes(u *distribution.Update) (reconcile.Result, error) {
	if u.From.Compare(l.inForce) != 0 {
		return reconcile.Result{}, fmt.Errorf("%w: %s found, %s stands", errBase, u.From, l.inForce)
	}
	batch := reconcile.Delta{Revision: l.book.Revision() + 1}
	for i := range u.Items {
		batch.Events = append(batch.Events, reconcile.Event{Entry: entry(&u.Items[i]), Revision: batch.Revision, Deleted: u.Items[i].Deleted})
	}
	return l.book.ApplyDelta(l.now(), batch)
}

// entry is an item as an entry of a registry.
func entry(item *distribution.Item) reconcile.Entry {
	return reconcile.Entry{Key: keyPrefix + item.Key, Value: item.Value}
}

// report logs what an operator should look at in an update that has been accepted.
func (l *list) report(told reconcile.Result) {
	for _, skipped := range told.Invalid {
		l.log.Warn("relayed list: an entry makes no sense", "entry", skipped.Key, "error", skipped.Err)
	}
	if told.Removed*2 > told.Before {
		l.log.Warn("relayed list: more than half of the servers went in one step", "lost", told.Removed, "of", told.Before)
	}
}

// health is what membership.Source.Health says of the list.
func (l *list) health() membership.Health {
	l.following.Lock()
	follower := l.follower
	l.following.Unlock()

	l.mu.Lock()
	defer l.mu.Unlock()
	h := membership.Health{Version: l.book.Revision(), Invalid: l.book.Invalid(), Rejected: l.refused}
	confirmed, old := l.confirmed, true
	if follower != nil {
		relays := follower.Health()
		heard := relays.LastAnswer.Add(-relays.SourceAge) // from the source
		if heard.After(confirmed) {
			confirmed = heard
		}
		old = !relays.SilentSince.IsZero() || relays.LastAnswer.IsZero() || l.now().Sub(heard) > maxSourceAge
	}
	switch {
	case h.Version == 0:
		h.SilentSince = l.confirmed
	case !l.refusedAt.IsZero():
		h.SilentSince = l.refusedAt
	case old:
		h.SilentSince = confirmed
	}
	return h
}
