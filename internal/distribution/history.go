package distribution

import "slices"

// minHistoryKeys is how many changed keys the history of a resource keeps at least, beside as many
// as it has items.
const minHistoryKeys = 1_024

// historyStep is one step of a resource's history: which keys have changed between two versions.
type historyStep struct {
	from, to Version
	// gap says that the step was made by a snapshot: the versions between from and to are unknown,
	// and a key that was changed and changed back among them is not in keys.
	gap  bool
	keys []string
}

// trimHistory forgets the oldest steps of a history that has grown too long, and the deletions that
// only they had. The first version has no step, so that its deletions are forgotten at once.
func (r *resource) trimHistory() {
	drop := 0
	for drop < len(r.history) && r.historyTooLong(len(r.history)-drop) {
		r.forgetStep(&r.history[drop])
		drop++
	}
	if drop > 0 {
		// A copy, so that the array with the dropped steps is not kept alive.
		r.history = append([]historyStep(nil), r.history[drop:]...)
	}
}

// historyTooLong reports whether a history of so many steps, with historyKeys keys, exceeds its
// bounds.
func (r *resource) historyTooLong(steps int) bool {
	return r.historyKeys > r.live+minHistoryKeys || steps > minHistoryKeys
}

// forgetStep forgets the keys of a step, and the items that it deleted if no later step has them.
func (r *resource) forgetStep(step *historyStep) {
	r.historyKeys -= len(step.keys)
	for _, key := range step.keys {
		if e := r.items[key]; e.item.Deleted && e.version == step.to {
			delete(r.items, key)
		}
	}
}

// stepAfter returns the first step of the history that a follower with a version lacks, and whether
// a delta from there is all that it lacks. See "Versions" in docs/design/distribution.md.
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
	// The version is inside the step. If it is of the step's own epoch, the step's changes are
	// those that the version lacks and some more. One of an earlier epoch may be a write that the
	// source has lost.
	return i, !step.gap && from.Epoch == step.to.Epoch
}

// changesFrom returns the current items of all keys that have changed since the beginning of a
// step, each once.
func (r *resource) changesFrom(first int) []Item {
	var items []Item
	for i := first; i < len(r.history); i++ {
		step := &r.history[i]
		for _, key := range step.keys {
			if e := r.items[key]; e.version == step.to { // else a later step has the key
				items = append(items, e.item)
			}
		}
	}
	return items
}
