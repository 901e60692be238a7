package distribution

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// testHoldMs is the hold of reads in tests, in milliseconds.
const testHoldMs = 4_000

// testStart is the start of the virtual clock in tests.
var testStart = time.Unix(1_000, 0)

// openRequest returns a request that opens a session.
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

// positionAt returns the position of a follower that has a version of a resource in force.
func positionAt(resource string, v Version) Position { return Position{Resource: resource, InForce: v} }

// update writes items of the resource "r".
func update(t *testing.T, store *Store, v Version, items ...Item) {
	t.Helper()
	write(t, store, &PutRequest{Resource: "r", Items: items}, v)
}

// An update is delayed once, so that later updates of its burst are sent with it. An urgent update
// ends the delay.
func TestCoalescing(t *testing.T) {
	store, s := NewStore(testStoreBytes), NewSessions(DefaultSessionLimits())
	update(t, store, at(1, 1), newItem("a", "1"))
	session := open(t, s, "s1", openRequest("p1", KindProxy, positionAt("r", at(1, 1))), testStart)
	if pending, until := s.Pending(session, store, testStart); len(pending) > 0 || !until.IsZero() {
		t.Fatalf("without a change: got pending %v until %v, want none", pending, until)
	}

	update(t, store, at(1, 2), newItem("a", "2"))
	if ready := s.ResourceChanged("r", false, testStart); len(ready) > 0 {
		t.Error("first update of a burst: the read is ready without a delay")
	}
	later := testStart.Add(s.limits.Coalesce / 2)
	update(t, store, at(1, 3), newItem("a", "3"))
	if ready := s.ResourceChanged("r", false, later); len(ready) > 0 || s.Counters().Coalesced != 1 {
		t.Errorf("second update: got %d ready reads and %d coalesced updates, want 0 and 1",
			len(ready), s.Counters().Coalesced)
	}
	if ready, next := s.ReleaseCoalesced(later); len(ready) > 0 || !next.Equal(testStart.Add(s.limits.Coalesce)) {
		t.Errorf("before the end of the delay: got %d ready reads, next release at %v", len(ready), next)
	}
	end := testStart.Add(s.limits.Coalesce)
	if ready, next := s.ReleaseCoalesced(end); len(ready) != 1 || !next.IsZero() {
		t.Errorf("at the end of the delay: got %d ready reads, next release at %v", len(ready), next)
	}
	if pending, _ := s.Pending(session, store, end); len(pending) != 1 || pending[0].From != at(1, 1) {
		t.Errorf("at the end of the delay: got pending %v, want 1 update from 1.1", pending)
	}
	s.ReadEnded(session)

	read := openRequest("p1", KindProxy, positionAt("r", at(1, 3)))
	read.Session = "s1"
	if _, err := s.Resume(read, end); err != nil {
		t.Fatal(err)
	}
	s.Pending(session, store, end)
	update(t, store, at(1, 4), newItem("a", "4"))
	s.ResourceChanged("r", false, end)
	urgent := newItem("a", "5")
	urgent.Urgent = true
	update(t, store, at(1, 5), urgent)
	if ready := s.ResourceChanged("r", true, end); len(ready) != 1 {
		t.Errorf("urgent update: got %d ready reads, want 1", len(ready))
	}
	if pending, _ := s.Pending(session, store, end); len(pending) != 1 {
		t.Errorf("urgent update: got pending %v, want 1 update", pending)
	}
}

