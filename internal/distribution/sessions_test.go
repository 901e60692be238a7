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

// testHoldMs is the hold of the reads in these tests.
const testHoldMs = 4_000

// testStart is when the tests begin on their virtual clock.
var testStart = time.Unix(1_000, 0)

// openRequest returns a first read.
func openRequest(follower string, kind Kind, positions ...Position) *FollowRequest {
	return &FollowRequest{Follower: follower, Kind: kind, HoldMs: testHoldMs, Positions: positions}
}

// open opens a session.
func open(t *testing.T, s *Sessions, id string, req *FollowRequest, now time.Time) *Session {
	t.Helper()
	session, _, err := s.Open(id, req, now)
	if err != nil {
		t.Fatal(err)
	}
	return session
}

// has returns a position.
func has(resource string, v Version) Position { return Position{Resource: resource, InForce: v} }

// update writes items of the resource "r".
func update(t *testing.T, store *Store, v Version, items ...Item) {
	t.Helper()
	write(t, store, &PutRequest{Resource: "r", Items: items}, v)
}

// An update is held back for others of its burst, once; an urgent one ends the hold.
func TestCoalescing(t *testing.T) {
	store, s := NewStore(testStoreBytes), NewSessions(DefaultSessionLimits())
	update(t, store, at(1, 1), set("a", "1"))
	session := open(t, s, "s1", openRequest("p1", KindProxy, has("r", at(1, 1))), testStart)
	if pending, until := s.Pending(session, store, testStart); len(pending) > 0 || !until.IsZero() {
		t.Fatalf("nothing new: %v, %v", pending, until)
	}

	update(t, store, at(1, 2), set("a", "2"))
	if ready := s.ResourceChanged("r", false, testStart); len(ready) > 0 {
		t.Error("woken at once")
	}
	later := testStart.Add(s.limits.Coalesce / 2)
	update(t, store, at(1, 3), set("a", "3"))
	if ready := s.ResourceChanged("r", false, later); len(ready) > 0 || s.Counters().Coalesced != 1 {
		t.Errorf("woken %d, %d coalesced", len(ready), s.Counters().Coalesced)
	}
	if ready, next := s.ReleaseCoalesced(later); len(ready) > 0 || !next.Equal(testStart.Add(s.limits.Coalesce)) {
		t.Errorf("woken %d, next %v", len(ready), next)
	}
	end := testStart.Add(s.limits.Coalesce)
	if ready, next := s.ReleaseCoalesced(end); len(ready) != 1 || !next.IsZero() {
		t.Errorf("woken %d, next %v", len(ready), next)
	}
	if pending, _ := s.Pending(session, store, end); len(pending) != 1 || pending[0].From != at(1, 1) {
		t.Errorf("pending %v", pending)
	}
	s.ReadEnded(session)

	read := openRequest("p1", KindProxy, has("r", at(1, 3)))
	read.Session = "s1"
	if _, err := s.Resume(read, end); err != nil {
		t.Fatal(err)
	}
	s.Pending(session, store, end)
	update(t, store, at(1, 4), set("a", "4"))
	s.ResourceChanged("r", false, end)
	urgent := set("a", "5")
	urgent.Urgent = true
	update(t, store, at(1, 5), urgent)
	if ready := s.ResourceChanged("r", true, end); len(ready) != 1 {
		t.Errorf("urgent: woken %d", len(ready))
	}
	if pending, _ := s.Pending(session, store, end); len(pending) != 1 {
		t.Errorf("urgent: pending %v", pending)
	}
}

// A rejected version is not sent again; the next one is, as a delta to what is in force.
func TestRejectedVersion(t *testing.T) {
	limits := DefaultSessionLimits()
	limits.Coalesce = 0
	store, s := NewStore(testStoreBytes), NewSessions(limits)
	update(t, store, at(1, 1), set("a", "1"))
	update(t, store, at(1, 2), set("a", "2"))
	rejected := Position{Resource: "r", InForce: at(1, 1), Rejected: at(1, 2), Reason: "no sense"}
	session := open(t, s, "s1", openRequest("p1", KindProxy, rejected), testStart)
	if pending, _ := s.Pending(session, store, testStart); len(pending) > 0 {
		t.Errorf("pending %v", pending)
	}
	status := s.Status("r", at(1, 2))
	progress := status.Progress(at(1, 2))
	want := Rejection{Follower: "p1", Version: at(1, 2), Reason: "no sense"}
	if progress.Done() || len(progress.Rejections) != 1 || progress.Rejections[0] != want {
		t.Errorf("%+v", status)
	}
	update(t, store, at(1, 3), set("a", "3"))
	if pending, _ := s.Pending(session, store, testStart); len(pending) != 1 || pending[0].From != at(1, 1) {
		t.Errorf("pending %v", pending)
	}
	applied := &FollowRequest{Follower: "p1", Kind: KindProxy, Session: "s1", Positions: []Position{has("r", at(1, 3))}}
	if _, err := s.Resume(applied, testStart); err != nil {
		t.Fatal(err)
	}
	status = s.Status("r", at(1, 3))
	if progress := status.Progress(at(1, 3)); !progress.Done() || len(status.Rejections) > 0 {
		t.Errorf("%+v", status)
	}
}

