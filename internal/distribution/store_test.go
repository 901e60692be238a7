package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
)

// testStoreBytes is a limit that no test reaches.
const testStoreBytes = 1 << 24

// at returns a version.
func at(epoch, revision uint64) Version { return Version{Epoch: epoch, Revision: revision} }

// set returns an item with a JSON string as its value.
func set(key, value string) Item {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // not possible: a string
	}
	return Item{Key: key, Value: data}
}

// deleted returns the deletion of a key.
func deleted(key string) Item { return Item{Key: key, Deleted: true} }

// write plans and applies a write, and returns its update; nil: it changes nothing.
func write(t *testing.T, s *Store, put *PutRequest, next Version) *Update {
	t.Helper()
	u, err := s.Plan(put, next)
	if err != nil {
		t.Fatal(err)
	}
	if u == nil {
		return nil
	}
	if applied, err := s.Apply(u); err != nil || !applied {
		t.Fatalf("apply: %v, %v", applied, err)
	}
	return u
}

// contents returns the values of the resource "r" by key.
func contents(s *Store) map[string]string {
	values := make(map[string]string)
	if snapshot := s.Snapshot("r"); snapshot != nil {
		for _, item := range snapshot.Items {
			values[item.Key] = string(item.Value)
		}
	}
	return values
}

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
	if u.Full() || len(u.Items) != 2 || u.Items[0].Key != "c" || !u.Items[1].Deleted || u.Items[1].Key != "a" {
		t.Errorf("%+v", u)
	}
	if !s.Urgent("r", at(1, 1)) {
		t.Error("a deletion by replacement takes an endpoint out of use: urgent expected")
	}
	if since := s.Since("r", at(1, 1)); since.Full() || len(since.Items) != 2 {
		t.Errorf("%+v", since)
	}
}

