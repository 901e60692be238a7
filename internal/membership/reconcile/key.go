package reconcile

import (
	"errors"
	"fmt"

	"fernlanding/internal/membership"
)

// keyState is the state of one key.
type keyState struct {
	endpoint membership.Endpoint
	// valid reports whether the endpoint is in the list: as in the entry or, if err is not nil, as
	// draining with its last valid state.
	valid bool
	err   error // reason why the entry is invalid now; nil if it is valid
	// claimed is the endpoint that the key will have once it owns the name for which it waits.
	claimed membership.Endpoint
}

// isServing reports whether the key has a serving endpoint.
func (s *keyState) isServing() bool { return s.valid && s.endpoint.Status == membership.Serving }

// setKey sets a key whose previous state, if any, has been removed. An invalid entry is left out
// or, if the key was valid before, keeps its last valid state as draining. setKey returns the entry
// when it becomes invalid or its error changes, not each time it is read.
func (r *Reconciler) setKey(e Entry, previous *keyState) *InvalidEntry {
	endpoint, err := r.cfg.decode(e)
	if err == nil {
		if owner := r.owners[endpoint.Name]; owner != "" && owner != e.Key {
			err = fmt.Errorf("%w: %s", errNameTaken, owner)
		}
	}
	state := &keyState{endpoint: endpoint, valid: err == nil, err: err}
	if err != nil {
		if errors.Is(err, errNameTaken) {
			state.claimed = endpoint
			r.waiting[e.Key] = endpoint.Name
		}
		if previous != nil && previous.valid && r.owners[previous.endpoint.Name] == "" {
			state.endpoint, state.valid = previous.endpoint, true
			state.endpoint.Status = membership.Draining
		}
	}
	r.keys[e.Key] = state
	if state.valid {
		r.owners[state.endpoint.Name] = e.Key
	}
	if state.isServing() {
		r.serving++
	}
	if err == nil || previous != nil && previous.err != nil && previous.err.Error() == err.Error() {
		return nil
	}
	return &InvalidEntry{Key: e.Key, Err: err}
}

// reassignName gives a free name to the first key that waits for it, and adds the endpoints that
// this changes to changed.
func (r *Reconciler) reassignName(name string, changed map[string]membership.Endpoint) {
	first := ""
	for key, waitsFor := range r.waiting {
		if waitsFor == name && (first == "" || key < first) {
			first = key
		}
	}
	state := r.keys[first]
	if state == nil {
		return
	}
	if state.valid && state.endpoint.Name != name { // the key was draining under its previous name
		delete(r.owners, state.endpoint.Name)
		changed[state.endpoint.Name] = deletedEndpoint(state.endpoint.Name)
	}
	delete(r.waiting, first)
	*state = keyState{endpoint: state.claimed, valid: true}
	r.owners[name] = first
	changed[name] = state.endpoint
	if state.isServing() {
		r.serving++
	}
}

// deletedEndpoint returns the entry of a delta that removes an endpoint.
func deletedEndpoint(name string) membership.Endpoint {
	return membership.Endpoint{Name: name, Status: membership.Deleted}
}
