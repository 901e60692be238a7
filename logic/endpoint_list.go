package logic

import (
	"cmp"
	"slices"
)

const (
	initialWatchBackoff = second / 4
	watchBackoffDivisor = 8 // the backoff of a failed watch doubles up to Settings.PollInterval over this
)

// endpointList is the endpoint list as last known.
type endpointList struct {
	classes int // of the settings
	byID    map[string]*endpoint
	ring    []*endpoint // the ready ones, by compareRing
	ready   []*endpoint // the same, this replica's subset first
}

// newEndpointList returns an empty list for so many classes of requests.
func newEndpointList(classes int) endpointList {
	return endpointList{classes: classes, byID: map[string]*endpoint{}}
}

// watchState is the state of the watch of the endpoint list.
type watchState struct {
	active       bool  // it was asked for
	backoff      int64 // before the next attempt at a watch
	updatedAt    int64 // when the list was last updated
	overdueSince int64 // when the first poll or watch failed since the last update; 0: none has
}

// UpdateEndpoints takes an update of the endpoint list, or the failure of one.
func (b *Balancer) UpdateEndpoints(now int64, h Host, kind UpdateKind, entries []Endpoint) {
	if kind == UpdateFailed {
		b.watchFailed(now, h)
		return
	}
	b.watch.updatedAt, b.watch.overdueSince = now, 0
	b.endpoints.update(kind, entries)
	b.endpoints.orderBySubset(b.settings.ReplicaIndex)
	if b.settings.WatchEndpoints {
		b.startWatch(h)
	}
	b.watch.backoff = initialWatchBackoff
}

// startWatch opens the watch, unless it is active.
func (b *Balancer) startWatch(h Host) {
	if !b.watch.active {
		b.watch.active = true
		h.WatchEndpoints()
	}
}

// watchFailed sets a timer for the next attempt at a watch. Many replicas keep the list service
// busy: each backs off and has one timer at a time.
func (b *Balancer) watchFailed(now int64, h Host) {
	w := &b.watch
	w.overdueSince = cmp.Or(w.overdueSince, now)
	if w.active {
		h.SetTimer(w.backoff+b.rnd.Int64N(w.backoff), watchTimer)
		w.backoff = max(initialWatchBackoff, min(2*w.backoff, b.settings.PollInterval/watchBackoffDivisor))
	}
	w.active = false
}

// Unverified reports whether an endpoint may be another service's by now: see [RestoredSnapshot].
func (b *Balancer) Unverified(id string) bool {
	e := b.endpoints.byID[id]
	return e != nil && e.unverified
}

// update takes an update. Rule 3 holds with no grace used: an endpoint gets no new attempt from the
// moment that the list says that it drains or is removed.
func (l *endpointList) update(kind UpdateKind, entries []Endpoint) {
	for _, e := range l.byID {
		e.unverified = false // any update comes from a source that knows better
		if kind != Delta {
			e.State = Removed // unless listed below
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

// upsert takes one entry. What was learned of an endpoint is dropped when its process restarts.
func (l *endpointList) upsert(entry Endpoint) *endpoint {
	e := l.byID[entry.ID]
	if e == nil {
		e = &endpoint{hash: hashID(entry.ID)}
		l.byID[entry.ID] = e
	}
	if e.ID == "" || e.StartedAt != entry.StartedAt { // new, or restarted
		e.reset(l.classes)
	}
	e.Endpoint = entry
	return e
}

// rebuildRing forgets removed endpoints and gathers the ready ones.
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

// applyDelta does what rebuildRing does where a few entries have changed.
func (l *endpointList) applyDelta(entries []Endpoint) {
	for _, entry := range entries {
		e := l.byID[entry.ID]
		if e == nil {
			continue // listed twice, and removed
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