// A rejected version is not sent again. The next version is sent as a delta from the version in
// force.
func TestRejectedVersion(t *testing.T) {
	limits := DefaultSessionLimits()
	limits.Coalesce = 0
	store, s := NewStore(testStoreBytes), NewSessions(limits)
	update(t, store, at(1, 1), newItem("a", "1"))
	update(t, store, at(1, 2), newItem("a", "2"))
	rejected := Position{Resource: "r", InForce: at(1, 1), Rejected: at(1, 2), Reason: "no sense"}
	session := open(t, s, "s1", openRequest("p1", KindProxy, rejected), testStart)
	if pending, _ := s.Pending(session, store, testStart); len(pending) > 0 {
		t.Errorf("after a rejection: got pending %v, want none", pending)
	}
	status := s.Status("r", at(1, 2))
	progress := status.Progress(at(1, 2))
	want := Rejection{Follower: "p1", Version: at(1, 2), Reason: "no sense"}
	if progress.Done() || len(progress.Rejections) != 1 || progress.Rejections[0] != want {
		t.Errorf("got status %+v, want the rejection %+v", status, want)
	}
	update(t, store, at(1, 3), newItem("a", "3"))
	if pending, _ := s.Pending(session, store, testStart); len(pending) != 1 || pending[0].From != at(1, 1) {
		t.Errorf("after the next write: got pending %v, want 1 update from 1.1", pending)
	}
	applied := positionAt("r", at(1, 3))
	report := &FollowRequest{Follower: "p1", Kind: KindProxy, Session: "s1", Positions: []Position{applied}}
	if _, err := s.Resume(report, testStart); err != nil {
		t.Fatal(err)
	}
	status = s.Status("r", at(1, 3))
	if progress := status.Progress(at(1, 3)); !progress.Done() || len(status.Rejections) > 0 {
		t.Errorf("got status %+v, want version 1.3 in force without rejections", status)
	}
}

// A session is closed when its follower opens another session, and when the follower stops reading.
func TestSessionReplacementAndExpiry(t *testing.T) {
	limits := DefaultSessionLimits()
	limits.Sessions = 2
	s := NewSessions(limits)
	first := open(t, s, "s1", openRequest("p1", KindProxy, positionAt("r", at(1, 1))), testStart)
	open(t, s, "s2", openRequest("p2", KindProxy), testStart)
	if _, _, err := s.Open("s3", openRequest("p3", KindProxy), testStart); !errors.Is(err, ErrTooManySessions) {
		t.Errorf("got error %v, want ErrTooManySessions", err)
	}
	// A follower has one session, so this one replaces the first.
	again := open(t, s, "s4", openRequest("p1", KindProxy, positionAt("r", at(1, 2))), testStart)
	if !first.Closed() || again.Closed() || s.Len() != 2 {
		t.Error("a second session of a follower did not replace the first one")
	}
	for _, req := range []*FollowRequest{
		{Follower: "p1", Kind: KindProxy, Session: "s1"},
		{Follower: "p2", Kind: KindProxy, Session: "s4"},
	} {
		if _, err := s.Resume(req, testStart); !errors.Is(err, ErrUnknownSession) {
			t.Errorf("%+v: got error %v, want ErrUnknownSession", req, err)
		}
	}
	last := testStart.Add(idleHolds * testHoldMs * time.Millisecond)
	if ended := s.Expire(last.Add(-1)); len(ended) > 0 {
		t.Errorf("%d sessions expired too early", len(ended))
	}
	if ended := s.Expire(last); len(ended) != 2 || s.Len() != 0 || s.IsFollowed("r") || len(s.byFollower) > 0 {
		t.Errorf("got %d expired and %d open sessions, want 2 and 0", len(ended), s.Len())
	}
}

// A follower that names more and more resources is rejected at the limit. Closing its session
// removes all of them.
func TestFollowedResourcesAreBounded(t *testing.T) {
	s := NewSessions(DefaultSessionLimits())
	session := open(t, s, "s1", openRequest("p1", KindProxy), testStart)
	var err error
	for i := 0; err == nil && i <= 2*MaxResources; i++ {
		next := positionAt(fmt.Sprint("r", i), at(1, 1))
		req := &FollowRequest{Follower: "p1", Kind: KindProxy, Session: "s1", Positions: []Position{next}}
		_, err = s.Resume(req, testStart)
	}
	if !errors.Is(err, ErrFull) || len(s.followed) != MaxResources {
		t.Errorf("got error %v and %d resources, want ErrFull and %d", err, len(s.followed), MaxResources)
	}
	s.Close(session)
	if len(s.followed) != 0 {
		t.Errorf("%d resources remain after the session was closed", len(s.followed))
	}
}
