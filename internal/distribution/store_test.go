package distribution

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// A write that expects a version is rejected if the resource has another one, and a write that
// changes nothing is no update.
func TestConditionalWrite(t *testing.T) {
	s := NewStore(testStoreBytes)
	first := at(1, 1)
	none := Version{}
	write(t, s, &PutRequest{Resource: "r", Expected: &none, Items: []Item{set("a", "1")}}, first)
	var conflict *ConflictError
	_, err := s.Plan(&PutRequest{Resource: "r", Expected: &none, Items: []Item{set("a", "2")}}, at(1, 2))
	if !errors.As(err, &conflict) || conflict.Found != first {
		t.Errorf("%v; a conflict with version %v expected", err, first)
	}
	write(t, s, &PutRequest{Resource: "r", Expected: &first, Items: []Item{set("a", "2")}}, at(1, 2))
	if got := contents(s)["a"]; got != `"2"` {
		t.Errorf("%s found", got)
	}
	u, err := s.Plan(&PutRequest{Resource: "r", Items: []Item{set("a", "2"), deleted("b")}}, at(1, 3))
	if u != nil || err != nil {
		t.Errorf("a write that changes nothing: %v, %v", u, err)
	}
}

// A replacing write deletes the keys that it lacks, and is sent as a delta.
func TestReplacingWrite(t *testing.T) {
	s := NewStore(testStoreBytes)
	write(t, s, &PutRequest{Resource: "r", Items: []Item{set("a", "1"), set("b", "1")}}, at(1, 1))
	u := write(t, s, &PutRequest{Resource: "r", Replace: true, Items: []Item{set("b", "1"), set("c", "1")}}, at(1, 2))
	if u.IsSnapshot() || len(u.Items) != 2 || u.Items[0].Key != "c" || !u.Items[1].Deleted || u.Items[1].Key != "a" {
		t.Errorf("%+v", u)
	}
	if !s.UrgentSince("r", at(1, 1)) {
		t.Error("a deletion by replacement takes an endpoint out of use: urgent expected")
	}
	if since := s.UpdateSince("r", at(1, 1)); since.IsSnapshot() || len(since.Items) != 2 {
		t.Errorf("%+v", since)
	}
}

// A follower gets a snapshot if its version is one that the source has lost, or that the relay has
// skipped by a snapshot.
func TestUnknownVersionGetsSnapshot(t *testing.T) {
	s := NewStore(testStoreBytes)
	write(t, s, &PutRequest{Resource: "r", Items: []Item{set("a", "1")}}, at(1, 5))
	write(t, s, &PutRequest{Resource: "r", Items: []Item{set("a", "2")}}, at(2, 6)) // after a restart
	if u := s.UpdateSince("r", at(1, 5)); u == nil || u.IsSnapshot() {
		t.Errorf("from a known version: %+v", u)
	}
	if u := s.UpdateSince("r", at(1, 8)); u == nil || !u.IsSnapshot() {
		t.Errorf("from a lost version: %+v", u)
	}

	relay := NewStore(testStoreBytes)
	for _, u := range []*Update{
		{Resource: "r", Version: at(1, 3), Items: []Item{set("a", "1")}},
		{Resource: "r", Version: at(1, 9), Items: []Item{set("a", "1"), set("b", "1")}},
	} {
		if _, err := relay.Apply(u); err != nil {
			t.Fatal(err)
		}
	}
	if u := relay.UpdateSince("r", at(1, 3)); u == nil || u.IsSnapshot() {
		t.Errorf("from before a snapshot: %+v", u)
	}
	if u := relay.UpdateSince("r", at(1, 5)); u == nil || !u.IsSnapshot() {
		t.Errorf("from within a snapshot: %+v", u)
	}
}

// A store ignores older versions, and rejects a delta to another version.
func TestVersionNeverGoesBack(t *testing.T) {
	s := NewStore(testStoreBytes)
	write(t, s, &PutRequest{Resource: "r", Items: []Item{set("a", "1")}}, at(2, 1))
	for _, v := range []Version{at(1, 9), at(2, 1)} {
		applied, err := s.Apply(&Update{Resource: "r", Version: v, Items: []Item{set("a", "2")}})
		if applied || err != nil {
			t.Errorf("version %v: %v, %v", v, applied, err)
		}
	}
	var base *DeltaBaseError
	if _, err := s.Apply(&Update{Resource: "r", From: at(1, 9), Version: at(2, 2)}); !errors.As(err, &base) {
		t.Errorf("%v; a *BaseError expected", err)
	}
	if s.UpdateSince("r", at(2, 1)) != nil || s.UpdateSince("r", at(9, 9)) != nil || s.UpdateSince("none", Version{}) != nil {
		t.Error("an update for a follower that has the current version or a later one")
	}
}

// A store rejects writes beyond its limits of bytes and items.
func TestStoreBounds(t *testing.T) {
	s := NewStore(100)
	large := []Item{set("a", strings.Repeat("x", 200))}
	if _, err := s.Plan(&PutRequest{Resource: "r", Items: large}, at(1, 1)); !errors.Is(err, ErrFull) {
		t.Errorf("%v", err)
	}
	s = NewStore(testStoreBytes)
	items := make([]Item, MaxItems)
	for i := range items {
		items[i] = set(fmt.Sprint(i), "1")
	}
	write(t, s, &PutRequest{Resource: "r", Items: items}, at(1, 1))
	if _, err := s.Plan(&PutRequest{Resource: "r", Items: []Item{set("more", "1")}}, at(1, 2)); err == nil {
		t.Error("an item beyond the limit is accepted")
	}
	// Replacing one item by another stays within the limit.
	write(t, s, &PutRequest{Resource: "r", Items: []Item{deleted("0"), set("more", "1")}}, at(1, 2))
	s.Drop("r")
	if s.Bytes() != 0 || s.Len() != 0 {
		t.Errorf("%d bytes of %d resources left", s.Bytes(), s.Len())
	}
}

// The history is bounded, whatever is written and deleted.
func TestHistoryIsBounded(t *testing.T) {
	s := NewStore(testStoreBytes)
	for i := range 5 * minHistoryKeys {
		key := fmt.Sprint(i)
		write(t, s, &PutRequest{Resource: "r", Items: []Item{set(key, "1")}}, at(1, uint64(2*i+1)))
		write(t, s, &PutRequest{Resource: "r", Items: []Item{deleted(key)}}, at(1, uint64(2*i+2)))
	}
	r := s.resources["r"]
	longest := max(len(r.items), len(r.history), r.historyKeys)
	if longest > minHistoryKeys || s.Bytes() != 0 {
		t.Errorf("%d items, %d steps of %d keys, %d bytes", len(r.items), len(r.history), r.historyKeys, s.Bytes())
	}
	if u := s.UpdateSince("r", at(1, 1)); !u.IsSnapshot() {
		t.Errorf("from a forgotten version: %+v", u)
	}
}
