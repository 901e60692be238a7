package staleness

import (
	"log/slog"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
)

// Notifier notifies a sink of the lists of a source that reads full lists without a version. It
// numbers them itself, and skips those that are equal to the one before. It is not safe for
// concurrent use, apart from Health.
type Notifier struct {
	*Tracker
	reconciler *reconcile.Reconciler
	log        *slog.Logger
	version    int64 // of the last list accepted
}

// NewNotifier returns a notifier that has accepted no list.
func NewNotifier(log *slog.Logger) *Notifier {
	return &Notifier{Tracker: NewTracker(), reconciler: reconcile.New(reconcile.Config{}), log: log}
}

// Update takes the entries of a full list, and notifies a sink if the list differs from the last
// one, which it reports. An error says why the entries are rejected; the last list stands then.
func (n *Notifier) Update(sink membership.Sink, entries []reconcile.Entry) (changed bool, err error) {
	before := n.reconciler.List()
	snapshot := reconcile.Snapshot{Revision: n.version + 1, Count: -1, Entries: entries}
	result, err := n.reconciler.ApplySnapshot(time.Now(), snapshot)
	if err != nil {
		return false, err
	}
	n.version++
	LogInvalid(n.log, &result)
	changed = before == nil || !membership.Equal(before, result.List)
	if changed {
		LogMajorityRemoved(n.log, &result)
		sink.UpdateEndpoints(result.List)
	}
	n.Confirm()
	return changed, nil
}

// Confirm notes that the source still has the list that stands.
func (n *Notifier) Confirm() { n.Confirmed(n.version, n.reconciler.InvalidCount()) }

// LogInvalid logs the entries of an update that have become invalid.
func LogInvalid(log *slog.Logger, result *reconcile.Result) {
	for _, invalid := range result.Invalid {
		log.Warn("invalid endpoint entry", "entry", invalid.Key, "error", invalid.Err)
	}
}

// LogMajorityRemoved logs that an update has taken out more than half of the serving endpoints, if
// it has.
func LogMajorityRemoved(log *slog.Logger, result *reconcile.Result) {
	if result.RemovesMajority() {
		log.Warn("more than half of the serving endpoints were removed",
			"removed", result.RemovedServing, "before", result.ServingBefore)
	}
}
