package distribution

import "slices"

// minHistoryKeys is the number of changed keys that the history of a resource may have in addition
// to one for each of its items. It is also the largest number of steps.
const minHistoryKeys = 1_024

// historyStep is one step of a resource's history: the keys that have changed between two versions.
type historyStep struct {
	from, to Version
	// fromSnapshot reports that the step was made by a snapshot. The versions between from and to
	// are then unknown, and keys lacks a key that was changed and changed back between them.
	fromSnapshot bool
	keys         []string
}

// trimHistory removes the oldest steps of a history that exceeds its bounds, and the deleted items
// that no later step has. The first version has no step and contains no deleted items.
func (r *resource) trimHistory() {
	drop := 0
	for drop < len(r.history) && r.historyTooLong(len(r.history)-drop) {
		r.forgetStep(&r.history[drop])
		drop++
	}
	if drop > 0 {
		// Copying lets the garbage collector free the dropped steps.
		r.history = append([]historyStep(nil), r.history[drop:]...)
	}
}

// historyTooLong reports whether a history of the given number of steps, with historyKeys keys,
// exceeds its bounds.
func (r *resource) historyTooLong(steps int) bool {
	return r.historyKeys > r.liveItems+minHistoryKeys || steps > minHistoryKeys
}

// forgetStep removes the keys of a step from the count, and the items that the step deleted if no
// later step has them.
func (r *resource) forgetStep(step *historyStep) {
	r.historyKeys -= len(step.keys)
	for _, key := range step.keys {
		if e := r.items[key]; e.item.Deleted && e.version == step.to {
			delete(r.items, key)
		}
	}
}

// stepAfter returns the index of the first step of the history that a follower with version from
// lacks, and whether the changes since the beginning of that step contain all changes that the
// follower lacks. See "Versions" in docs/design/distribution.md.
func (r *resource) stepAfter(from Version) (int, bool) {
	i, _ := slices.BinarySearchFunc(r.history, from, func(step historyStep, v Version) int {
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
	// The version lies within the step. If both have the same epoch, the step contains all changes
	// that the version lacks, and possibly more. A version of an earlier epoch may be a write that
	// the source has lost.
	return i, !step.fromSnapshot && from.Epoch == step.to.Epoch
}

// changesFrom returns the current items of all keys that have changed since the beginning of the
// step with the index first. Each item is contained once.
func (r *resource) changesFrom(first int) []Item {
	var items []Item
	for i := first; i < len(r.history); i++ {
		step := &r.history[i]
		for _, key := range step.keys {
			if e := r.items[key]; e.version == step.to { // otherwise a later step has the key
				items = append(items, e.item)
			}
		}
	}
	return items
}
