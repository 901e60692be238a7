package distribution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

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
	p.apply(m.t, m.store.UpdateSince("r", pending[0].From))
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
