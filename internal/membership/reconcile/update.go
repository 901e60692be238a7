package reconcile

import (
	"errors"
	"fmt"

	"fernlanding/internal/membership"
)

// Limits of accepted updates.
const (
	maxValueBytes = 16 << 10 // of an entry's value
	maxEntries    = 100_000
	maxNameBytes  = 256
)

// Entry is a key of a registry with its value.
type Entry struct {
	Key   string
	Value []byte
}

// Snapshot is a full read of a registry.
type Snapshot struct {
	Cluster  string // cluster of the registry that answered; empty if unknown
	Revision int64  // revision of the read
	Count    int64  // number of entries according to the response header; negative if unknown
	Entries  []Entry
}

// Event is a change of one key.
type Event struct {
	Entry
	Revision int64
	Deleted  bool
}

// Delta is a batch of changes. For each revision it has all changes or none.
type Delta struct {
	Cluster  string
	Revision int64 // revision up to which there are no other changes
	Events   []Event
}

// The reasons for rejecting a whole snapshot or delta.
var (
	ErrClusterChanged = errors.New("registry cluster changed")
	ErrStaleRevision  = errors.New("stale revision")
	ErrCountMismatch  = errors.New("entry count mismatch")
	ErrTooManyEntries = errors.New("too many entries")
	ErrOutOfOrder     = errors.New("change out of order")
)

// The reasons why an entry is invalid, apart from errors in its value.
var (
	errKeyPattern    = errors.New("key does not match the pattern PREFIX/SERVICE/INSTANCE")
	errNameTaken     = errors.New("name is used by another key")
	errValueTooLarge = fmt.Errorf("value exceeds the limit of %d bytes", maxValueBytes)
)

// Result is the effect of an accepted snapshot or delta on a pool.
type Result struct {
	List *membership.List // update for the pool; nil if nothing has changed
	// RemovedServing is the number of serving endpoints that this update stopped from serving.
	// ServingBefore is the number of serving endpoints before it.
	RemovedServing, ServingBefore int
	// Invalid has the entries that have become invalid. Each is reported once per error.
	Invalid []InvalidEntry
}

// RemovesMajority reports whether the update stopped more than half of the serving endpoints from
// serving.
func (r *Result) RemovesMajority() bool { return r.RemovedServing*2 > r.ServingBefore }

// addInvalid adds an entry that has become invalid; nil adds none.
func (r *Result) addInvalid(invalid *InvalidEntry) {
	if invalid != nil {
		r.Invalid = append(r.Invalid, *invalid)
	}
}

// InvalidEntry is an entry that is left out, or is draining with its last valid state.
type InvalidEntry struct {
	Key string
	Err error
}
