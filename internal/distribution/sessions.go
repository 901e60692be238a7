package distribution

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors of a session.
var (
	ErrUnknownSession  = errors.New("unknown session")
	ErrTooManySessions = errors.New("too many sessions")
)

// SessionLimits bound what a relay keeps of its followers.
type SessionLimits struct {
	Sessions int           // at a time
	Coalesce time.Duration // that an update without an urgent item is held back, to be sent with others
	MinIdle  time.Duration // a session ends when it has not read for 3 holds, and this at least
}

// DefaultSessionLimits are those of a relay.
func DefaultSessionLimits() SessionLimits {
	return SessionLimits{Sessions: 20_000, Coalesce: 50 * time.Millisecond, MinIdle: 3 * time.Second}
}

// idleHolds is after how many holds without a read a session ends.
const idleHolds = 3

// Sessions are what a relay knows of its followers: what each has, and what it waits for. What is due to a follower is
// worked out from the Store when it can be answered, so that there is no backlog. It is not safe for concurrent use.
type Sessions struct {
	limits   SessionLimits
	byID     map[string]*Session
	byName   map[string]*Session
	followed map[string]*followed
	lastID   uint32 // of a followed resource
	held     []heldBack
	changed  map[string]bool // resources whose status has changed since TakeChanged
	counters SessionCounters
}

// SessionCounters count since the start.
type SessionCounters struct {
	Coalesced int64 // updates that were answered together with an earlier one of the same resource
	Rejected  int64 // updates that proxies did not put in force
}

// Session is one follower of a relay.
type Session struct {
	ID       string
	Follower string
	Kind     Kind

	positions []position // by the resource's id
	end       time.Time  // when it ends without a read
	waiting   bool       // a read waits for news
	dueSince  time.Time  // since when news that wait for others have been due; zero: none are
	gone      bool
}

// position is what a follower has of a resource.
type position struct {
	resource *followed
	inForce  Version
	refused  Version
}

// has is the version after which anything is news.
func (p *position) has() Version {
	if p.refused.After(p.inForce) {
		return p.refused
	}
	return p.inForce
}

// NewSessions returns none.
func NewSessions(limits SessionLimits) *Sessions {
	return &Sessions{
		limits: limits, byID: make(map[string]*Session), byName: make(map[string]*Session),
		followed: make(map[string]*followed), changed: make(map[string]bool),
	}
}

// Len is the number of sessions.
func (s *Sessions) Len() int { return len(s.byID) }

// Counters count since the start.
func (s *Sessions) Counters() SessionCounters { return s.counters }

// Open begins a session under an ID that was never used before. It ends an earlier one of the same follower, which is
// returned.
func (s *Sessions) Open(id string, req *FollowRequest, now time.Time) (opened, replaced *Session, err error) {
	replaced = s.byName[req.Follower]
	if replaced == nil && len(s.byID) >= s.limits.Sessions {
		return nil, nil, fmt.Errorf("%w: %d found, %d at most expected", ErrTooManySessions, len(s.byID), s.limits.Sessions)
	}
	if replaced != nil {
		s.Close(replaced)
	}
	opened = &Session{ID: id, Follower: req.Follower, Kind: req.Kind}
	s.byID[id] = opened
	s.byName[req.Follower] = opened
	if err := s.take(opened, req, now); err != nil {
		s.Close(opened)
		return nil, replaced, err
	}
	return opened, replaced, nil
}

// Resume takes what a follower with a session says. A session that is left ends, so that whatever its follower said before and
// comes later is not counted.
func (s *Sessions) Resume(req *FollowRequest, now time.Time) (*Session, error) {
	session := s.byID[req.Session]
	if session == nil || session.Follower != req.Follower || session.Kind != req.Kind {
		return nil, ErrUnknownSession
	}
	if req.Leave {
		s.Close(session)
		return session, nil
	}
	return session, s.take(session, req, now)
}

func (s *Sessions) take(session *Session, req *FollowRequest, now time.Time) error {
	if req.HoldMs > 0 || session.end.IsZero() {
		idle := max(idleHolds*time.Duration(req.HoldMs)*time.Millisecond, s.limits.MinIdle)
		session.end = now.Add(idle)
	}
	for _, name := range req.Unfollowed {
		s.unfollow(session, name)
	}
	for i := range req.Positions {
		if err := s.move(session, &req.Positions[i]); err != nil {
			return err
		}
	}
	for i := range req.Statuses {
		s.report(session, &req.Statuses[i])
	}
	return nil
}

// move takes a follower's position.
func (s *Sessions) move(session *Session, to *Position) error {
	f := s.followed[to.Resource]
	if f == nil && len(s.followed) >= MaxResources {
		return fmt.Errorf("%w: %d resources are followed, %d at most expected", ErrFull, len(s.followed), MaxResources)
	}
	if f == nil {
		f = s.follow(to.Resource)
	}
	at, found := session.find(f)
	if !found {
		session.positions = slices.Insert(session.positions, at, position{resource: f})
		f.sessions[session] = struct{}{}
	}
	p := &session.positions[at]
	if session.Kind == KindProxy {
		if found {
			f.count(p.inForce, -1)
		}
		f.count(to.InForce, 1)
		f.refuse(session, to)
		if !to.Rejected.IsZero() && to.Rejected != p.refused {
			s.counters.Rejected++
		}
		s.changed[f.name] = true
	}
	p.inForce, p.refused = to.InForce, to.Rejected
	return nil
}

func (s *Session) find(f *followed) (int, bool) {
	return slices.BinarySearchFunc(s.positions, f.id, func(p position, id uint32) int { return cmp.Compare(p.resource.id, id) })
}

// unfollow takes that a follower follows a resource no more.
func (s *Sessions) unfollow(session *Session, name string) {
	f := s.followed[name]
	if f == nil {
		return
	}
	at, found := session.find(f)
	if !found {
		return
	}
	s.leave(session, &session.positions[at])
	session.positions = slices.Delete(session.positions, at, at+1)
}

func (s *Sessions) leave(session *Session, p *position) {
	f := p.resource
	if session.Kind == KindProxy {
		f.count(p.inForce, -1)
	}
	delete(f.refused, session)
	delete(f.reports, session)
	delete(f.sessions, session)
	s.changed[f.name] = true
	if len(f.sessions) == 0 {
		delete(s.followed, f.name)
	}
}

// Close ends a session.
func (s *Sessions) Close(session *Session) {
	if session.gone {
		return
	}
	session.gone = true
	for i := range session.positions {
		s.leave(session, &session.positions[i])
	}
	session.positions = nil
	delete(s.byID, session.ID)
	delete(s.byName, session.Follower)
}

// Ended tells whether the session has ended.
func (s *Session) Ended() bool { return s.gone }

// Expire ends the sessions whose followers have not read for too long, and returns them.
func (s *Sessions) Expire(now time.Time) []*Session {
	var ended []*Session
	for _, session := range s.byID {
		if !now.Before(session.end) {
			ended = append(ended, session)
		}
	}
	for _, session := range ended {
		s.Close(session)
	}
	return ended
}
