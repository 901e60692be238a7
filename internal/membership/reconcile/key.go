package reconcile

import (
	"errors"
	"fmt"

	"fernlanding/internal/membership"
)

// keyState is what is known of a key.
type keyState struct {
	endpoint membership.Endpoint
	// valid: the endpoint is in the list, as the entry has it or, with err, as draining with its
	// last valid state.
	valid bool
	err   error // why the entry is invalid now; nil: it is valid
	// claimed is the endpoint of a key that waits for another key's name, once it has that name.
	claimed membership.Endpoint
}

// serves reports whether the key has an endpoint that serves.
func (s *keyState) serves() bool { return s.valid && s.endpoint.Status == membership.Serving }

// setKey enters a key whose previous state, if any, has been taken out. An invalid entry is left
// out or, if it was valid before, keeps its last valid state as draining. It is returned when it
// has become invalid, not each time it is read.
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
	if state.serves() {
		r.serving++
	}
	if err == nil || previous != nil && previous.err != nil && previous.err.Error() == err.Error() {
		return nil
	}
	return &InvalidEntry{Key: e.Key, Err: err}
}

// reassignName gives a name that has become free to the first key that waits for it, and notes the
// endpoints that this changes.
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
	if state.valid && state.endpoint.Name != name { // it stood as draining under the name that it had
		delete(r.owners, state.endpoint.Name)
		changed[state.endpoint.Name] = deletedEndpoint(state.endpoint.Name)
	}
	delete(r.waiting, first)
	*state = keyState{endpoint: state.claimed, valid: true}
	r.owners[name] = first
	changed[name] = state.endpoint
	if state.serves() {
		r.serving++
	}
}

// deletedEndpoint returns the entry of a delta that removes an endpoint.
func deletedEndpoint(name string) membership.Endpoint {
	return membership.Endpoint{Name: name, Status: membership.Deleted}
}
