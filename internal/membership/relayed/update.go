package relayed

import (
	"errors"
	"fmt"
	"time"

	"fernlanding/internal/distribution"
	"fernlanding/internal/membership/reconcile"
)

// keyPrefix is the prefix of keys that a reconcile.Reconciler without a prefix and a service
// expects.
const keyPrefix = "/"

// The reasons for rejecting a whole update. Their texts are reported to the distribution's source.
var (
	errResource     = errors.New("unexpected resource")
	errVersion      = errors.New("version not newer than the one in force")
	errBase         = errors.New("delta from a version other than the one in force")
	errDeleted      = errors.New("deleted item in a full list")
	errNoValidEntry = errors.New("no valid entry in the list")
)

// reconcile applies an update to the reconciler. An error gives the reason for rejecting the
// update; nothing has changed then.
func (l *followedList) reconcile(update *distribution.Update) (reconcile.Result, error) {
	if want := Resource(l.name); update.Resource != want {
		return reconcile.Result{}, fmt.Errorf("%w: got %.128q, want %q", errResource, update.Resource, want)
	}
	if !update.Version.After(l.inForce) {
		return reconcile.Result{}, fmt.Errorf("%w: got %s, in force is %s", errVersion, update.Version, l.inForce)
	}
	if update.IsSnapshot() {
		return l.reconcileFull(update)
	}
	return l.reconcileDelta(update)
}

// reconcileFull applies an update with the full list.
func (l *followedList) reconcileFull(update *distribution.Update) (reconcile.Result, error) {
	entries := make([]reconcile.Entry, len(update.Items))
	for i := range update.Items {
		if update.Items[i].Deleted {
			return reconcile.Result{}, fmt.Errorf("%w: %.128q", errDeleted, update.Items[i].Key)
		}
		entries[i] = entry(&update.Items[i])
	}
	if err := checkFull(entries, l.now()); err != nil {
		return reconcile.Result{}, err
	}
	return l.reconciler.ApplySnapshot(l.now(), snapshot(l.reconciler.Revision()+1, entries))
}

// checkFull returns an error for a full list without a valid entry, because such a list was
// published by mistake. An empty list is valid.
func checkFull(entries []reconcile.Entry, now time.Time) error {
	if len(entries) == 0 {
		return nil
	}
	scratch := reconcile.New(reconcile.Config{})
	result, err := scratch.ApplySnapshot(now, snapshot(1, entries))
	if err != nil || len(result.List.Endpoints) > 0 {
		return err
	}
	return fmt.Errorf("%w: %.128q: %w", errNoValidEntry, result.Invalid[0].Key, result.Invalid[0].Err)
}

func snapshot(revision int64, entries []reconcile.Entry) reconcile.Snapshot {
	return reconcile.Snapshot{Revision: revision, Count: -1, Entries: entries}
}

// reconcileDelta applies an update with the changes since the version in force.
func (l *followedList) reconcileDelta(update *distribution.Update) (reconcile.Result, error) {
	if update.From.Compare(l.inForce) != 0 {
		return reconcile.Result{}, fmt.Errorf("%w: got %s, in force is %s", errBase, update.From, l.inForce)
	}
	delta := reconcile.Delta{Revision: l.reconciler.Revision() + 1}
	for i := range update.Items {
		item := &update.Items[i]
		event := reconcile.Event{Entry: entry(item), Revision: delta.Revision, Deleted: item.Deleted}
		delta.Events = append(delta.Events, event)
	}
	return l.reconciler.ApplyDelta(delta)
}

// entry converts an item to an entry of a registry.
func entry(item *distribution.Item) reconcile.Entry {
	return reconcile.Entry{Key: keyPrefix + item.Key, Value: item.Value}
}
