package distribution

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// testHoldMs is of the reads of these tests.
const testHoldMs = 4_000

var began = time.Unix(1_000, 0)

func opening(follower string, kind Kind, positions ...Position) *FollowRequest {
	return &FollowRequest{Follower: follower, Kind: kind, HoldMs: testHoldMs, Positions: positions}
}

func open(t *testing.T, s *Sessions, id string, req *FollowRequest, now time.Time) *Session {
	t.Helper()
	session, _, err := s.Open(id, req, now)
	if err != nil {
		t.Fatal(err)
	}
	return session
}

func has(resource string, v Version) Position { return Position{Resource: resource, InForce: v} }

func update(t *testing.T, store *Store, v Version, items ...Item) {
	t.Helper()
	write(t, store, &PutRequest{Resource: "r", Items: items}, v)
}

// An update waits for others of its burst, once, and an urgent one ends the wait.
func TestCoalescing(t *testing.T) {
	store, s := NewStore(testStoreBytes), NewSessions(DefaultSessionLimits())
	update(t, store, at(1, 1), set("a", "1"))
	session := open(t, s, "s1", opening("p1", KindProxy, has("r", at(1, 1))), began)
	if due, until := s.Pending(session, store, began); len(due) > 0 || !until.IsZero() {
		t.Fatalf("nothing new: %v, %v", due, until)
	}

	update(t, store, at(1, 2), set("a", "2"))
	if wake := s.ResourceChanged("r", false, began); len(wake) > 0 {
		t.Error("woken at once")
	}
	later := began.Add(s.limits.Coalesce / 2)
	update(t, store, at(1, 3), set("a", "3"))
	if wake := s.ResourceChanged("r", false, later); len(wake) > 0 || s.Counters().Coalesced != 1 {
		t.Errorf("woken %d, %d coalesced", len(wake), s.Counters().Coalesced)
	}
	if wake, next := s.ReleaseCoalesced(later); len(wake) > 0 || !next.Equal(began.Add(s.limits.Coalesce)) {
		t.Errorf("woken %d, next %v", len(wake), next)
	}
	end := began.Add(s.limits.Coalesce)
	if wake, next := s.ReleaseCoalesced(end); len(wake) != 1 || !next.IsZero() {
		t.Errorf("woken %d, next %v", len(wake), next)
	}
	if due, _ := s.Pending(session, store, end); len(due) != 1 || due[0].From != at(1, 1) {
		t.Errorf("due %v", due)
	}
	s.ReadEnded(session)

	read := &FollowRequest{Follower: "p1", Kind: KindProxy, Session: "s1", HoldMs: testHoldMs, Positions: []Position{has("r", at(1, 3))}}
	if _, err := s.Resume(read, end); err != nil {
		t.Fatal(err)
	}
	s.Pending(session, store, end)
	update(t, store, at(1, 4), set("a", "4"))
	s.ResourceChanged("r", false, end)
	urgent := set("a", "5")
	urgent.Urgent = true
	update(t, store, at(1, 5), urgent)
	if wake := s.ResourceChanged("r", true, end); len(wake) != 1 {
		t.Errorf("urgent: woken %d", len(wake))
	}
	if due, _ := s.Pending(session, store, end); len(due) != 1 {
		t.Errorf("urgent: due %v", due)
	}
}

