package reconcile

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/membership"
)

// ApplySnapshot takes a full read of the registry, read now. An error says why it is rejected;
// nothing has changed then.
func (r *Reconciler) ApplySnapshot(now time.Time, snapshot Snapshot) (Result, error) {
	if err := r.checkSnapshot(now, snapshot); err != nil {
		return Result{}, err
	}
	r.acceptNext, r.lowerSince, r.lowerRevision = false, time.Time{}, 0
	result := Result{ServingBefore: r.serving}
	stopped := r.servingNames()
	r.replaceKeys(snapshot.Entries, &result)
	r.cluster, r.revision, r.hasSnapshot = snapshot.Cluster, snapshot.Revision, true
	result.List = r.List()
	for _, endpoint := range result.List.Endpoints {
		if endpoint.Status == membership.Serving {
			delete(stopped, endpoint.Name)
		}
	}
	result.RemovedServing = len(stopped)
	return result, nil
}

// checkSnapshot returns why a snapshot is rejected, or nil.
func (r *Reconciler) checkSnapshot(now time.Time, snapshot Snapshot) error {
	switch {
	case len(snapshot.Entries) > maxEntries:
		return ErrTooManyEntries
	case snapshot.Count >= 0 && snapshot.Count != int64(len(snapshot.Entries)):
		return fmt.Errorf("%w: %d and %d", ErrCountMismatch, snapshot.Count, len(snapshot.Entries))
	case !r.hasSnapshot || r.acceptNext:
		return nil
	case snapshot.Cluster != r.cluster:
		return r.clusterError(snapshot.Cluster)
	case snapshot.Revision < r.revision && !r.isRestored(now, snapshot.Revision):
		return fmt.Errorf("%w: %d, not %d", ErrStaleRevision, snapshot.Revision, r.revision)
	}
	return nil
}

// clusterError returns the error of an answer by another cluster.
func (r *Reconciler) clusterError(cluster string) error {
	return fmt.Errorf("%w: %s, not %s", ErrClusterChanged, cluster, r.cluster)
}

// isRestored reports whether the registry has kept to a lower revision for so long that it counts
// as restored from a backup. It notes the lower revision.
func (r *Reconciler) isRestored(now time.Time, revision int64) bool {
	if r.cfg.RestoreAfter <= 0 {
		return false
	}
	if r.lowerSince.IsZero() || revision < r.lowerRevision || now.Before(r.lowerSince) {
		r.lowerSince = now
	}
	r.lowerRevision = revision
	return now.Sub(r.lowerSince) >= r.cfg.RestoreAfter
}

// servingNames returns the names of the endpoints that serve.
func (r *Reconciler) servingNames() map[string]bool {
	names := make(map[string]bool, r.serving)
	for _, state := range r.keys {
		if state.serves() {
			names[state.endpoint.Name] = true
		}
	}
	return names
}

// replaceKeys replaces all keys by those of some entries.
func (r *Reconciler) replaceKeys(entries []Entry, result *Result) {
	previous := r.keys
	r.keys = make(map[string]*keyState, len(entries))
	r.owners = make(map[string]string, len(entries))
	r.waiting = map[string]string{}
	r.serving = 0
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(x, y Entry) int { return strings.Compare(x.Key, y.Key) })
	for i, e := range sorted {
		if i > 0 && e.Key == sorted[i-1].Key {
			continue // the answer was put together wrongly; the key's first value stands
		}
		result.addInvalid(r.setKey(e, previous[e.Key]))
	}
}