// A follower gets a snapshot if its version is one that the source has lost, or that the relay has
// skipped by a snapshot.
func TestUnknownVersionGetsSnapshot(t *testing.T) {
	s := NewStore(testStoreBytes)
	write(t, s, &PutRequest{Resource: "r", Items: []Item{set("a", "1")}}, at(1, 5))
	write(t, s, &PutRequest{Resource: "r", Items: []Item{set("a", "2")}}, at(2, 6)) // after a restart
	if u := s.Since("r", at(1, 5)); u == nil || u.Full() {
		t.Errorf("from a known version: %+v", u)
	}
	if u := s.Since("r", at(1, 8)); u == nil || !u.Full() {
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
	if u := relay.Since("r", at(1, 3)); u == nil || u.Full() {
		t.Errorf("from before a snapshot: %+v", u)
	}
	if u := relay.Since("r", at(1, 5)); u == nil || !u.Full() {
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
	var base *BaseError
	if _, err := s.Apply(&Update{Resource: "r", From: at(1, 9), Version: at(2, 2)}); !errors.As(err, &base) {
		t.Errorf("%v; a *BaseError expected", err)
	}
	if s.Since("r", at(2, 1)) != nil || s.Since("r", at(9, 9)) != nil || s.Since("none", Version{}) != nil {
		t.Error("an update for a follower that has the current version or a later one")
	}
}

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
	if u := s.Since("r", at(1, 1)); !u.Full() {
		t.Errorf("from a forgotten version: %+v", u)
	}
}

// replica is a follower in the model tests.
type replica struct {
	at    Version
	items map[string]string
}

// apply applies an update; nil: there is none.
func (r *replica) apply(t *testing.T, u *Update) {
	t.Helper()
	if u == nil {
		return
	}
	if !u.Version.After(r.at) || !u.Full() && u.From != r.at {
		t.Fatalf("at %v: update from %v to %v", r.at, u.From, u.Version)
	}
	if err := u.Validate(); err != nil {
		t.Fatal(err)
	}
	if u.Full() {
		clear(r.items)
	}
	for _, item := range u.Items {
		if item.Deleted {
			delete(r.items, item.Key)
		} else {
			r.items[item.Key] = string(item.Value)
		}
	}
	r.at = u.Version
}

// Under random writes, restarts of the source that lose the last of them, restarts of relays, and
// followers that switch between relays: a follower has at each version what the source had at that
// version, its version never goes back, and in the end all have the latest.
func TestStoreModel(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runStoreModel(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// storeModel is the fleet of TestStoreModel.
type storeModel struct {
	t         *testing.T
	random    *rand.Rand
	source    *Store
	saved     *Update // what the source has on disk; an older version if writes are lost
	epoch     uint64
	revision  uint64
	history   map[Version]map[string]string // what the source had at each version
	relays    []*Store
	followers []*replica
}

func runStoreModel(t *testing.T, random *rand.Rand) {
	t.Helper()
	m := &storeModel{
		t: t, random: random, source: NewStore(testStoreBytes), epoch: 1,
		history: make(map[Version]map[string]string),
	}
	for range 3 {
		m.relays = append(m.relays, NewStore(testStoreBytes))
	}
	for range 5 {
		m.followers = append(m.followers, &replica{items: make(map[string]string)})
	}
	for range 400 {
		m.step()
	}
	m.revision++ // a write after the last restart, so that its version is after all that any follower has
	write(t, m.source, &PutRequest{Resource: "r", Items: []Item{set("last", "1")}}, at(m.epoch, m.revision))
	for _, relay := range m.relays {
		m.sync(relay, m.source)
	}
	for i, f := range m.followers {
		f.apply(t, m.relays[i%len(m.relays)].Since("r", f.at))
		if f.at != m.source.Version("r") || !maps.Equal(f.items, contents(m.source)) {
			t.Fatalf("follower %d: %v %v; the source has %v %v",
				i, f.at, f.items, m.source.Version("r"), contents(m.source))
		}
	}
}

// step makes one random event happen.
func (m *storeModel) step() {
	relay := m.relays[m.random.IntN(len(m.relays))]
	switch n := m.random.IntN(100); {
	case n < 40:
		m.write()
	case n < 42:
		m.restart()
	case n < 44:
		*relay = *NewStore(testStoreBytes)
	case n < 48: // relays behind relays
		m.pull(relay, m.relays[m.random.IntN(len(m.relays))])
	case n < 70:
		m.pull(relay, m.source)
	default:
		f := m.followers[m.random.IntN(len(m.followers))]
		f.apply(m.t, relay.Since("r", f.at))
		if want, found := m.history[f.at]; !f.at.IsZero() && (!found || !maps.Equal(f.items, want)) {
			m.t.Fatalf("at %v: %v found, %v expected", f.at, f.items, want)
		}
	}
}

// pull lets a relay read once from its upstream. A response that is lost changes nothing.
func (m *storeModel) pull(relay, upstream *Store) {
	if m.random.IntN(10) > 0 {
		m.sync(relay, upstream)
	}
}

// sync brings a relay to what its upstream has.
func (m *storeModel) sync(relay, upstream *Store) {
	u := upstream.Since("r", relay.Version("r"))
	if u == nil {
		return
	}
	if _, err := relay.Apply(u); err != nil {
		m.t.Fatal(err)
	}
}

// write makes a random write at the source.
func (m *storeModel) write() {
	put := &PutRequest{Resource: "r", Replace: m.random.IntN(10) == 0}
	for _, key := range m.random.Perm(8)[:1+m.random.IntN(3)] {
		item := set(fmt.Sprint(key), fmt.Sprint(m.random.IntN(3)))
		if m.random.IntN(3) == 0 && !put.Replace {
			item = deleted(item.Key)
		}
		put.Items = append(put.Items, item)
	}
	m.revision++
	write(m.t, m.source, put, at(m.epoch, m.revision))
	m.history[m.source.Version("r")] = contents(m.source)
	if m.random.IntN(4) > 0 { // else lost at the next restart
		m.saved = m.source.Snapshot("r")
	}
}

// restart restarts the source in a new epoch; it may have lost its last writes.
func (m *storeModel) restart() {
	m.source = NewStore(testStoreBytes)
	m.epoch++
	m.revision = 0
	if m.saved == nil {
		return
	}
	if _, err := m.source.Apply(m.saved); err != nil {
		m.t.Fatal(err)
	}
	m.revision = m.saved.Version.Revision
}