// A session ends when its follower opens another one, and when it does not read any more.
func TestSessionsEnd(t *testing.T) {
	limits := DefaultSessionLimits()
	limits.Sessions = 2
	s := NewSessions(limits)
	first := open(t, s, "s1", openRequest("p1", KindProxy, has("r", at(1, 1))), testStart)
	open(t, s, "s2", openRequest("p2", KindProxy), testStart)
	if _, _, err := s.Open("s3", openRequest("p3", KindProxy), testStart); !errors.Is(err, ErrTooManySessions) {
		t.Errorf("%v", err)
	}
	again := open(t, s, "s4", openRequest("p1", KindProxy, has("r", at(1, 2))), testStart) // one follower, one session
	if !first.Ended() || again.Ended() || s.Len() != 2 {
		t.Error("the earlier session of a follower has not ended")
	}
	for _, req := range []*FollowRequest{
		{Follower: "p1", Kind: KindProxy, Session: "s1"},
		{Follower: "p2", Kind: KindProxy, Session: "s4"},
	} {
		if _, err := s.Resume(req, testStart); !errors.Is(err, ErrUnknownSession) {
			t.Errorf("%+v: %v", req, err)
		}
	}
	last := testStart.Add(idleHolds * testHoldMs * time.Millisecond)
	if ended := s.Expire(last.Add(-1)); len(ended) > 0 {
		t.Errorf("%d ended too early", len(ended))
	}
	if ended := s.Expire(last); len(ended) != 2 || s.Len() != 0 || s.IsFollowed("r") || len(s.byFollower) > 0 {
		t.Errorf("%d ended, %d left", len(ended), s.Len())
	}
}

// A follower that names ever more resources is rejected at the limit, and its end frees them all.
func TestFollowedResourcesAreBounded(t *testing.T) {
	s := NewSessions(DefaultSessionLimits())
	session := open(t, s, "s1", openRequest("p1", KindProxy), testStart)
	var err error
	for i := 0; err == nil && i <= 2*MaxResources; i++ {
		next := has(fmt.Sprint("r", i), at(1, 1))
		req := &FollowRequest{Follower: "p1", Kind: KindProxy, Session: "s1", Positions: []Position{next}}
		_, err = s.Resume(req, testStart)
	}
	if !errors.Is(err, ErrFull) || len(s.followed) != MaxResources {
		t.Errorf("%v, %d resources", err, len(s.followed))
	}
	s.Close(session)
	if len(s.followed) != 0 {
		t.Errorf("%d resources left", len(s.followed))
	}
}

// Reports of relays are snapshots: the last one of each counts, and that of a closed session no
// longer does.
func TestMergedStatus(t *testing.T) {
	s := NewSessions(DefaultSessionLimits())
	open(t, s, "s1", openRequest("p1", KindProxy, has("r", at(1, 2))), testStart)
	relay := open(t, s, "s2", openRequest("relay", KindRelay, has("r", at(1, 2))), testStart)
	for _, behind := range []int{3, 1} {
		report := ResourceStatus{
			Resource: "r",
			Counts:   []VersionCount{{at(1, 2), 10}, {at(1, 1), behind}},
			Laggards: []Laggard{{"p9", at(1, 1)}},
		}
		req := &FollowRequest{Follower: "relay", Kind: KindRelay, Session: "s2", Statuses: []ResourceStatus{report}}
		if _, err := s.Resume(req, testStart); err != nil {
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
	// A version is never counted as in force where it is not.
	for revision := 1; revision <= 5*MaxCounts; revision += 7 {
		progress := merged.Progress(at(1, uint64(revision)))
		if most := 5*MaxCounts - revision + 1; progress.InForce > most {
			t.Errorf("revision %d: in force at %d proxies, %d at most expected", revision, progress.InForce, most)
		}
	}
}

// modelProxy is a proxy in TestSessionsModel.
type modelProxy struct {
	replica
	name         string
	session      *Session // nil: none
	reading      bool
	pendingSince time.Time // since when an update has waited for it; zero: none has
}

// relayModel is a relay with its proxies, on a virtual clock.
type relayModel struct {
	t        *testing.T
	random   *rand.Rand
	store    *Store
	sessions *Sessions
	proxies  []*modelProxy
	now      time.Time
	lastID   int
	revision uint64
}

// Under random writes, lost responses, slow and dead proxies, and restarts of the relay: a waiting
// read is answered within the coalescing time, and at once if an urgent item changes; the counts
// are those of the positions reported; what a proxy has after a read is what the relay has; in the
// end all have the latest version.
func TestSessionsModel(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := &relayModel{
				t: t, random: rand.New(rand.NewPCG(seed, 2)), now: testStart,
				store: NewStore(testStoreBytes), sessions: NewSessions(DefaultSessionLimits()),
			}
			for i := range 6 {
				p := &modelProxy{name: fmt.Sprint("p", i), replica: replica{items: make(map[string]string)}}
				m.proxies = append(m.proxies, p)
			}
			for range 1_000 {
				m.step()
				m.check()
			}
			m.finish()
		})
	}
}

