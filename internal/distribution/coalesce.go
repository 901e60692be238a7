package distribution

import "time"

// coalescingSession is a session whose pending updates are held back, so that later ones go out
// with them.
type coalescingSession struct {
	session *Session
	since   time.Time
}

// PendingUpdate is one update that a follower can get: what has changed in a resource since a
// version.
type PendingUpdate struct {
	Resource string
	From     Version
}

// Pending returns the updates that the session's read can be answered with now. If updates are held
// back for coalescing it returns none, and until when they are. All pending updates go out
// together, so one urgent item releases them all. A read that is not answered now waits from here
// on, until [Sessions.ReadEnded].
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

// ReadEnded notes that the session's read has been answered or given up.
func (s *Sessions) ReadEnded(session *Session) {
	session.waiting = false
	session.coalescingSince = time.Time{}
}

// startCoalescing holds back the session's pending updates from now on.
func (s *Sessions) startCoalescing(session *Session, now time.Time) {
	session.coalescingSince = now
	s.coalescing = append(s.coalescing, coalescingSession{session: session, since: now})
}

// ResourceChanged notes that a resource has a new version, and returns the sessions whose reads can
// be answered now. It takes time linear in the number of the resource's followers.
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

// ReleaseCoalesced returns the sessions whose updates have been held back long enough, and when to
// call it again; zero: nothing is held back.
func (s *Sessions) ReleaseCoalesced(now time.Time) (ready []*Session, next time.Time) {
	released := 0
	for ; released < len(s.coalescing); released++ {
		held := s.coalescing[released]
		heldUntil := held.since.Add(s.limits.Coalesce)
		if now.Before(heldUntil) {
			next = heldUntil
			break
		}
		// Else the read has been answered meanwhile, by an urgent item or at the end of its hold.
		if held.session.waiting && held.session.coalescingSince.Equal(held.since) {
			ready = append(ready, held.session)
		}
	}
	s.coalescing = s.coalescing[released:]
	if len(s.coalescing) == 0 {
		s.coalescing = nil // frees the sessions that the array behind it still refers to
	}
	return ready, next
}
