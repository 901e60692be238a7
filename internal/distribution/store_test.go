package distribution

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// A write that expects a version is rejected if the resource has another version. A write that
// changes nothing yields no update.
func TestConditionalWrite(t *testing.T) {
	s := NewStore(testStoreBytes)
	first := at(1, 1)
	none := Version{}
	write(t, s, &PutRequest{Resource: "r", Expected: &none, Items: []Item{newItem("a", "1")}}, first)
	var conflict *ConflictError
	_, err := s.Plan(&PutRequest{Resource: "r", Expected: &none, Items: []Item{newItem("a", "2")}}, at(1, 2))
	if !errors.As(err, &conflict) || conflict.Found != first {
		t.Errorf("got error %v, want a conflict with version %v", err, first)
	}
	write(t, s, &PutRequest{Resource: "r", Expected: &first, Items: []Item{newItem("a", "2")}}, at(1, 2))
	if got := contents(s)["a"]; got != `"2"` {
		t.Errorf("got value %s, want \"2\"", got)
	}
	u, err := s.Plan(&PutRequest{Resource: "r", Items: []Item{newItem("a", "2"), newDeletion("b")}}, at(1, 3))
	if u != nil || err != nil {
		t.Errorf("write without changes: got %v, %v; want no update", u, err)
	}
}

// A replacing write deletes the keys that are not among its items and is sent as a delta.
func TestReplacingWrite(t *testing.T) {
	s := NewStore(testStoreBytes)
	write(t, s, &PutRequest{Resource: "r", Items: []Item{newItem("a", "1"), newItem("b", "1")}}, at(1, 1))
	replacing := &PutRequest{Resource: "r", Replace: true, Items: []Item{newItem("b", "1"), newItem("c", "1")}}
	u := write(t, s, replacing, at(1, 2))
	if u.IsSnapshot() || len(u.Items) != 2 || u.Items[0].Key != "c" || !u.Items[1].Deleted || u.Items[1].Key != "a" {
		t.Errorf("got %+v, want a delta that sets c and deletes a", u)
	}
	if !s.UrgentSince("r", at(1, 1)) {
		t.Error("deletion by a replacing write is not urgent, although it takes an endpoint out of use")
	}
	if since := s.UpdateSince("r", at(1, 1)); since.IsSnapshot() || len(since.Items) != 2 {
		t.Errorf("got %+v, want a delta of 2 items", since)
	}
}

// A follower receives a snapshot if the source has lost the follower's version, or if the relay has
// skipped that version by applying a snapshot.
func TestUnknownVersionGetsSnapshot(t *testing.T) {
	s := NewStore(testStoreBytes)
	write(t, s, &PutRequest{Resource: "r", Items: []Item{newItem("a", "1")}}, at(1, 5))
	write(t, s, &PutRequest{Resource: "r", Items: []Item{newItem("a", "2")}}, at(2, 6)) // after a restart
	if u := s.UpdateSince("r", at(1, 5)); u == nil || u.IsSnapshot() {
		t.Errorf("from a known version: got %+v, want a delta", u)
	}
	if u := s.UpdateSince("r", at(1, 8)); u == nil || !u.IsSnapshot() {
		t.Errorf("from a lost version: got %+v, want a snapshot", u)
	}

	relay := NewStore(testStoreBytes)
	for _, u := range []*Update{
		{Resource: "r", Version: at(1, 3), Items: []Item{newItem("a", "1")}},
		{Resource: "r", Version: at(1, 9), Items: []Item{newItem("a", "1"), newItem("b", "1")}},
	} {
		if _, err := relay.Apply(u); err != nil {
			t.Fatal(err)
		}
	}
	if u := relay.UpdateSince("r", at(1, 3)); u == nil || u.IsSnapshot() {
		t.Errorf("from the version before a snapshot: got %+v, want a delta", u)
	}
	if u := relay.UpdateSince("r", at(1, 5)); u == nil || !u.IsSnapshot() {
		t.Errorf("from a version skipped by a snapshot: got %+v, want a snapshot", u)
	}
}

// A store ignores updates to older versions, and rejects a delta from a version other than the
// current one.
func TestVersionNeverDecreases(t *testing.T) {
	s := NewStore(testStoreBytes)
	write(t, s, &PutRequest{Resource: "r", Items: []Item{newItem("a", "1")}}, at(2, 1))
	for _, v := range []Version{at(1, 9), at(2, 1)} {
		applied, err := s.Apply(&Update{Resource: "r", Version: v, Items: []Item{newItem("a", "2")}})
		if applied || err != nil {
			t.Errorf("version %v: got %v, %v; want false, nil", v, applied, err)
		}
	}
	var base *DeltaBaseError
	if _, err := s.Apply(&Update{Resource: "r", From: at(1, 9), Version: at(2, 2)}); !errors.As(err, &base) {
		t.Errorf("got error %v, want a *DeltaBaseError", err)
	}
	if s.UpdateSince("r", at(2, 1)) != nil || s.UpdateSince("r", at(9, 9)) != nil ||
		s.UpdateSince("none", Version{}) != nil {
		t.Error("got an update for a follower that has the current version or a later one")
	}
}

// A store rejects writes beyond its limits of bytes and items.
func TestStoreBounds(t *testing.T) {
	s := NewStore(100)
	large := []Item{newItem("a", strings.Repeat("x", 200))}
	if _, err := s.Plan(&PutRequest{Resource: "r", Items: large}, at(1, 1)); !errors.Is(err, ErrFull) {
		t.Errorf("got error %v, want ErrFull", err)
	}
	s = NewStore(testStoreBytes)
	items := make([]Item, MaxItems)
	for i := range items {
		items[i] = newItem(fmt.Sprint(i), "1")
	}
	write(t, s, &PutRequest{Resource: "r", Items: items}, at(1, 1))
	if _, err := s.Plan(&PutRequest{Resource: "r", Items: []Item{newItem("more", "1")}}, at(1, 2)); err == nil {
		t.Error("an item beyond the limit was accepted")
	}
	// Replacing one item with another stays within the limit.
	write(t, s, &PutRequest{Resource: "r", Items: []Item{newDeletion("0"), newItem("more", "1")}}, at(1, 2))
	s.Drop("r")
	if s.Bytes() != 0 || s.Len() != 0 {
		t.Errorf("after Drop: got %d bytes and %d resources, want none", s.Bytes(), s.Len())
	}
}

// The history stays within its bounds while more and more keys are written and deleted.
func TestHistoryIsBounded(t *testing.T) {
	s := NewStore(testStoreBytes)
	for i := range 5 * minHistoryKeys {
		key := fmt.Sprint(i)
		write(t, s, &PutRequest{Resource: "r", Items: []Item{newItem(key, "1")}}, at(1, uint64(2*i+1)))
		write(t, s, &PutRequest{Resource: "r", Items: []Item{newDeletion(key)}}, at(1, uint64(2*i+2)))
	}
	r := s.resources["r"]
	longest := max(len(r.items), len(r.history), r.historyKeys)
	if longest > minHistoryKeys || s.Bytes() != 0 {
		t.Errorf("got %d items, %d steps with %d keys and %d bytes; want at most %d of each and 0 bytes",
			len(r.items), len(r.history), r.historyKeys, s.Bytes(), minHistoryKeys)
	}
	if u := s.UpdateSince("r", at(1, 1)); !u.IsSnapshot() {
		t.Errorf("from a version no longer in the history: got %+v, want a snapshot", u)
	}
}
