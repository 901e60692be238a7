package distribution

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// ErrFull is returned when a limit on resources or bytes has been reached.
var ErrFull = errors.New("the store is full")

// ConflictError rejects a conditional write. It is sent as JSON under the names of its fields.
type ConflictError struct {
	Resource string
	// Found is the current version, and Expected is the version that the write names.
	Found, Expected Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: version %v found, %v expected", e.Resource, e.Found, e.Expected)
}

// DeltaBaseError is returned when the base version of a delta is not the current version.
type DeltaBaseError struct {
	Resource      string
	Current, From Version
}

// Error implements error.
func (e *DeltaBaseError) Error() string {
	return fmt.Sprintf("%s: delta from version %v does not apply to version %v", e.Resource, e.From, e.Current)
}

// Store holds the resources of a source or a relay and their recent history. The version of a
// resource never decreases. A Store is not safe for concurrent use.
type Store struct {
	resources map[string]*resource
	bytes     int64
	maxBytes  int64
}

// NewStore returns an empty store that holds up to maxBytes of keys and values.
func NewStore(maxBytes int64) *Store {
	return &Store{resources: make(map[string]*resource), maxBytes: maxBytes}
}

// Len returns the number of resources.
func (s *Store) Len() int { return len(s.resources) }

// Bytes returns the size of all keys and values in bytes.
func (s *Store) Bytes() int64 { return s.bytes }

// Version returns the current version of a resource, or the zero Version if the store does not have
// the resource.
func (s *Store) Version(name string) Version {
	if r := s.resources[name]; r != nil {
		return r.version
	}
	return Version{}
}

// UrgentSince reports whether an urgent item of a resource has changed since a version.
func (s *Store) UrgentSince(name string, since Version) bool {
	r := s.resources[name]
	return r != nil && r.urgent.After(since)
}

// Plan returns the update that performs a write, with next as its version, or nil if the write
// would change nothing. Plan does not change the store; [Store.Apply] applies the update. Plan
// returns a *ConflictError, ErrFull, or an error if there are too many items.
func (s *Store) Plan(put *PutRequest, next Version) (*Update, error) {
	r := s.resources[put.Resource]
	if r == nil {
		r = &resource{}
	}
	if put.Expected != nil && *put.Expected != r.version {
		return nil, &ConflictError{Resource: put.Resource, Found: r.version, Expected: *put.Expected}
	}
	update := &Update{Resource: put.Resource, From: r.version, Version: next, Items: r.changedItems(put)}
	if len(update.Items) == 0 && !r.version.IsZero() {
		return nil, nil
	}
	if err := s.checkCapacity(put.Resource, r, update); err != nil {
		return nil, err
	}
	return update, nil
}

// Apply brings a resource to the version of an update and reports whether the resource has changed.
// An update whose version is not after the current one is ignored. The store retains the items of
// the update. Apply returns a *DeltaBaseError, ErrFull, or an error if there are too many items.
func (s *Store) Apply(u *Update) (bool, error) {
	r := s.resources[u.Resource]
	if r == nil {
		r = &resource{items: make(map[string]entry, len(u.Items))}
	}
	if !u.Version.After(r.version) {
		return false, nil
	}
	if !u.IsSnapshot() && u.From != r.version {
		return false, &DeltaBaseError{Resource: u.Resource, Current: r.version, From: u.From}
	}
	if err := s.checkCapacity(u.Resource, r, u); err != nil {
		return false, err
	}
	s.resources[u.Resource] = r
	items := u.Items
	if u.IsSnapshot() {
		items = r.changedItems(&PutRequest{Items: u.Items, Replace: true})
	}
	s.bytes += r.apply(items, u.Version, u.IsSnapshot())
	return true, nil
}

// checkCapacity returns an error if an update to a resource would exceed a limit of the store.
func (s *Store) checkCapacity(name string, r *resource, u *Update) error {
	live := r.itemCountAfter(u)
	if live > MaxItems {
		return fmt.Errorf("%s: %d items found, %d at most expected", name, live, MaxItems)
	}
	if s.resources[name] == nil && len(s.resources) >= MaxResources {
		found := len(s.resources) + 1
		return fmt.Errorf("%s: %d resources found, %d at most expected: %w", name, found, MaxResources, ErrFull)
	}
	size := s.bytes
	for i := range u.Items {
		size += itemSize(&u.Items[i])
	}
	if size > s.maxBytes {
		return fmt.Errorf("%s: %d bytes found, %d at most expected: %w", name, size, s.maxBytes, ErrFull)
	}
	return nil
}

// UpdateSince returns the update that brings a follower from a version to the current one. The
// update is a delta if the history has the changes, and a snapshot otherwise. UpdateSince returns
// nil if the follower has the current version or a later one.
func (s *Store) UpdateSince(name string, from Version) *Update {
	r := s.resources[name]
	if r == nil || !r.version.After(from) {
		return nil
	}
	first, known := r.stepAfter(from)
	if !known {
		return r.snapshot(name)
	}
	return &Update{Resource: name, From: from, Version: r.version, Items: r.changesFrom(first)}
}

// Snapshot returns a resource with all its items, sorted by key, or nil if the store does not have
// the resource.
func (s *Store) Snapshot(name string) *Update {
	r := s.resources[name]
	if r == nil {
		return nil
	}
	return r.snapshot(name)
}

// Preview returns the snapshot that a resource will have after an update from Plan is applied.
func (s *Store) Preview(u *Update) *Update {
	changed := make(map[string]bool, len(u.Items))
	after := &Update{Resource: u.Resource, Version: u.Version}
	for i := range u.Items {
		changed[u.Items[i].Key] = true
		if !u.Items[i].Deleted {
			after.Items = append(after.Items, u.Items[i])
		}
	}
	if r := s.resources[u.Resource]; r != nil {
		for key, e := range r.items {
			if !e.item.Deleted && !changed[key] {
				after.Items = append(after.Items, e.item)
			}
		}
	}
	slices.SortFunc(after.Items, compareKeys)
	return after
}

// Drop removes a resource from the store.
func (s *Store) Drop(name string) {
	if r := s.resources[name]; r != nil {
		s.bytes -= r.liveBytes
		delete(s.resources, name)
	}
}

// itemSize returns the size of an item's key and value in bytes.
func itemSize(i *Item) int64 { return int64(len(i.Key) + len(i.Value)) }

// compareKeys orders items by key.
func compareKeys(a, b Item) int { return cmp.Compare(a.Key, b.Key) }