// A refused version is not sent again; the next is, as changes to what is in force.
func TestRefusedVersion(t *testing.T) {
	limits := DefaultSessionLimits()
	limits.Coalesce = 0
	store, s := NewStore(testStoreBytes), NewSessions(limits)
	update(t, store, at(1, 1), set("a", "1"))
	update(t, store, at(1, 2), set("a", "2"))
	refused := Position{Resource: "r", InForce: at(1, 1), Rejected: at(1, 2), Reason: "no sense"}
	session := open(t, s, "s1", opening("p1", KindProxy, refused), began)
	if due, _ := s.Pending(session, store, began); len(due) > 0 {
		t.Errorf("due %v", due)
	}
	status := s.Status("r", at(1, 2))
	progress := status.Progress(at(1, 2))
	if progress.Done() || len(progress.Rejections) != 1 || progress.Rejections[0] != (Rejection{"p1", at(1, 2), "no sense"}) {
		t.Errorf("%+v", status)
	}
	update(t, store, at(1, 3), set("a", "3"))
	if due, _ := s.Pending(session, store, began); len(due) != 1 || due[0].From != at(1, 1) {
		t.Errorf("due %v", due)
	}
	if _, err := s.Resume(&FollowRequest{Follower: "p1", Kind: KindProxy, Session: "s1", Positions: []Position{has("r", at(1, 3))}}, began); err != nil {
		t.Fatal(err)
	}
	status = s.Status("r", at(1, 3))
	if progress := status.Progress(at(1, 3)); !progress.Done() || len(status.Rejections) > 0 {
		t.Errorf("%+v", status)
	}
}

func TestSessionsEnd(t *testing.T) {
	limits := DefaultSessionLimits()
	limits.Sessions = 2
	s := NewSessions(limits)
	first := open(t, s, "s1", opening("p1", KindProxy, has("r", at(1, 1))), began)
	open(t, s, "s2", opening("p2", KindProxy), began)
	if _, _, err := s.Open("s3", opening("p3", KindProxy), began); !errors.Is(err, ErrTooManySessions) {
		t.Errorf("%v", err)
	}
	again := open(t, s, "s4", opening("p1", KindProxy, has("r", at(1, 2))), began) // one follower, one session
	if !first.Ended() || again.Ended() || s.Len() != 2 {
		t.Error("the earlier session of a follower has not ended")
	}
	for _, req := range []*FollowRequest{{Follower: "p1", Kind: KindProxy, Session: "s1"}, {Follower: "p2", Kind: KindProxy, Session: "s4"}} {
		if _, err := s.Resume(req, began); !errors.Is(err, ErrUnknownSession) {
			t.Errorf("%+v: %v", req, err)
		}
	}
	last := began.Add(idleHolds * testHoldMs * time.Millisecond)
	if ended := s.Expire(last.Add(-1)); len(ended) > 0 {
		t.Errorf("%d ended too early", len(ended))
	}
	if ended := s.Expire(last); len(ended) != 2 || s.Len() != 0 || s.IsFollowed("r") || len(s.byName) > 0 {
		t.Errorf("%d ended, %d left", len(ended), s.Len())
	}
}

// Followers that name ever more resources are turned away, and leave nothing behind.
func TestFollowedResourcesAreBounded(t *testing.T) {
	s := NewSessions(DefaultSessionLimits())
	session := open(t, s, "s1", opening("p1", KindProxy), began)
	var err error
	for i := 0; err == nil && i <= 2*MaxResources; i++ {
		req := &FollowRequest{Follower: "p1", Kind: KindProxy, Session: "s1", Positions: []Position{has(fmt.Sprint("r", i), at(1, 1))}}
		_, err = s.Resume(req, began)
	}
	if !errors.Is(err, ErrFull) || len(s.followed) != MaxResources {
		t.Errorf("%v, %d resources", err, len(s.followed))
	}
	s.Close(session)
	if len(s.followed) != 0 {
		t.Errorf("%d resources left", len(s.followed))
	}
}

