package logic

import (
	"cmp"
	"slices"
)

const (
	initialWatchBackoff = second / 4
	// The backoff of a failed watch doubles up to Settings.PollInterval divided by
	// watchBackoffDivisor.
	watchBackoffDivisor = 8
)

// endpointList is the endpoint list as of the latest update.
type endpointList struct {
	classes int // number of classes in the settings
	byID    map[string]*endpoint
	ring    []*endpoint // ready endpoints in the order of compareRing
	ready   []*endpoint // ready endpoints, starting with the subset of this replica
}

// newEndpointList returns an empty list for the given number of classes.
func newEndpointList(classes int) endpointList {
	return endpointList{classes: classes, byID: map[string]*endpoint{}}
}

// watchState is the state of the watch of the endpoint list.
type watchState struct {
	active       bool  // whether the watch was requested and has not failed since
	backoff      int64 // time before the next attempt to watch, without jitter
	updatedAt    int64 // when the list was last updated
	overdueSince int64 // when the first poll or watch failed since the last update; 0 means that none did
}

// UpdateEndpoints handles an update of the endpoint list, or the failure of a poll or watch.
func (b *Balancer) UpdateEndpoints(now int64, h Host, kind UpdateKind, entries []Endpoint) {
	if kind == UpdateFailed {
		b.watchFailed(now, h)
		return
	}
	b.watch.updatedAt, b.watch.overdueSince = now, 0
	b.recordTakeovers(entries)
	b.endpoints.update(kind, entries)
	b.endpoints.orderBySubset(b.settings.ReplicaIndex)
	if b.settings.WatchEndpoints {
		b.startWatch(h)
	}
	b.watch.backoff = initialWatchBackoff
}

// startWatch requests the watch unless it is active.
func (b *Balancer) startWatch(h Host) {
	if !b.watch.active {
		b.watch.active = true
		h.WatchEndpoints()
	}
}

// watchFailed sets a timer for the next attempt to watch. Many replicas load the endpoint list
// service, so each replica backs off and has only one timer at a time.
func (b *Balancer) watchFailed(now int64, h Host) {
	w := &b.watch
	w.overdueSince = cmp.Or(w.overdueSince, now)
	if w.active {
		h.SetTimer(w.backoff+b.rnd.Int64N(w.backoff), watchTimer)
		w.backoff = max(initialWatchBackoff, min(2*w.backoff, b.settings.PollInterval/watchBackoffDivisor))
	}
	w.active = false
}

// Unverified reports whether the address of an endpoint may belong to another service by now: see
// [RestoredSnapshot].
func (b *Balancer) Unverified(id string) bool {
	e := b.endpoints.byID[id]
	return e != nil && e.unverified
}

// update applies an update to the list. Rule 3 is satisfied without using the drain grace: an
// endpoint gets no new attempts as soon as the list states that it is draining or removed.
func (l *endpointList) update(kind UpdateKind, entries []Endpoint) {
	for _, e := range l.byID {
		e.unverified = false // the source of any update knows more than a RestoredSnapshot
		if kind != Delta {
			e.State = Removed // unless it is among the entries
		}
	}
	for _, entry := range entries {
		l.upsert(entry).unverified = kind == RestoredSnapshot
	}
	if kind == Delta {
		l.applyDelta(entries)
	} else {
		l.rebuildRing()
	}
}

// upsert adds or replaces one entry. What was learned about an endpoint is dropped when its process
// restarts.
func (l *endpointList) upsert(entry Endpoint) *endpoint {
	e := l.byID[entry.ID]
	if e == nil {
		e = &endpoint{hash: hashID(entry.ID)}
		l.byID[entry.ID] = e
	}
	if e.ID == "" || e.StartedAt != entry.StartedAt { // new or restarted
		e.reset(l.classes)
	}
	e.Endpoint = entry
	return e
}

// rebuildRing deletes removed endpoints and collects the ready ones.
func (l *endpointList) rebuildRing() {
	l.ring = l.ring[:0]
	for id, e := range l.byID {
		switch e.State {
		case Ready:
			l.ring = append(l.ring, e)
		case Removed:
			delete(l.byID, id)
		default:
		}
	}
	slices.SortFunc(l.ring, compareRing)
}

// applyDelta has the result of rebuildRing and is faster when few entries have changed.
func (l *endpointList) applyDelta(entries []Endpoint) {
	for _, entry := range entries {
		e := l.byID[entry.ID]
		if e == nil {
			continue // removed by an earlier entry with the same ID
		}
		i, found := slices.BinarySearchFunc(l.ring, e, compareRing)
		if e.State == Ready && !found {
			l.ring = slices.Insert(l.ring, i, e)
		} else if e.State != Ready && found {
			l.ring = slices.Delete(l.ring, i, i+1)
		}
		if e.State == Removed {
			delete(l.byID, e.ID)
		}
	}
}
