package distribution

import "time"

// heldBack is a session whose news wait for others.
type heldBack struct {
	session *Session
	since   time.Time
}

// PendingUpdate is one update that a follower can get.
type PendingUpdate struct {
	Resource string
	From     Version
}

// Pending is what a follower can get now, and whether it is to be held back, and until when. What is due in part is due as a
// whole: everything goes together. A read that is not answered now waits from here on.
func (s *Sessions) Pending(session *Session, store *Store, now time.Time) (due []PendingUpdate, until time.Time) {
	urgent := false
	for i := range session.positions {
		p := &session.positions[i]
		if !store.Version(p.resource.name).After(p.has()) {
			continue
		}
		due = append(due, PendingUpdate{p.resource.name, p.inForce})
		urgent = urgent || p.has().IsZero() || store.Urgent(p.resource.name, p.has())
	}
	if len(due) == 0 {
		session.waiting = true
		return nil, time.Time{}
	}
	if !urgent && s.limits.Coalesce > 0 {
		if session.dueSince.IsZero() {
			s.hold(session, now)
		}
		if until = session.dueSince.Add(s.limits.Coalesce); now.Before(until) {
			session.waiting = true
			return nil, until
		}
	}
	return due, time.Time{}
}

// ReadEnded says that a read of a session has ended.
func (s *Sessions) ReadEnded(session *Session) {
	session.waiting = false
	session.dueSince = time.Time{}
}

func (s *Sessions) hold(session *Session, now time.Time) {
	session.dueSince = now
	s.held = append(s.held, heldBack{session, now})
}

// ResourceChanged says that a resource has a new version, and returns the sessions whose reads can be answered now. Its time is in
// the number of the resource's followers.
func (s *Sessions) ResourceChanged(name string, urgent bool, now time.Time) []*Session {
	f := s.followed[name]
	if f == nil {
		return nil
	}
	var wake []*Session
	for session := range f.sessions {
		if !session.waiting {
			continue
		}
		switch {
		case urgent || s.limits.Coalesce == 0:
			wake = append(wake, session)
		case session.dueSince.IsZero():
			s.hold(session, now)
		default:
			s.counters.Coalesced++
		}
	}
	return wake
}

// ReleaseCoalesced returns the sessions whose reads have been held back long enough, and when the next will have been; zero: none
// is held back.
func (s *Sessions) ReleaseCoalesced(now time.Time) (wake []*Session, next time.Time) {
	n := 0
	for ; n < len(s.held); n++ {
		h := s.held[n]
		if at := h.since.Add(s.limits.Coalesce); now.Before(at) {
			next = at
			break
		}
		if h.session.waiting && h.session.dueSince.Equal(h.since) {
			wake = append(wake, h.session)
		}
	}
	s.held = s.held[n:]
	if len(s.held) == 0 {
		s.held = nil
	}
	return wake, next
}
