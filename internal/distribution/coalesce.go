package distribution

import "time"

// coalescingSession is a session whose pending updates are delayed, so that later updates are sent
// together with them.
type coalescingSession struct {
	session *Session
	since   time.Time // start of the delay
}

// PendingUpdate identifies an update that a follower can receive: the changes of a resource since
// the version From.
type PendingUpdate struct {
	Resource string
	From     Version
}

// Pending returns the updates with which the session's read can be answered now. If updates are
// delayed for coalescing, Pending returns no updates and the time at which the delay ends. All
// pending updates are sent together, so one urgent item ends the delay for all of them. A read that
// is not answered now counts as waiting until [Sessions.ReadEnded].
func (s *Sessions) Pending(
	session *Session, store *Store, now time.Time,
) (pending []PendingUpdate, heldUntil time.Time) {
	urgent := false
	for i := range session.positions {
		p := &session.positions[i]
		if !store.Version(p.resource.name).After(p.latestSeen()) {
			continue
		}
		pending = append(pending, PendingUpdate{Resource: p.resource.name, From: p.inForce})
		urgent = urgent || p.latestSeen().IsZero() || store.UrgentSince(p.resource.name, p.latestSeen())
	}
	if len(pending) == 0 {
		session.waiting = true
		return nil, time.Time{}
	}
	if urgent || s.limits.Coalesce <= 0 {
		return pending, time.Time{}
	}
	if session.coalescingSince.IsZero() {
		s.startCoalescing(session, now)
	}
	heldUntil = session.coalescingSince.Add(s.limits.Coalesce)
	if now.Before(heldUntil) {
		session.waiting = true
		return nil, heldUntil
	}
	return pending, time.Time{}
}

// ReadEnded records that the session's read has been answered or has been canceled.
func (s *Sessions) ReadEnded(session *Session) {
	session.waiting = false
	session.coalescingSince = time.Time{}
}

// startCoalescing delays the session's pending updates from now on.
func (s *Sessions) startCoalescing(session *Session, now time.Time) {
	session.coalescingSince = now
	s.coalescing = append(s.coalescing, coalescingSession{session: session, since: now})
}

// ResourceChanged records that a resource has a new version, and returns the sessions whose reads
// can be answered now. Its running time is linear in the number of followers of the resource.
func (s *Sessions) ResourceChanged(name string, urgent bool, now time.Time) []*Session {
	f := s.followed[name]
	if f == nil {
		return nil
	}
	var ready []*Session
	for session := range f.sessions {
		if !session.waiting {
			continue
		}
		switch {
		case urgent || s.limits.Coalesce == 0:
			ready = append(ready, session)
		case session.coalescingSince.IsZero():
			s.startCoalescing(session, now)
		default:
			s.counters.Coalesced++
		}
	}
	return ready
}

// ReleaseCoalesced returns the sessions whose coalescing delay has ended, and the time at which to
// call ReleaseCoalesced again. The zero time means that no updates are delayed.
func (s *Sessions) ReleaseCoalesced(now time.Time) (ready []*Session, next time.Time) {
	released := 0
	for ; released < len(s.coalescing); released++ {
		held := s.coalescing[released]
		heldUntil := held.since.Add(s.limits.Coalesce)
		if now.Before(heldUntil) {
			next = heldUntil
			break
		}
		// Otherwise the read was already answered, by an urgent item or at the end of its hold.
		if held.session.waiting && held.session.coalescingSince.Equal(held.since) {
			ready = append(ready, held.session)
		}
	}
	s.coalescing = s.coalescing[released:]
	if len(s.coalescing) == 0 {
		s.coalescing = nil // lets the garbage collector free the sessions in the underlying array
	}
	return ready, next
}
