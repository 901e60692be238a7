package reconcile

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"fernlanding/internal/membership"
)

// ApplyDelta applies a batch of changes. Changes of revisions that are already known are duplicates
// and are ignored. An error gives the reason for rejecting the batch; nothing has changed then, and
// a snapshot is needed.
func (r *Reconciler) ApplyDelta(delta Delta) (Result, error) {
	if err := r.checkDelta(delta); err != nil {
		return Result{}, err
	}
	if delta.Revision < r.revision {
		return Result{}, nil // a late batch
	}
	result := Result{ServingBefore: r.serving}
	servedBefore := map[string]bool{}
	changed := map[string]membership.Endpoint{} // endpoints after the batch, by name
	for _, event := range delta.Events {
		if event.Revision <= r.revision {
			continue
		}
		if previous := r.keys[event.Key]; previous != nil && previous.isServing() {
			servedBefore[previous.endpoint.Name] = true
		}
		result.addInvalid(r.applyEvent(event, changed))
	}
	r.revision = delta.Revision
	r.lowerSince = time.Time{}
	result.List = r.deltaList(changed)
	for name := range servedBefore {
		if changed[name].Status != membership.Serving {
			result.RemovedServing++
		}
	}
	return result, nil
}

// checkDelta returns the reason for rejecting a delta, or nil.
func (r *Reconciler) checkDelta(delta Delta) error {
	if delta.Cluster != r.cluster {
		return r.clusterError(delta.Cluster)
	}
	for i, event := range delta.Events {
		if event.Revision > delta.Revision || i > 0 && event.Revision < delta.Events[i-1].Revision {
			return fmt.Errorf("%w: revision %d in a batch up to %d", ErrOutOfOrder, event.Revision, delta.Revision)
		}
	}
	return nil
}

// deltaList returns a list of the changed endpoints, ordered by name, or nil if none has changed.
func (r *Reconciler) deltaList(changed map[string]membership.Endpoint) *membership.List {
	if len(changed) == 0 {
		return nil
	}
	list := &membership.List{Version: r.revision}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		list.Endpoints = append(list.Endpoints, changed[name])
	}
	return list
}

// applyEvent applies one change and adds the endpoints that it changes to changed.
func (r *Reconciler) applyEvent(event Event, changed map[string]membership.Endpoint) *InvalidEntry {
	previous := r.keys[event.Key]
	r.removeKey(event.Key, changed)
	var invalid *InvalidEntry
	if !event.Deleted {
		invalid = r.setKey(event.Entry, previous)
	}
	if state := r.keys[event.Key]; state != nil && state.valid {
		changed[state.endpoint.Name] = state.endpoint
	}
	if previous != nil && previous.valid && r.owners[previous.endpoint.Name] == "" {
		r.reassignName(previous.endpoint.Name, changed)
	}
	return invalid
}

// removeKey removes a key, its claim to a name, and its endpoint.
func (r *Reconciler) removeKey(key string, changed map[string]membership.Endpoint) {
	state := r.keys[key]
	delete(r.waiting, key)
	delete(r.keys, key)
	if state == nil {
		return
	}
	if state.isServing() {
		r.serving--
	}
	if state.valid && r.owners[state.endpoint.Name] == key {
		delete(r.owners, state.endpoint.Name)
		changed[state.endpoint.Name] = deletedEndpoint(state.endpoint.Name)
	}
}
