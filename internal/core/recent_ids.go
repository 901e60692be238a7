package core

import "hash/maphash"

// maxRecentIDs is the limit of the IDs in a recentIDs. The oldest ID is dropped for a new one.
const maxRecentIDs = 1 << 14

// recentIDs holds the IDs of requests that ended recently, as hashes. It is not safe for concurrent
// use.
type recentIDs struct {
	window int64 // microseconds after which an ID is dropped
	seed   maphash.Seed
	known  map[uint64]struct{}
	order  []recentID // in the order of addition
}

// recentID is an ID in a recentIDs.
type recentID struct {
	hash    uint64
	addedAt int64 // in microseconds
}

// newRecentIDs returns a recentIDs that drops IDs after a number of microseconds.
func newRecentIDs(window int64) *recentIDs {
	return &recentIDs{window: window, seed: maphash.MakeSeed(), known: map[uint64]struct{}{}}
}

// add adds an ID.
func (r *recentIDs) add(now int64, id string) {
	r.dropExpired(now)
	if len(r.order) >= maxRecentIDs {
		r.dropOldest()
	}
	hash := maphash.String(r.seed, id)
	if _, ok := r.known[hash]; ok {
		return
	}
	r.known[hash] = struct{}{}
	r.order = append(r.order, recentID{hash: hash, addedAt: now})
}

// contains reports whether an ID was added within the window.
func (r *recentIDs) contains(now int64, id string) bool {
	r.dropExpired(now)
	_, ok := r.known[maphash.String(r.seed, id)]
	return ok
}

// dropExpired drops the IDs whose window is over.
func (r *recentIDs) dropExpired(now int64) {
	for len(r.order) > 0 && now-r.order[0].addedAt >= r.window {
		r.dropOldest()
	}
}

// dropOldest drops the ID that was added first.
func (r *recentIDs) dropOldest() {
	delete(r.known, r.order[0].hash)
	r.order = r.order[1:] // append copies the rest once the array is full
}
