package distribution

import (
	"bytes"
	"slices"
)

// resource is one resource in a Store.
type resource struct {
	version  Version
	urgent   Version // of the last change with an urgent item
	items    map[string]entry
	live     int   // items that are not deleted
	liveSize int64 // of their keys and values

	history     []historyStep // oldest first, each from where the one before ends; the last ends at version
	historyKeys int           // in all steps
}

// entry is an item, or a deleted one for as long as the history has its deletion.
type entry struct {
	item    Item
	version Version // of its last change
}

// changes returns the items of a write that differ from the current ones. A replacing write deletes
// the keys it lacks.
func (r *resource) changes(put *PutRequest) []Item {
	var changes []Item
	for i := range put.Items {
		if r.differs(&put.Items[i]) {
			changes = append(changes, put.Items[i])
		}
	}
	if put.Replace {
		changes = append(changes, r.deletionsFor(put.Items)...)
	}
	return changes
}

// differs reports whether an item is not the current one.
func (r *resource) differs(change *Item) bool {
	e, found := r.items[change.Key]
	if !found || e.item.Deleted {
		return !change.Deleted
	}
	return change.Deleted || e.item.Urgent != change.Urgent || !bytes.Equal(e.item.Value, change.Value)
}

// deletionsFor returns the deletions that leave only the keys of the items, sorted by key. They are
// urgent: what is missing from a complete endpoint list is out of use.
func (r *resource) deletionsFor(items []Item) []Item {
	kept := make(map[string]bool, len(items))
	for i := range items {
		kept[items[i].Key] = true
	}
	var deletions []Item
	for key, e := range r.items {
		if !e.item.Deleted && !kept[key] {
			deletions = append(deletions, Item{Key: key, Deleted: true, Urgent: true})
		}
	}
	slices.SortFunc(deletions, compareKeys)
	return deletions
}

// liveAfter returns how many items the resource has after an update.
func (r *resource) liveAfter(u *Update) int {
	live := r.live
	if u.IsSnapshot() {
		live = 0
	}
	for i := range u.Items {
		item := &u.Items[i]
		e, found := r.items[item.Key]
		existing := found && !e.item.Deleted && !u.IsSnapshot()
		switch {
		case !existing && !item.Deleted:
			live++
		case existing && item.Deleted:
			live--
		}
	}
	return live
}

// apply makes changes, and returns by how many bytes the resource has grown. Gap says that the
// changes come from a snapshot, so that versions between the current one and to are unknown.
func (r *resource) apply(items []Item, to Version, gap bool) int64 {
	sizeBefore := r.liveSize
	step := historyStep{from: r.version, to: to, gap: gap, keys: make([]string, 0, len(items))}
	for i := range items {
		r.setItem(items[i], to)
		step.keys = append(step.keys, items[i].Key)
	}
	if !step.from.IsZero() {
		r.history = append(r.history, step)
		r.historyKeys += len(step.keys)
	}
	r.version = to
	r.trimHistory()
	return r.liveSize - sizeBefore
}

// setItem makes one change.
func (r *resource) setItem(item Item, to Version) {
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
	r.items[item.Key] = entry{item: item, version: to}
}

// snapshot returns all items, sorted by key.
func (r *resource) snapshot(name string) *Update {
	u := &Update{Resource: name, Version: r.version, Items: make([]Item, 0, r.live)}
	for _, e := range r.items {
		if !e.item.Deleted {
			u.Items = append(u.Items, e.item)
		}
	}
	slices.SortFunc(u.Items, compareKeys)
	return u
}
