package staleness

import (
	"log/slog"
	"time"

	"fernlanding/internal/membership"
	"fernlanding/internal/membership/reconcile"
)

// Notifier passes the lists of a source to a sink. The source reads full lists that have no
// version. Notifier numbers the lists itself and skips a list that equals the previous one. Apart
// from Health, Notifier is not safe for concurrent use.
type Notifier struct {
	*Tracker
	reconciler *reconcile.Reconciler
	log        *slog.Logger
	version    int64 // version of the last accepted list
}

// NewNotifier returns a Notifier without an accepted list.
func NewNotifier(log *slog.Logger) *Notifier {
	return &Notifier{Tracker: NewTracker(), reconciler: reconcile.New(reconcile.Config{}), log: log}
}

// Update applies the entries of a full list. If the list differs from the last one, Update passes
// it to the sink and returns true. An error gives the reason for rejecting the entries; the last
// list then stays in use.
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

// Confirm records that the source still has the list in use.
func (n *Notifier) Confirm() { n.Confirmed(n.version, n.reconciler.InvalidCount()) }

// LogInvalid logs the entries that an update has made invalid.
func LogInvalid(log *slog.Logger, result *reconcile.Result) {
	for _, invalid := range result.Invalid {
		log.Warn("invalid endpoint entry", "entry", invalid.Key, "error", invalid.Err)
	}
}

// LogMajorityRemoved logs a warning if an update has removed more than half of the serving
// endpoints.
func LogMajorityRemoved(log *slog.Logger, result *reconcile.Result) {
	if result.RemovesMajority() {
		log.Warn("more than half of the serving endpoints were removed",
			"removed", result.RemovedServing, "before", result.ServingBefore)
	}
}
