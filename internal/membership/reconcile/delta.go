package reconcile

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"fernlanding/internal/membership"
)

// ApplyDelta takes a batch of changes. Those of revisions that are known already are duplicates and
// ignored. An error says why the batch is rejected: nothing has changed then, and a snapshot is
// needed.
func (r *Reconciler) ApplyDelta(delta Delta) (Result, error) {
	if err := r.checkDelta(delta); err != nil {
		return Result{}, err
	}
	if delta.Revision < r.revision {
		return Result{}, nil // late
	}
	result := Result{ServingBefore: r.serving}
	servedBefore := map[string]bool{}
	changed := map[string]membership.Endpoint{} // by name, as it is after the batch
	for _, event := range delta.Events {
		if event.Revision <= r.revision {
			continue
		}
		if previous := r.keys[event.Key]; previous != nil && previous.serves() {
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

// checkDelta returns why a delta is rejected, or nil.
func (r *Reconciler) checkDelta(delta Delta) error {
	if delta.Cluster != r.cluster {
		return r.clusterError(delta.Cluster)
	}
	for i, event := range delta.Events {
		if event.Revision > delta.Revision || i > 0 && event.Revision < delta.Events[i-1].Revision {
			return fmt.Errorf("%w: %d in a batch of %d", ErrOutOfOrder, event.Revision, delta.Revision)
		}
	}
	return nil
}

// deltaList returns a list of the endpoints that have changed, ordered by name; nil where none has.
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

// applyEvent applies one change, and notes the endpoints that it changes.
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
	if state.serves() {
		r.serving--
	}
	if state.valid && r.owners[state.endpoint.Name] == key {
		delete(r.owners, state.endpoint.Name)
		changed[state.endpoint.Name] = deletedEndpoint(state.endpoint.Name)
	}
}
