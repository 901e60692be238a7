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
	session      *Session // nil means none
	reading      bool
	pendingSince time.Time // time since which an update is pending; zero means none is
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

// The model makes random writes, loses responses, slows down and stops proxies, and restarts the
// relay. A waiting read is answered within the coalescing time, and at once if an urgent item
// changes. The counts of the status match the reported positions. After a read a proxy has the
// items of the relay, and in the end all proxies have the latest version.
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

// step performs one random event.
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

// advance advances the clock, and releases delayed updates when they are due.
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

// write makes a random change, and wakes the reads that the change answers.
func (m *relayModel) write() {
	item := newItem(fmt.Sprint(m.random.IntN(5)), fmt.Sprint(m.random.IntN(100)))
	if m.random.IntN(3) == 0 {
		item = newDeletion(item.Key)
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
			m.t.Fatalf("read of %s still waits after an urgent change", p.name)
		}
	}
}

// read starts a read of a proxy, unless one waits already. The response may be lost.
func (m *relayModel) read(p *modelProxy) {
	if p.reading {
		return
	}
	req := openRequest(p.name, KindProxy, positionAt("r", p.at))
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

// wake answers the waiting reads of the given sessions.
func (m *relayModel) wake(sessions []*Session) {
	for _, p := range m.proxies {
		if p.reading && slices.Contains(sessions, p.session) {
			m.answer(p)
		}
	}
}

// answer answers the read of a proxy if an update is pending.
func (m *relayModel) answer(p *modelProxy) {
	pending, _ := m.sessions.Pending(p.session, m.store, m.now)
	if len(pending) == 0 {
		return
	}
	m.sessions.ReadEnded(p.session)
	p.reading, p.pendingSince = false, time.Time{}
	if m.random.IntN(5) == 0 { // the response is lost
		p.session = nil
		return
	}
	p.apply(m.t, m.store.UpdateSince("r", pending[0].From))
	if !maps.Equal(p.items, contents(m.store)) {
		m.t.Fatalf("%s at version %v: got %v, want %v", p.name, p.at, p.items, contents(m.store))
	}
}

// check checks that the counts match the positions, and that no read waits longer than allowed.
func (m *relayModel) check() {
	counts := make(map[Version]int)
	for _, s := range m.sessions.byID {
		for _, position := range s.positions {
			counts[position.inForce]++
		}
	}
	if f := m.sessions.followed["r"]; f != nil && !maps.Equal(f.counts, counts) || f == nil && len(counts) > 0 {
		m.t.Fatalf("counts differ from the positions, want %v", counts)
	}
	longest := m.sessions.limits.Coalesce + 20*time.Millisecond
	for _, p := range m.proxies {
		if p.reading && !p.pendingSince.IsZero() && m.now.Sub(p.pendingSince) > longest {
			m.t.Fatalf("%s has waited %v for an update, want at most %v", p.name, m.now.Sub(p.pendingSince), longest)
		}
	}
}

// finish makes all proxies read repeatedly, and checks that they have the latest version.
func (m *relayModel) finish() {
	for range 50 {
		m.advance(100 * time.Millisecond)
		for _, p := range m.proxies {
			m.read(p)
		}
	}
	for _, p := range m.proxies {
		if p.at != m.store.Version("r") || !maps.Equal(p.items, contents(m.store)) {
			m.t.Fatalf("%s: got version %v, want %v", p.name, p.at, m.store.Version("r"))
		}
	}
	if !m.sessions.InForce("r", m.store.Version("r")) {
		m.t.Fatal("InForce is false although all proxies have the latest version")
	}
}
