package distribution

import (
	"errors"
	"fmt"
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
	if !first.Closed() || again.Closed() || s.Len() != 2 {
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
