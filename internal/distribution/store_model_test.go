package distribution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

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
	if !u.Version.After(r.at) || !u.IsSnapshot() && u.From != r.at {
		t.Fatalf("at %v: update from %v to %v", r.at, u.From, u.Version)
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

// runStoreModel runs the model with one random generator.
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
		f.apply(t, m.relays[i%len(m.relays)].UpdateSince("r", f.at))
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
		f.apply(m.t, relay.UpdateSince("r", f.at))
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
