package reconcile

import (
	"errors"
	"fmt"

	"fernlanding/internal/membership"
)

// Bounds of what is accepted.
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
	Cluster  string // of the registry that has answered; empty: it does not say
	Revision int64  // at which it was read
	Count    int64  // of entries, as the answer's header has it; negative: it does not say
	Entries  []Entry
}

// Event is a change of one key.
type Event struct {
	Entry
	Revision int64
	Deleted  bool
}

// Delta is a batch of changes. It has all changes of a revision, or none of them.
type Delta struct {
	Cluster  string
	Revision int64 // up to which there are no other changes
	Events   []Event
}

// The reasons for which a snapshot or a delta is rejected as a whole.
var (
	ErrClusterChanged = errors.New("another cluster")
	ErrStaleRevision  = errors.New("an older revision than one already seen")
	ErrCountMismatch  = errors.New("header and entries disagree")
	ErrTooManyEntries = errors.New("too many entries")
	ErrOutOfOrder     = errors.New("changes beyond the revision that their header states")
)

// The reasons for which an entry is invalid, besides what its value has wrong.
var (
	errKeyPattern    = errors.New("a key outside the pattern PREFIX/SERVICE/INSTANCE")
	errNameTaken     = errors.New("another key has this name")
	errValueTooLarge = fmt.Errorf("over %d bytes", maxValueBytes)
)

// Result is what an accepted snapshot or delta changes for a pool.
type Result struct {
	List *membership.List // what the pool has to be notified of; nil: nothing
	// RemovedServing is how many serving endpoints stopped serving in this step, ServingBefore how
	// many served before it.
	RemovedServing, ServingBefore int
	// Invalid has the entries that have become invalid; each is reported once.
	Invalid []InvalidEntry
}

// RemovesMajority reports whether more than half of the serving endpoints stopped serving in this
// step.
func (r *Result) RemovesMajority() bool { return r.RemovedServing*2 > r.ServingBefore }

// addInvalid adds an entry to those that have become invalid; nil adds none.
func (r *Result) addInvalid(invalid *InvalidEntry) {
	if invalid != nil {
		r.Invalid = append(r.Invalid, *invalid)
	}
}

// InvalidEntry is an entry that is left out, or stands as draining with its last valid state.
type InvalidEntry struct {
	Key string
	Err error
}
