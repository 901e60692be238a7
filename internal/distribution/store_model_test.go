package distribution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// replica is a follower's copy of the resource "r" in the model tests.
type replica struct {
	at    Version
	items map[string]string
}

// apply applies an update. A nil update has no effect.
func (r *replica) apply(t *testing.T, u *Update) {
	t.Helper()
	if u == nil {
		return
	}
	if !u.Version.After(r.at) || !u.IsSnapshot() && u.From != r.at {
		t.Fatalf("follower at version %v received an update from %v to %v", r.at, u.From, u.Version)
	}
	if err := u.Validate(); err != nil {
		t.Fatal(err)
	}
	if u.IsSnapshot() {
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

// The model makes random writes, restarts the source with loss of its last writes, restarts relays,
// and switches followers between relays. At each version a follower has the items that the source
// had at that version, the follower's version never decreases, and in the end all followers have
// the latest version.
func TestStoreModel(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runStoreModel(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// storeModel is a source with relays and followers in TestStoreModel.
type storeModel struct {
	t         *testing.T
	random    *rand.Rand
	source    *Store
	saved     *Update // snapshot on the disk of the source; an older version if writes are lost
	epoch     uint64
	revision  uint64
	history   map[Version]map[string]string // items of the source at each version
	relays    []*Store
	followers []*replica
}

// runStoreModel runs the model with a random generator.
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
	m.revision++ // a write after the last restart, so its version is after all versions of followers
	write(t, m.source, &PutRequest{Resource: "r", Items: []Item{newItem("last", "1")}}, at(m.epoch, m.revision))
	for _, relay := range m.relays {
		m.sync(relay, m.source)
	}
	for i, f := range m.followers {
		f.apply(t, m.relays[i%len(m.relays)].UpdateSince("r", f.at))
		if f.at != m.source.Version("r") || !maps.Equal(f.items, contents(m.source)) {
			t.Fatalf("follower %d: got version %v with %v; want version %v with %v",
				i, f.at, f.items, m.source.Version("r"), contents(m.source))
		}
	}
}

// step performs one random event.
func (m *storeModel) step() {
	relay := m.relays[m.random.IntN(len(m.relays))]
	switch n := m.random.IntN(100); {
	case n < 40:
		m.write()
	case n < 42:
		m.restart()
	case n < 44:
		*relay = *NewStore(testStoreBytes)
	case n < 48: // a relay reads from another relay
		m.pull(relay, m.relays[m.random.IntN(len(m.relays))])
	case n < 70:
		m.pull(relay, m.source)
	default:
		f := m.followers[m.random.IntN(len(m.followers))]
		f.apply(m.t, relay.UpdateSince("r", f.at))
		if want, found := m.history[f.at]; !f.at.IsZero() && (!found || !maps.Equal(f.items, want)) {
			m.t.Fatalf("version %v: got %v, want %v", f.at, f.items, want)
		}
	}
}

// pull makes a relay read once from its upstream. The response may be lost.
func (m *storeModel) pull(relay, upstream *Store) {
	if m.random.IntN(10) > 0 {
		m.sync(relay, upstream)
	}
}

// sync brings a relay to the version of its upstream.
func (m *storeModel) sync(relay, upstream *Store) {
	u := upstream.UpdateSince("r", relay.Version("r"))
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
		item := newItem(fmt.Sprint(key), fmt.Sprint(m.random.IntN(3)))
		if m.random.IntN(3) == 0 && !put.Replace {
			item = newDeletion(item.Key)
		}
		put.Items = append(put.Items, item)
	}
	m.revision++
	write(m.t, m.source, put, at(m.epoch, m.revision))
	m.history[m.source.Version("r")] = contents(m.source)
	if m.random.IntN(4) > 0 { // otherwise the write is lost at the next restart
		m.saved = m.source.Snapshot("r")
	}
}

// restart restarts the source in a new epoch. The source may have lost its last writes.
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
