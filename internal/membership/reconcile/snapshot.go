package reconcile

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernlanding/internal/membership"
)

// ApplySnapshot applies a full read of the registry made at the time now. An error gives the reason
// for rejecting it; nothing has changed then.
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

// checkSnapshot returns the reason for rejecting a snapshot, or nil.
func (r *Reconciler) checkSnapshot(now time.Time, snapshot Snapshot) error {
	switch {
	case len(snapshot.Entries) > maxEntries:
		return ErrTooManyEntries
	case snapshot.Count >= 0 && snapshot.Count != int64(len(snapshot.Entries)):
		return fmt.Errorf("%w: header has %d, response has %d", ErrCountMismatch, snapshot.Count, len(snapshot.Entries))
	case !r.hasSnapshot || r.acceptNext:
		return nil
	case snapshot.Cluster != r.cluster:
		return r.clusterError(snapshot.Cluster)
	case snapshot.Revision < r.revision && !r.isRestored(now, snapshot.Revision):
		return fmt.Errorf("%w: got %d, already at %d", ErrStaleRevision, snapshot.Revision, r.revision)
	}
	return nil
}

// clusterError returns the error for a response of another cluster.
func (r *Reconciler) clusterError(cluster string) error {
	return fmt.Errorf("%w: got %s, want %s", ErrClusterChanged, cluster, r.cluster)
}

// isRestored reports whether the registry has reported a lower revision for so long that it is
// considered restored from a backup. It records the lower revision.
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

// servingNames returns the names of the serving endpoints.
func (r *Reconciler) servingNames() map[string]bool {
	names := make(map[string]bool, r.serving)
	for _, state := range r.keys {
		if state.isServing() {
			names[state.endpoint.Name] = true
		}
	}
	return names
}

// replaceKeys replaces all keys with those of the given entries.
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
			continue // a duplicate key in a malformed response: the first value is used
		}
		result.addInvalid(r.setKey(e, previous[e.Key]))
	}
}
