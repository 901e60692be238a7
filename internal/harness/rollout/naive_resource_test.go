package rollout_test

import (
	"maps"
	"slices"
	"time"

	"fernlanding/internal/distribution"
)

// naiveResource is a resource with all deltas since its last snapshot.
type naiveResource struct {
	version   distribution.Version
	items     map[string]distribution.Item
	deltas    []distribution.Update // deltas since the last snapshot
	updatedAt time.Time
	urgent    bool                 // the last update had an urgent item
	previous  *distribution.Update // snapshot of the previous version
}

// snapshot returns the resource as an update with all its items.
func (r *naiveResource) snapshot(name string) distribution.Update {
	u := distribution.Update{Resource: name, Version: r.version}
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		u.Items = append(u.Items, r.items[key])
	}
	return u
}

// apply applies an update.
func (r *naiveResource) apply(u distribution.Update) {
	previous := r.snapshot(u.Resource)
	r.previous = &previous
	if u.IsSnapshot() {
		r.items = make(map[string]distribution.Item)
		r.deltas = nil
	} else {
		r.deltas = append(r.deltas, u)
	}
	r.urgent = false
	for _, item := range u.Items {
		r.urgent = r.urgent || item.Urgent
		if item.Deleted {
			delete(r.items, item.Key)
		} else {
			item.Urgent = false
			r.items[item.Key] = item
		}
	}
	r.version = u.Version
	r.updatedAt = time.Now()
}

// since returns the update from version v to the current version. The update is a snapshot if the
// deltas do not go back to v.
func (r *naiveResource) since(name string, v distribution.Version) distribution.Update {
	i := slices.IndexFunc(r.deltas, func(u distribution.Update) bool { return u.From == v })
	if i < 0 || v.IsZero() {
		return r.snapshot(name)
	}
	out := distribution.Update{Resource: name, From: v, Version: r.version}
	changed := map[string]distribution.Item{}
	for _, u := range r.deltas[i:] {
		for _, item := range u.Items {
			item.Urgent = item.Urgent || changed[item.Key].Urgent
			changed[item.Key] = item
		}
	}
	for _, key := range slices.Sorted(maps.Keys(changed)) {
		out.Items = append(out.Items, changed[key])
	}
	return out
}
