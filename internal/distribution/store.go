package distribution

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// historyKeys is how many changed keys a Store remembers of a resource, beside as many as it has items.
const historyKeys = 1_024

// ErrFull says that a Store has as many resources or bytes as it may.
var ErrFull = errors.New("the store is full")

// ConflictError refuses a conditional write.
type ConflictError struct {
	Resource        string
	Found, Expected Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: version %v found, %v expected", e.Resource, e.Found, e.Expected)
}

// BaseError says that an update's changes are to a version that does not stand.
type BaseError struct {
	Resource     string
	Stands, From Version
}

func (e *BaseError) Error() string {
	return fmt.Sprintf("%s: changes to version %v found, changes to version %v expected", e.Resource, e.From, e.Stands)
}

// Store holds resources at a source or a relay, and what has changed in them of late. A resource never goes back to an
// older version. It is not safe for concurrent use.
type Store struct {
	resources map[string]*resource
	bytes     int64
	maxBytes  int64
}

// resource is one resource in a Store.
type resource struct {
	version  Version
	urgent   Version // of the last change that had an urgent item
	items    map[string]entry
	live     int        // items that are not deleted
	history  []revision // oldest first, each from where the one before ends; the last ends at version
	inHist   int        // keys in it
	liveSize int64
}

// entry is an item, or what is remembered of a deleted one for as long as history has it.
type entry struct {
	item    Item
	version Version // of its last change
}

// revision is one step of a resource's history.
type revision struct {
	from, to Version
	// Versions that lie between from and to are unknown where a whole reading made the step: what was changed there and
	// back is not among the keys.
	gap  bool
	keys []string
}

// NewStore returns an empty store for so many bytes of keys and values.
func NewStore(maxBytes int64) *Store {
	return &Store{resources: make(map[string]*resource), maxBytes: maxBytes}
}

// Len is the number of resources.
func (s *Store) Len() int { return len(s.resources) }

// Bytes is the size of all keys and values.
func (s *Store) Bytes() int64 { return s.bytes }