// Reports of relays are snapshots: the last counts, and one that is gone counts no more.
func TestMergedStatus(t *testing.T) {
	s := NewSessions(DefaultSessionLimits())
	open(t, s, "s1", opening("p1", KindProxy, has("r", at(1, 2))), began)
	relay := open(t, s, "s2", opening("relay", KindRelay, has("r", at(1, 2))), began)
	for _, behind := range []int{3, 1} {
		report := ResourceStatus{Resource: "r", Counts: []VersionCount{{at(1, 2), 10}, {at(1, 1), behind}}, Laggards: []Laggard{{"p9", at(1, 1)}}}
		if _, err := s.Resume(&FollowRequest{Follower: "relay", Kind: KindRelay, Session: "s2", Statuses: []ResourceStatus{report}}, began); err != nil {
			t.Fatal(err)
		}
	}
	status := s.Status("r", at(1, 3))
	if err := status.Validate(); err != nil {
		t.Error(err)
	}
	if want := []VersionCount{{at(1, 3), 0}, {at(1, 2), 11}, {at(1, 1), 1}}; !slices.Equal(status.Counts, want) {
		t.Errorf("%v, %v expected", status.Counts, want)
	}
	if want := []Laggard{{"p9", at(1, 1)}, {"p1", at(1, 2)}}; !slices.Equal(status.Laggards, want) {
		t.Errorf("%v, %v expected", status.Laggards, want)
	}
	s.Close(relay)
	status = s.Status("r", at(1, 2))
	if progress := status.Progress(at(1, 2)); !progress.Done() || progress.Proxies != 1 {
		t.Errorf("%+v", status)
	}
}

// A status is bounded, whatever is merged.
func TestStatusIsBounded(t *testing.T) {
	var parts []*ResourceStatus
	for p := range 5 {
		part := &ResourceStatus{Resource: "r"}
		for i := range MaxCounts {
			part.Counts = append(part.Counts, VersionCount{at(1, uint64(p*MaxCounts+i+1)), 1})
		}
		for i := range MaxLaggards {
			part.Rejections = append(part.Rejections, Rejection{fmt.Sprintf("p%d-%d", p, i), at(1, 5), "no"})
			part.Laggards = append(part.Laggards, Laggard{fmt.Sprintf("p%d-%d", p, i), at(1, 1)})
		}
		parts = append(parts, part)
	}
	merged := MergeStatus("r", at(2, 1), parts...)
	if err := merged.Validate(); err != nil {
		t.Error(err)
	}
	if progress := merged.Progress(at(2, 1)); progress.Proxies != 5*MaxCounts {
		t.Errorf("%d proxies, %d expected", progress.Proxies, 5*MaxCounts)
	}
	for revision := 1; revision <= 5*MaxCounts; revision += 7 { // a version is never said to be in force where it is not
		progress := merged.Progress(at(1, uint64(revision)))
		if most := 5*MaxCounts - revision + 1; progress.InForce > most {
			t.Errorf("revision %d: in force at %d proxies, %d at most expected", revision, progress.InForce, most)
		}
	}
}

// reader is a proxy in the model test of sessions.
type reader struct {
	replica
	name    string
	session *Session // nil: none
	reading bool
	news    time.Time // since when a change has waited for it, zero: none has
}

// relayModel is a relay with its proxies on a virtual clock.
type relayModel struct {
	t        *testing.T
	random   *rand.Rand
	store    *Store
	sessions *Sessions
	readers  []*reader
	now      time.Time
	lastID   int
	revision uint64
}

// Under random writes, lost answers, slow and dead readers, and restarts of the relay: a read that waits is answered
// within the time of coalescing, at once where an urgent item changes; the counts are those of the positions told; what a
// proxy has is what the source has; in the end all have the newest.
func TestSessionsModel(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := &relayModel{t: t, random: rand.New(rand.NewPCG(seed, 2)), store: NewStore(testStoreBytes), sessions: NewSessions(DefaultSessionLimits()), now: began}
			for i := range 6 {
				m.readers = append(m.readers, &reader{name: fmt.Sprint("p", i), replica: replica{items: make(map[string]string)}})
			}
			for range 1_000 {
				m.step()
				m.check()
			}
			m.finish()
		})
	}
}

func (m *relayModel) step() {
	m.pass(time.Duration(m.random.IntN(20)) * time.Millisecond)
	r := m.readers[m.random.IntN(len(m.readers))]
	switch n := m.random.IntN(100); {
	case n < 25:
		m.write()
	case n < 26: // the relay restarts
		m.sessions = NewSessions(DefaultSessionLimits())
		for _, r := range m.readers {
			r.reading, r.news = false, time.Time{}
		}
	case n < 28:
		m.pass(time.Duration(m.random.IntN(20)) * time.Second)
	default:
		m.read(r)
	}
}

