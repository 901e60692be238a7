package route

import (
	"testing"
)

func TestAssignmentsHoldUntilTheyExpire(t *testing.T) {
	a := NewAssignments(100)
	a.Assign(0, 1, "a", 10)
	a.Assign(5, 1, "b", 20) // the arm stays, the end moves
	if arm, ok := a.Lookup(19, 1); !ok || arm != "a" {
		t.Errorf("got %q, %v", arm, ok)
	}
	if _, ok := a.Lookup(20, 1); ok {
		t.Error("held beyond its end")
	}
	a.Assign(20, 1, "b", 30)
	if arm, _ := a.Lookup(21, 1); arm != "b" || !a.Complete(21) {
		t.Errorf("got %q", arm)
	}
	for i := range int64(10_000) { // what has expired leaves nothing behind
		a.Assign(100+i, uint64(i), "a", 110+i)
	}
	if a.Len() > 11 || len(a.queue) > 200 || !a.Complete(10_000) {
		t.Errorf("%d keys, a queue of %d", a.Len(), len(a.queue))
	}
}

// At the capacity the oldest is evicted, and Complete says until when that may matter.
func TestAssignmentsReportEarlyEvictions(t *testing.T) {
	a := NewAssignments(10)
	for i := range uint64(15) {
		a.Assign(0, i, "a", 1000+int64(i))
	}
	if a.Len() != 10 || a.Complete(1003) || !a.Complete(1004) {
		t.Errorf("%d keys, complete %v then %v", a.Len(), a.Complete(1003), a.Complete(1004))
	}
	if _, ok := a.Lookup(0, 4); ok {
		t.Error("the oldest is held")
	}
	if _, ok := a.Lookup(0, 5); !ok {
		t.Error("a younger one was evicted")
	}
	for i := range int64(1000) { // renewals of one key
		a.Assign(0, 7, "a", 2000+i)
		a.Assign(0, 8, "a", 2000+i)
	}
	if len(a.queue)-a.head > 41 {
		t.Errorf("a queue of %d", len(a.queue)-a.head)
	}
}
