package distribution

import (
	"bytes"
	"slices"
)

// resource is one resource in a Store.
type resource struct {
	version   Version
	urgent    Version // version of the last change with an urgent item
	items     map[string]entry
	liveItems int   // number of items that are not deleted
	liveBytes int64 // size of the keys and values of these items

	// history has the oldest step first. Each step begins at the version at which the previous one
	// ends, and the last step ends at version.
	history     []historyStep
	historyKeys int // number of keys in all steps
}

// entry is an item, or a deleted item as long as the history contains its deletion.
type entry struct {
	item    Item
	version Version // version of the last change of the item
}

// changedItems returns the items of a write that differ from the current ones. A replacing write
// deletes the keys that are not among its items.
func (r *resource) changedItems(put *PutRequest) []Item {
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

// differs reports whether a change differs from the current item.
func (r *resource) differs(change *Item) bool {
	e, found := r.items[change.Key]
	if !found || e.item.Deleted {
		return !change.Deleted
	}
	return change.Deleted || e.item.Urgent != change.Urgent || !bytes.Equal(e.item.Value, change.Value)
}

// deletionsFor returns the deletions of all keys that are not in items, sorted by key. The
// deletions are urgent, because an endpoint that is missing from a complete list is out of use.
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

// itemCountAfter returns the number of items that the resource has after an update.
func (r *resource) itemCountAfter(u *Update) int {
	live := r.liveItems
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

// apply applies changes and returns by how many bytes the resource has grown. If fromSnapshot is
// set, the changes come from a snapshot and the versions between the current one and to are
// unknown.
func (r *resource) apply(items []Item, to Version, fromSnapshot bool) int64 {
	sizeBefore := r.liveBytes
	step := historyStep{from: r.version, to: to, fromSnapshot: fromSnapshot, keys: make([]string, 0, len(items))}
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
	return r.liveBytes - sizeBefore
}

// setItem applies one change.
func (r *resource) setItem(item Item, to Version) {
	if old, found := r.items[item.Key]; found && !old.item.Deleted {
		r.liveItems--
		r.liveBytes -= itemSize(&old.item)
	}
	if !item.Deleted {
		r.liveItems++
		r.liveBytes += itemSize(&item)
	}
	if item.Urgent {
		r.urgent = to
	}
	r.items[item.Key] = entry{item: item, version: to}
}

// snapshot returns all items, sorted by key.
func (r *resource) snapshot(name string) *Update {
	u := &Update{Resource: name, Version: r.version, Items: make([]Item, 0, r.liveItems)}
	for _, e := range r.items {
		if !e.item.Deleted {
			u.Items = append(u.Items, e.item)
		}
	}
	slices.SortFunc(u.Items, compareKeys)
	return u
}