// pass lets time pass, and has held reads released on time.
func (m *relayModel) pass(d time.Duration) {
	end := m.now.Add(d)
	for {
		wake, next := m.sessions.ReleaseCoalesced(m.now)
		m.wake(wake)
		if next.IsZero() || next.After(end) {
			break
		}
		m.now = next
	}
	m.now = end
	for _, s := range m.sessions.Expire(m.now) {
		for _, r := range m.readers {
			if r.session == s {
				r.reading, r.news = false, time.Time{}
			}
		}
	}
}

func (m *relayModel) write() {
	item := set(fmt.Sprint(m.random.IntN(5)), fmt.Sprint(m.random.IntN(100)))
	if m.random.IntN(3) == 0 {
		item = deleted(item.Key)
	}
	item.Urgent = m.random.IntN(4) == 0
	m.revision++
	if write(m.t, m.store, &PutRequest{Resource: "r", Items: []Item{item}}, at(1, m.revision)) == nil {
		return
	}
	for _, r := range m.readers {
		if r.reading && r.news.IsZero() {
			r.news = m.now
		}
	}
	m.wake(m.sessions.ResourceChanged("r", item.Urgent, m.now))
	for _, r := range m.readers {
		if r.reading && item.Urgent {
			m.t.Fatalf("%s still waits after an urgent change", r.name)
		}
	}
}

// read has a proxy read, unless it waits already. Its answer can be lost on the way.
func (m *relayModel) read(r *reader) {
	if r.reading {
		return
	}
	req := opening(r.name, KindProxy, has("r", r.at))
	if r.session != nil {
		req.Session = r.session.ID
		session, err := m.sessions.Resume(req, m.now)
		if err != nil {
			r.session = nil
			return
		}
		r.session = session
	} else {
		m.lastID++
		r.session = open(m.t, m.sessions, fmt.Sprint("s", m.lastID), req, m.now)
	}
	r.reading = true
	m.answer(r)
}

func (m *relayModel) wake(sessions []*Session) {
	for _, r := range m.readers {
		if r.reading && slices.Contains(sessions, r.session) {
			m.answer(r)
		}
	}
}

// answer ends a read if something is due.
func (m *relayModel) answer(r *reader) {
	due, _ := m.sessions.Pending(r.session, m.store, m.now)
	if len(due) == 0 {
		return
	}
	m.sessions.ReadEnded(r.session)
	r.reading, r.news = false, time.Time{}
	if m.random.IntN(5) == 0 { // lost
		r.session = nil
		return
	}
	r.take(m.t, m.store.Since("r", due[0].From))
	if !maps.Equal(r.items, contents(m.store, "r")) {
		m.t.Fatalf("%s at %v: %v found, %v expected", r.name, r.at, r.items, contents(m.store, "r"))
	}
}

// check compares counts with the positions, and the reads that wait with the time that they may.
func (m *relayModel) check() {
	counts := make(map[Version]int)
	for _, s := range m.sessions.byID {
		for _, p := range s.positions {
			counts[p.inForce]++
		}
	}
	if f := m.sessions.followed["r"]; f != nil && !maps.Equal(f.counts, counts) || f == nil && len(counts) > 0 {
		m.t.Fatalf("counts %v expected", counts)
	}
	for _, r := range m.readers {
		if r.reading && !r.news.IsZero() && m.now.Sub(r.news) > m.sessions.limits.Coalesce+20*time.Millisecond {
			m.t.Fatalf("%s has waited %v for news", r.name, m.now.Sub(r.news))
		}
	}
}

func (m *relayModel) finish() {
	for range 50 {
		m.pass(100 * time.Millisecond)
		for _, r := range m.readers {
			m.read(r)
		}
	}
	for _, r := range m.readers {
		if r.at != m.store.Version("r") || !maps.Equal(r.items, contents(m.store, "r")) {
			m.t.Fatalf("%s: version %v, %v expected", r.name, r.at, m.store.Version("r"))
		}
	}
	if !m.sessions.InForce("r", m.store.Version("r")) {
		m.t.Fatal("in force everywhere, and not known to be")
	}
}