// step makes one random event happen.
func (m *relayModel) step() {
	m.advance(time.Duration(m.random.IntN(20)) * time.Millisecond)
	p := m.proxies[m.random.IntN(len(m.proxies))]
	switch n := m.random.IntN(100); {
	case n < 25:
		m.write()
	case n < 26: // the relay restarts
		m.sessions = NewSessions(DefaultSessionLimits())
		for _, p := range m.proxies {
			p.reading, p.pendingSince = false, time.Time{}
		}
	case n < 28:
		m.advance(time.Duration(m.random.IntN(20)) * time.Second)
	default:
		m.read(p)
	}
}

// advance lets time pass, and releases held updates on time.
func (m *relayModel) advance(d time.Duration) {
	end := m.now.Add(d)
	for {
		ready, next := m.sessions.ReleaseCoalesced(m.now)
		m.wake(ready)
		if next.IsZero() || next.After(end) {
			break
		}
		m.now = next
	}
	m.now = end
	for _, s := range m.sessions.Expire(m.now) {
		for _, p := range m.proxies {
			if p.session == s {
				p.reading, p.pendingSince = false, time.Time{}
			}
		}
	}
}

// write makes a random change, and wakes the reads that it can answer.
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
	for _, p := range m.proxies {
		if p.reading && p.pendingSince.IsZero() {
			p.pendingSince = m.now
		}
	}
	m.wake(m.sessions.ResourceChanged("r", item.Urgent, m.now))
	for _, p := range m.proxies {
		if p.reading && item.Urgent {
			m.t.Fatalf("%s still waits after an urgent change", p.name)
		}
	}
}

// read lets a proxy read, unless it waits already. The response can get lost.
func (m *relayModel) read(p *modelProxy) {
	if p.reading {
		return
	}
	req := openRequest(p.name, KindProxy, has("r", p.at))
	if p.session != nil {
		req.Session = p.session.ID
		session, err := m.sessions.Resume(req, m.now)
		if err != nil {
			p.session = nil
			return
		}
		p.session = session
	} else {
		m.lastID++
		p.session = open(m.t, m.sessions, fmt.Sprint("s", m.lastID), req, m.now)
	}
	p.reading = true
	m.answer(p)
}

// wake answers the waiting reads of some sessions.
func (m *relayModel) wake(sessions []*Session) {
	for _, p := range m.proxies {
		if p.reading && slices.Contains(sessions, p.session) {
			m.answer(p)
		}
	}
}

// answer ends a read if an update is pending.
func (m *relayModel) answer(p *modelProxy) {
	pending, _ := m.sessions.Pending(p.session, m.store, m.now)
	if len(pending) == 0 {
		return
	}
	m.sessions.ReadEnded(p.session)
	p.reading, p.pendingSince = false, time.Time{}
	if m.random.IntN(5) == 0 { // lost
		p.session = nil
		return
	}
	p.apply(m.t, m.store.Since("r", pending[0].From))
	if !maps.Equal(p.items, contents(m.store)) {
		m.t.Fatalf("%s at %v: %v found, %v expected", p.name, p.at, p.items, contents(m.store))
	}
}

// check compares the counts with the positions, and how long reads have waited with how long they
// may.
func (m *relayModel) check() {
	counts := make(map[Version]int)
	for _, s := range m.sessions.byID {
		for _, position := range s.positions {
			counts[position.inForce]++
		}
	}
	if f := m.sessions.followed["r"]; f != nil && !maps.Equal(f.counts, counts) || f == nil && len(counts) > 0 {
		m.t.Fatalf("counts %v expected", counts)
	}
	longest := m.sessions.limits.Coalesce + 20*time.Millisecond
	for _, p := range m.proxies {
		if p.reading && !p.pendingSince.IsZero() && m.now.Sub(p.pendingSince) > longest {
			m.t.Fatalf("%s has waited %v for an update", p.name, m.now.Sub(p.pendingSince))
		}
	}
}

// finish lets all proxies read until they have everything, and checks that they do.
func (m *relayModel) finish() {
	for range 50 {
		m.advance(100 * time.Millisecond)
		for _, p := range m.proxies {
			m.read(p)
		}
	}
	for _, p := range m.proxies {
		if p.at != m.store.Version("r") || !maps.Equal(p.items, contents(m.store)) {
			m.t.Fatalf("%s: version %v, %v expected", p.name, p.at, m.store.Version("r"))
		}
	}
	if !m.sessions.InForce("r", m.store.Version("r")) {
		m.t.Fatal("in force at all proxies, and not reported so")
	}
}
