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
	Sessions  int           // at a time
	Coalesce  time.Duration // that an update without an urgent item is held back, to be sent with others
	LeastIdle time.Duration // a session ends when it has not read for 3 holds, and this at least
}

// DefaultSessionLimits are those of a relay.
func DefaultSessionLimits() SessionLimits {
	return SessionLimits{Sessions: 20_000, Coalesce: 50 * time.Millisecond, LeastIdle: 3 * time.Second}
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
	Refused   int64 // updates that proxies did not put in force
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

// followed is a resource that somebody follows.
type followed struct {
	id       uint32
	name     string
	sessions map[*Session]struct{}
	proxies  int
	counts   map[Version]int             // of proxies of this relay
	refused  map[*Session]Refusal        // of proxies of this relay
	reports  map[*Session]ResourceStatus // of the relays behind this one
}

// heldBack is a session whose news wait for others.
type heldBack struct {
	session *Session
	since   time.Time
}

// NewSessions returns none.
func NewSessions(limits SessionLimits) *Sessions {
	return &Sessions{limits: limits, byID: make(map[string]*Session), byName: make(map[string]*Session),
		followed: make(map[string]*followed), changed: make(map[string]bool)}
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

// Take takes what a follower with a session says.
func (s *Sessions) Take(req *FollowRequest, now time.Time) (*Session, error) {
	session := s.byID[req.Session]
	if session == nil || session.Follower != req.Follower || session.Kind != req.Kind {
		return nil, ErrUnknownSession
	}
	return session, s.take(session, req, now)
}

func (s *Sessions) take(session *Session, req *FollowRequest, now time.Time) error {
	if req.HoldMs > 0 || session.end.IsZero() {
		idle := max(idleHolds*time.Duration(req.HoldMs)*time.Millisecond, s.limits.LeastIdle)
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
		if !to.Refused.IsZero() && to.Refused != p.refused {
			s.counters.Refused++
		}
		s.changed[f.name] = true
	}
	p.inForce, p.refused = to.InForce, to.Refused
	return nil
}

func (s *Sessions) follow(name string) *followed {
	s.lastID++
	f := &followed{id: s.lastID, name: name, sessions: make(map[*Session]struct{}), counts: make(map[Version]int)}
	s.followed[name] = f
	return f
}

func (f *followed) count(v Version, by int) {
	f.proxies += by
	if f.counts[v] += by; f.counts[v] == 0 {
		delete(f.counts, v)
	}
}

func (f *followed) refuse(session *Session, p *Position) {
	if p.Refused.IsZero() {
		delete(f.refused, session)
		return
	}
	if f.refused == nil {
		f.refused = make(map[*Session]Refusal)
	}
	f.refused[session] = Refusal{session.Follower, p.Refused, p.Reason}
}

// report takes the status that a relay reports of the followers behind it.
func (s *Sessions) report(session *Session, status *ResourceStatus) {
	f := s.followed[status.Resource]
	if f == nil {
		return
	}
	if _, found := session.find(f); !found {
		return // it reports what it follows
	}
	if f.reports == nil {
		f.reports = make(map[*Session]ResourceStatus)
	}
	f.reports[session] = *status
	s.changed[f.name] = true
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

// Gone tells whether the session has ended.
func (s *Session) Gone() bool { return s.gone }

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

// Due is one update that a follower can get.
type Due struct {
	Resource string
	From     Version
}

// Due is what a follower can get now, and whether it is to be held back, and until when. What is due in part is due as a
// whole: everything goes together. A read that is not answered now waits from here on.
func (s *Sessions) Due(session *Session, store *Store, now time.Time) (due []Due, until time.Time) {
	urgent := false
	for i := range session.positions {
		p := &session.positions[i]
		if !store.Version(p.resource.name).After(p.has()) {
			continue
		}
		due = append(due, Due{p.resource.name, p.inForce})
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

// Answered says that a read of a session has ended.
func (s *Sessions) Answered(session *Session) {
	session.waiting = false
	session.dueSince = time.Time{}
}

func (s *Sessions) hold(session *Session, now time.Time) {
	session.dueSince = now
	s.held = append(s.held, heldBack{session, now})
}

// Changed says that a resource has a new version, and returns the sessions whose reads can be answered now. Its time is in
// the number of the resource's followers.
func (s *Sessions) Changed(name string, urgent bool, now time.Time) []*Session {
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

// Release returns the sessions whose reads have been held back long enough, and when the next will have been; zero: none
// is held back.
func (s *Sessions) Release(now time.Time) (wake []*Session, next time.Time) {
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

// Followed are the names of the resources that somebody follows, sorted.
func (s *Sessions) Followed() []string {
	names := make([]string, 0, len(s.followed))
	for name := range s.followed {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Follows tells whether somebody follows a resource.
func (s *Sessions) Follows(name string) bool { return s.followed[name] != nil }

// TakeChanged returns the resources whose status has changed since the last call, sorted.
func (s *Sessions) TakeChanged() []string {
	names := make([]string, 0, len(s.changed))
	for name := range s.changed {
		names = append(names, name)
	}
	clear(s.changed)
	slices.Sort(names)
	return names
}

// Complete tells whether all proxies that follow a resource have its latest version in force, as far as is known here.
func (s *Sessions) Complete(name string, latest Version) bool {
	f := s.followed[name]
	if f == nil {
		return true
	}
	if f.counts[latest] != f.proxies {
		return false
	}
	for _, report := range f.reports {
		for _, c := range report.Counts {
			if c.Proxies > 0 && latest.After(c.Version) {
				return false
			}
		}
	}
	return true
}

// Status is how far a resource is in force at the proxies behind this relay.
func (s *Sessions) Status(name string, latest Version) ResourceStatus {
	f := s.followed[name]
	if f == nil {
		return MergeStatus(name, latest)
	}
	parts := []*ResourceStatus{f.own(latest)}
	for _, report := range f.reports {
		parts = append(parts, &report)
	}
	return MergeStatus(name, latest, parts...)
}

// own is the status of the proxies that read here.
func (f *followed) own(latest Version) *ResourceStatus {
	status := &ResourceStatus{Resource: f.name}
	for v, n := range f.counts {
		status.Counts = append(status.Counts, VersionCount{v, n})
	}
	for _, refusal := range f.refused {
		status.Refusals = append(status.Refusals, refusal)
	}
	if f.counts[latest] == f.proxies {
		return status
	}
	for session := range f.sessions {
		if session.Kind != KindProxy {
			continue
		}
		at, _ := session.find(f)
		if p := &session.positions[at]; latest.After(p.inForce) {
			status.Behind = append(status.Behind, Laggard{session.Follower, p.inForce})
		}
	}
	return status
}
