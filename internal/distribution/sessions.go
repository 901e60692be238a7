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

// SessionLimits are the limits of the sessions of a source or a relay.
type SessionLimits struct {
	// Sessions is the maximum number of open sessions.
	Sessions int
	// Coalesce is the time that an update without an urgent item is delayed, so that it is sent
	// together with others. 0 means no delay.
	Coalesce time.Duration
	// MinIdle is the minimum time without a read after which a session expires. A session expires
	// after idleHolds times its hold if that is longer.
	MinIdle time.Duration
}

// DefaultSessionLimits returns the limits of a relay.
func DefaultSessionLimits() SessionLimits {
	return SessionLimits{Sessions: 20_000, Coalesce: 50 * time.Millisecond, MinIdle: 3 * time.Second}
}

// idleHolds is the number of holds without a read after which a session expires.
const idleHolds = 3

// Sessions are the open sessions of a source or a relay: the positions of each follower, and the
// reads that wait. The pending updates of a follower are computed from the Store when its read can
// be answered, so that there is no backlog. Sessions is not safe for concurrent use.
type Sessions struct {
	limits          SessionLimits
	byID            map[string]*Session
	byFollower      map[string]*Session
	followed        map[string]*followedResource
	lastID          uint32 // ID of the last followedResource
	coalescing      []coalescingSession
	changedStatuses map[string]bool // resources whose status has changed since DrainChanged
	counters        SessionCounters
}

// SessionCounters are counters since the start of the process.
type SessionCounters struct {
	Coalesced int64 // updates that were sent with an earlier one of the same resource
	Rejected  int64 // updates that proxies rejected
}

// Session is one follower of a relay.
type Session struct {
	ID       string
	Follower string
	Kind     Kind

	positions       []position // sorted by the ID of the resource
	expiresAt       time.Time
	waiting         bool      // whether a read waits for an update
	coalescingSince time.Time // time since which pending updates are delayed; zero means none are
	closed          bool
}

// position states which version of a resource a follower has.
type position struct {
	resource *followedResource
	inForce  Version
	rejected Version
}

// latestSeen returns the latest version that the follower has applied or rejected. The follower
// receives only later versions.
func (p *position) latestSeen() Version {
	if p.rejected.After(p.inForce) {
		return p.rejected
	}
	return p.inForce
}

// NewSessions returns a Sessions without open sessions.
func NewSessions(limits SessionLimits) *Sessions {
	return &Sessions{
		limits:          limits,
		byID:            make(map[string]*Session),
		byFollower:      make(map[string]*Session),
		followed:        make(map[string]*followedResource),
		changedStatuses: make(map[string]bool),
	}
}

// Len returns the number of open sessions.
func (s *Sessions) Len() int { return len(s.byID) }

// Counters returns the counters.
func (s *Sessions) Counters() SessionCounters { return s.counters }

// Open opens a session with an ID that has not been used before. It closes an earlier session of
// the same follower and returns that session as replaced. The error is ErrTooManySessions or
// ErrFull.
func (s *Sessions) Open(id string, req *FollowRequest, now time.Time) (opened, replaced *Session, err error) {
	replaced = s.byFollower[req.Follower]
	if replaced == nil && len(s.byID) >= s.limits.Sessions {
		err = fmt.Errorf("%w: %d found, %d at most expected", ErrTooManySessions, len(s.byID), s.limits.Sessions)
		return nil, nil, err
	}
	if replaced != nil {
		s.Close(replaced)
	}
	opened = &Session{ID: id, Follower: req.Follower, Kind: req.Kind}
	s.byID[id] = opened
	s.byFollower[req.Follower] = opened
	if err := s.applyRequest(opened, req, now); err != nil {
		s.Close(opened)
		return nil, replaced, err
	}
	return opened, replaced, nil
}

// Resume applies a further request of a session. A request with Leave set closes the session, so
// that an earlier request of the same follower that arrives later is not counted. The error is
// ErrUnknownSession, or ErrFull together with the session.
func (s *Sessions) Resume(req *FollowRequest, now time.Time) (*Session, error) {
	session := s.byID[req.Session]
	if session == nil || session.Follower != req.Follower || session.Kind != req.Kind {
		return nil, ErrUnknownSession
	}
	if req.Leave {
		s.Close(session)
		return session, nil
	}
	return session, s.applyRequest(session, req, now)
}

// applyRequest applies the content of a request to its session.
func (s *Sessions) applyRequest(session *Session, req *FollowRequest, now time.Time) error {
	if req.HoldMs > 0 || session.expiresAt.IsZero() {
		idle := max(idleHolds*time.Duration(req.HoldMs)*time.Millisecond, s.limits.MinIdle)
		session.expiresAt = now.Add(idle)
	}
	for _, name := range req.Unfollowed {
		s.unfollow(session, name)
	}
	for i := range req.Positions {
		if err := s.applyPosition(session, &req.Positions[i]); err != nil {
			return err
		}
	}
	for i := range req.Statuses {
		s.applyReport(session, &req.Statuses[i])
	}
	return nil
}

// applyPosition records the position of a follower in a resource. The follower follows the resource
// from then on.
func (s *Sessions) applyPosition(session *Session, to *Position) error {
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
			f.adjustCount(p.inForce, -1)
		}
		f.adjustCount(to.InForce, 1)
		f.setRejection(session, to)
		if !to.Rejected.IsZero() && to.Rejected != p.rejected {
			s.counters.Rejected++
		}
		s.changedStatuses[f.name] = true
	}
	p.inForce = to.InForce
	p.rejected = to.Rejected
	return nil
}

// find returns the index of the position of a resource, or the index at which to insert the
// position, and whether the session has a position of the resource.
func (s *Session) find(f *followedResource) (int, bool) {
	byID := func(p position, id uint32) int { return cmp.Compare(p.resource.id, id) }
	return slices.BinarySearchFunc(s.positions, f.id, byID)
}

// unfollow removes a resource from those that a session follows.
func (s *Sessions) unfollow(session *Session, name string) {
	f := s.followed[name]
	if f == nil {
		return
	}
	at, found := session.find(f)
	if !found {
		return
	}
	s.detach(session, &session.positions[at])
	session.positions = slices.Delete(session.positions, at, at+1)
}

// detach removes a session from the status of a resource, and removes the resource if no other
// session follows it.
func (s *Sessions) detach(session *Session, p *position) {
	f := p.resource
	if session.Kind == KindProxy {
		f.adjustCount(p.inForce, -1)
	}
	delete(f.rejections, session)
	delete(f.reports, session)
	delete(f.sessions, session)
	s.changedStatuses[f.name] = true
	if len(f.sessions) == 0 {
		delete(s.followed, f.name)
	}
}

// Close closes a session. Closing it again has no effect.
func (s *Sessions) Close(session *Session) {
	if session.closed {
		return
	}
	session.closed = true
	for i := range session.positions {
		s.detach(session, &session.positions[i])
	}
	session.positions = nil
	delete(s.byID, session.ID)
	delete(s.byFollower, session.Follower)
}

// Closed reports whether the session has been closed.
func (s *Session) Closed() bool { return s.closed }

// Expire closes and returns the sessions that have been idle for too long.
func (s *Sessions) Expire(now time.Time) []*Session {
	var expired []*Session
	for _, session := range s.byID {
		if !now.Before(session.expiresAt) {
			expired = append(expired, session)
		}
	}
	for _, session := range expired {
		s.Close(session)
	}
	return expired
}
