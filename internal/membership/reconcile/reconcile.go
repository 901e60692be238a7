// Package reconcile turns what a registry answers into updates of an endpoint list, and rejects
// what is no valid update. It is pure: no I/O, no clock; times come in as arguments.
//
// A registry can be wrong in ways that would empty a pool: a stale member answers with an older
// state, a restored backup begins anew, an answer is cut short, another cluster has the address.
// None of that reaches a pool: the last list stands, and the source counts as silent. What does
// reach it is in order, and a full list follows whatever may have been missed.
package reconcile

import (
	"maps"
	"slices"
	"time"

	"fernlanding/internal/membership"
)

// Config says which entries a Reconciler accepts.
type Config struct {
	Prefix  string // of all keys, with its last slash
	Service string
	// RestoreAfter is how long a registry of the same cluster must keep to a lower revision before
	// it is taken for one that was restored from a backup, and its list is accepted; 0: never, only
	// an operator's AcceptNext does that.
	RestoreAfter time.Duration
}

// Reconciler holds the last valid state of every key of one service. It is not safe for concurrent
// use.
type Reconciler struct {
	cfg         Config
	cluster     string
	revision    int64
	hasSnapshot bool // a snapshot has been accepted
	keys        map[string]*keyState
	owners      map[string]string // the key that owns a name, by name
	waiting     map[string]string // the name that a key waits for, by key
	serving     int               // endpoints that serve

	acceptNext    bool      // whatever the next snapshot's revision and cluster
	lowerSince    time.Time // when a lower revision was first seen; zero: none stands out
	lowerRevision int64     // the lower revision seen last
}

// New returns a Reconciler without entries.
func New(cfg Config) *Reconciler {
	return &Reconciler{
		cfg: cfg, keys: map[string]*keyState{}, owners: map[string]string{}, waiting: map[string]string{},
	}
}

// Revision returns the revision up to which all changes are known; 0 before the first snapshot.
func (r *Reconciler) Revision() int64 { return r.revision }

// List returns the full list as it stands, ordered by key; nil before the first snapshot.
func (r *Reconciler) List() *membership.List {
	if !r.hasSnapshot {
		return nil
	}
	list := &membership.List{Version: r.revision, Full: true}
	for _, key := range slices.Sorted(maps.Keys(r.keys)) {
		if state := r.keys[key]; state.valid {
			list.Endpoints = append(list.Endpoints, state.endpoint)
		}
	}
	return list
}

// InvalidCount returns how many entries are invalid now.
func (r *Reconciler) InvalidCount() int {
	count := 0
	for _, state := range r.keys {
		if state.err != nil {
			count++
		}
	}
	return count
}

// AcceptNext has the next snapshot accepted whatever its revision and cluster: an operator says
// that it holds.
func (r *Reconciler) AcceptNext() { r.acceptNext = true }