// Names are the resources' names, sorted.
func (s *Store) Names() []string {
	names := make([]string, 0, len(s.resources))
	for name := range s.resources {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Version is the version of a resource that stands; zero where there is none.
func (s *Store) Version(name string) Version {
	if r := s.resources[name]; r != nil {
		return r.version
	}
	return Version{}
}

// Urgent tells whether an urgent item has changed since a version.
func (s *Store) Urgent(name string, since Version) bool {
	r := s.resources[name]
	return r != nil && r.urgent.After(since)
}

// Plan is the update that a write comes to, with a new version, if there is news; else nil. It changes nothing: Apply does.
func (s *Store) Plan(put *PutRequest, next Version) (*Update, error) {
	r := s.resources[put.Resource]
	if r == nil {
		r = &resource{}
	}
	if put.Expected != nil && *put.Expected != r.version {
		return nil, &ConflictError{put.Resource, r.version, *put.Expected}
	}
	update := &Update{Resource: put.Resource, From: r.version, Version: next, Items: r.news(put)}
	if len(update.Items) == 0 && !r.version.IsZero() {
		return nil, nil
	}
	if err := s.room(put.Resource, r, update); err != nil {
		return nil, err
	}
	return update, nil
}

// news are the items of a write that differ from what stands.
func (r *resource) news(put *PutRequest) []Item {
	var news []Item
	for i := range put.Items {
		if r.differs(&put.Items[i]) {
			news = append(news, put.Items[i])
		}
	}
	if put.Replace {
		news = append(news, r.missing(put.Items)...)
	}
	return news
}

// differs tells whether a change would change anything.
func (r *resource) differs(change *Item) bool {
	e, found := r.items[change.Key]
	if !found || e.item.Deleted {
		return !change.Deleted
	}
	return change.Deleted || e.item.Urgent != change.Urgent || !bytes.Equal(e.item.Value, change.Value)
}

// missing are the deletions that leave only the keys of the items.
func (r *resource) missing(items []Item) []Item {
	keys := make(map[string]bool, len(items))
	for i := range items {
		keys[items[i].Key] = true
	}
	var gone []Item
	for key, e := range r.items {
		if !e.item.Deleted && !keys[key] {
			gone = append(gone, Item{Key: key, Deleted: true, Urgent: true})
		}
	}
	slices.SortFunc(gone, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return gone
}

// room tells whether a resource can take changes.
func (s *Store) room(name string, r *resource, u *Update) error {
	live, size := r.live, int64(0)
	if u.Full() {
		live = 0
	}
	for i := range u.Items {
		item := &u.Items[i]
		e, found := r.items[item.Key]
		stands := found && !e.item.Deleted && !u.Full()
		switch {
		case !stands && !item.Deleted:
			live++
		case stands && item.Deleted:
			live--
		}
		size += itemSize(item)
	}
	if live > MaxItems {
		return fmt.Errorf("%s: %d items found, %d at most expected", name, live, MaxItems)
	}
	if s.resources[name] == nil && len(s.resources) >= MaxResources {
		return fmt.Errorf("%s: %d resources found, %d at most expected: %w", name, len(s.resources)+1, MaxResources, ErrFull)
	}
	if s.bytes+size > s.maxBytes {
		return fmt.Errorf("%s: %d bytes found, %d at most expected: %w", name, s.bytes+size, s.maxBytes, ErrFull)
	}
	return nil
}

func itemSize(i *Item) int64 { return int64(len(i.Key) + len(i.Value)) }

// Apply brings a resource to an update's version, and tells whether that was news. What is not after the version that
// stands is none. The store keeps the update's items.
func (s *Store) Apply(u *Update) (bool, error) {
	r := s.resources[u.Resource]
	if r == nil {
		r = &resource{items: make(map[string]entry, len(u.Items))}
	}
	if !u.Version.After(r.version) {
		return false, nil
	}
	if !u.Full() && u.From != r.version {
		return false, &BaseError{u.Resource, r.version, u.From}
	}
	if err := s.room(u.Resource, r, u); err != nil {
		return false, err
	}
	s.resources[u.Resource] = r
	items := u.Items
	if u.Full() {
		items = r.news(&PutRequest{Items: u.Items, Replace: true})
	}
	s.bytes += r.change(items, u.Version, u.Full())
	return true, nil
}

// change puts changes in force, and returns by how many bytes the resource has grown.
func (r *resource) change(items []Item, to Version, gap bool) int64 {
	before := r.liveSize
	step := revision{from: r.version, to: to, gap: gap, keys: make([]string, 0, len(items))}
	for i := range items {
		r.set(items[i], to)
		step.keys = append(step.keys, items[i].Key)
	}
	if !step.from.IsZero() {
		r.history = append(r.history, step)
		r.inHist += len(step.keys)
	}
	r.version = to
	r.trim()
	return r.liveSize - before
}

func (r *resource) set(item Item, to Version) {
	if old, found := r.items[item.Key]; found && !old.item.Deleted {
		r.live--
		r.liveSize -= itemSize(&old.item)
	}
	if !item.Deleted {
		r.live++
		r.liveSize += itemSize(&item)
	}
	if item.Urgent {
		r.urgent = to
	}
	r.items[item.Key] = entry{item, to}
}

// trim forgets the oldest steps of a history that has grown too long, and the deletions that only they had. A first
// version has no history, so its deletions go at once.
func (r *resource) trim() {
	drop := 0
	for drop < len(r.history) && (r.inHist > r.live+historyKeys || len(r.history)-drop > historyKeys) {
		r.forget(&r.history[drop])
		drop++
	}
	if drop > 0 {
		r.history = append([]revision(nil), r.history[drop:]...)
	}
}

func (r *resource) forget(step *revision) {
	r.inHist -= len(step.keys)
	for _, key := range step.keys {
		if e := r.items[key]; e.item.Deleted && e.version == step.to {
			delete(r.items, key)
		}
	}
}

// Since is the update that brings a follower from a version to the one that stands: the changes where they are known,
// else the whole resource. It is nil where that would be no news.
func (s *Store) Since(name string, from Version) *Update {
	r := s.resources[name]
	if r == nil || !r.version.After(from) {
		return nil
	}
	start, known := r.find(from)
	if !known {
		return r.whole(name)
	}
	update := &Update{Resource: name, From: from, Version: r.version}
	for i := start; i < len(r.history); i++ {
		step := &r.history[i]
		for _, key := range step.keys {
			if e := r.items[key]; e.version == step.to { // else a later step has it
				update.Items = append(update.Items, e.item)
			}
		}
	}
	return update
}

// find is the step of the history that follows a version, and whether its changes are all that the version lacks.
func (r *resource) find(from Version) (int, bool) {
	i, _ := slices.BinarySearchFunc(r.history, from, func(step revision, v Version) int {
		if step.to.After(v) {
			return 1
		}
		return -1
	})
	if from.IsZero() || i == len(r.history) || r.history[i].from.After(from) {
		return 0, false
	}
	step := &r.history[i]
	if step.from == from {
		return i, true
	}
	// A version inside the step: its changes are those that the version lacks and some more, if it is of the same line. One
	// of an earlier epoch may be a write that the source has lost.
	return i, !step.gap && from.Epoch == step.to.Epoch
}

// Snapshot is a resource with all its items, sorted by key, or nil.
func (s *Store) Snapshot(name string) *Update {
	r := s.resources[name]
	if r == nil {
		return nil
	}
	return r.whole(name)
}

func (r *resource) whole(name string) *Update {
	u := &Update{Resource: name, Version: r.version, Items: make([]Item, 0, r.live)}
	for _, e := range r.items {
		if !e.item.Deleted {
			u.Items = append(u.Items, e.item)
		}
	}
	slices.SortFunc(u.Items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return u
}

// Preview is the whole resource as it will be once an update is applied, which has to be one of Plan's.
func (s *Store) Preview(u *Update) *Update {
	changes := make(map[string]bool, len(u.Items))
	after := &Update{Resource: u.Resource, Version: u.Version}
	for i := range u.Items {
		changes[u.Items[i].Key] = true
		if !u.Items[i].Deleted {
			after.Items = append(after.Items, u.Items[i])
		}
	}
	if r := s.resources[u.Resource]; r != nil {
		for key, e := range r.items {
			if !e.item.Deleted && !changes[key] {
				after.Items = append(after.Items, e.item)
			}
		}
	}
	slices.SortFunc(after.Items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return after
}

// Drop forgets a resource.
func (s *Store) Drop(name string) {
	if r := s.resources[name]; r != nil {
		s.bytes -= r.liveSize
		delete(s.resources, name)
	}
}
