// Package reconcile converts the answers of a registry to updates of an endpoint list and rejects
// answers that are not valid updates. It has no I/O and no clock; times are passed as arguments.
//
// A registry can fail in ways that would empty a pool: a stale member returns an older state, a
// restored backup restarts the revisions, a response is truncated, or another cluster has the
// address. None of these answers reaches a pool: the last list stays in use, and the source counts
// as silent. Updates reach the pool in order, and a full list follows after changes that may have
// been missed.
package reconcile

import (
	"maps"
	"slices"
	"time"

	"fernlanding/internal/membership"
)

// Config selects the entries that a Reconciler accepts.
type Config struct {
	Prefix  string // of all keys, including the trailing slash
	Service string
	// RestoreAfter is how long a registry of the same cluster must report a lower revision until it
	// is considered restored from a backup, and its list is accepted. 0 means never; then only
	// AcceptNext, called for an operator, accepts it.
	RestoreAfter time.Duration
}

// Reconciler holds the last valid state of every key of one service. It is not safe for concurrent
// use.
type Reconciler struct {
	cfg         Config
	cluster     string
	revision    int64
	hasSnapshot bool // whether a snapshot has been accepted
	keys        map[string]*keyState
	owners      map[string]string // key that owns a name, by name
	waiting     map[string]string // name that a key waits for, by key
	serving     int               // number of serving endpoints

	acceptNext    bool      // accept the next snapshot regardless of its revision and cluster
	lowerSince    time.Time // when a lower revision was first seen; zero if none is pending
	lowerRevision int64     // last lower revision seen
}

// New returns a Reconciler without entries.
func New(cfg Config) *Reconciler {
	return &Reconciler{
		cfg: cfg, keys: map[string]*keyState{}, owners: map[string]string{}, waiting: map[string]string{},
	}
}

// Revision returns the revision up to which all changes are known, 0 before the first snapshot.
func (r *Reconciler) Revision() int64 { return r.revision }

// List returns the present full list, ordered by key, or nil before the first snapshot.
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

// InvalidCount returns the number of entries that are invalid now.
func (r *Reconciler) InvalidCount() int {
	count := 0
	for _, state := range r.keys {
		if state.err != nil {
			count++
		}
	}
	return count
}

// AcceptNext makes the Reconciler accept the next snapshot regardless of its revision and cluster.
// An operator requests this after verifying the registry.
func (r *Reconciler) AcceptNext() { r.acceptNext = true }
