package route

import (
	"testing"
)

func TestAssignmentsAreKeptUntilExpiry(t *testing.T) {
	a := NewAssignments(100)
	a.Assign(0, 1, "a", 10)
	a.Assign(5, 1, "b", 20) // changes the expiry but not the arm
	if arm, ok := a.Lookup(19, 1); !ok || arm != "a" {
		t.Errorf("after the renewal: got %q, %v, want \"a\", true", arm, ok)
	}
	if _, ok := a.Lookup(20, 1); ok {
		t.Error("assignment still present after its expiry")
	}
	a.Assign(20, 1, "b", 30)
	if arm, _ := a.Lookup(21, 1); arm != "b" || !a.Complete(21) {
		t.Errorf("after the expiry: got %q, complete %v, want \"b\", true", arm, a.Complete(21))
	}
	for i := range int64(10_000) { // expired assignments are removed
		a.Assign(100+i, uint64(i), "a", 110+i)
	}
	if a.Len() > 11 || len(a.queue) > 200 || !a.Complete(10_000) {
		t.Errorf("got %d keys and a queue of %d, want at most 11 and 200", a.Len(), len(a.queue))
	}
}

// At capacity the oldest assignment is evicted, and Complete returns false until its expiry.
func TestAssignmentsReportEarlyEvictions(t *testing.T) {
	a := NewAssignments(10)
	for i := range uint64(15) {
		a.Assign(0, i, "a", 1000+int64(i))
	}
	if a.Len() != 10 || a.Complete(1003) || !a.Complete(1004) {
		t.Errorf("got %d keys, complete %v, then %v; want 10, false, true", a.Len(), a.Complete(1003), a.Complete(1004))
	}
	if _, ok := a.Lookup(0, 4); ok {
		t.Error("an evicted key is still assigned")
	}
	if _, ok := a.Lookup(0, 5); !ok {
		t.Error("a newer key was evicted")
	}
	for i := range int64(1000) { // renewals of one key
		a.Assign(0, 7, "a", 2000+i)
		a.Assign(0, 8, "a", 2000+i)
	}
	if len(a.queue)-a.head > 41 {
		t.Errorf("got a queue of %d, want at most 41", len(a.queue)-a.head)
	}
}
