package fleetsim

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"fernlanding/logic"
)

// startedBeforeDay is the startedAt of a backend that is warm when the day begins.
const startedBeforeDay = 0

// newID returns an ID that is unique among processes and requests.
func (s *simulation) newID(prefix string) string {
	s.ids++
	return prefix + strconv.Itoa(s.ids)
}

// startAll starts all processes. The last tier starts first, since the replica beside each backend
// needs the endpoint list of the next tier.
func (s *simulation) startAll() {
	for tier := len(s.day.Tiers) - 1; tier >= 0; tier-- {
		index := 0
		for _, g := range s.day.Tiers[tier].Groups {
			for range g.Count {
				s.startBackend(tier, index, g, startedBeforeDay)
				index++
			}
		}
		// The backends are shuffled to mix their speeds, since faults affect consecutive indexes.
		backends := s.backends[tier]
		rand.New(rand.NewPCG(s.day.Seed, 100+uint64(tier))).Shuffle(len(backends), func(i, j int) {
			backends[i], backends[j] = backends[j], backends[i]
		})
	}
	n := s.day.Tiers[0].Replicas
	for i := range n {
		s.front = append(s.front, s.startReplica(0, i, n))
	}
}

// startReplica starts a replica with the current endpoint list.
func (s *simulation) startReplica(tier, index, replicas int) *replica {
	r := s.newReplica(tier, index, replicas)
	r.updateDelay = int64(float64(s.day.Network.UpdateDelay.micros()) * (0.5 + s.networkRand.Float64()))
	var entries []logic.Endpoint
	for _, b := range s.backends[tier] {
		if !b.dead && b.state != logic.Removed {
			entries = append(entries, b.entry())
		}
	}
	r.updateEndpoints(logic.Snapshot, entries)
	return r
}

// startBackend starts a backend's process; startedAt is in microseconds, or startedBeforeDay.
func (s *simulation) startBackend(tier, index int, g BackendGroup, startedAt int64) *backend {
	b := &backend{
		sim: s, id: s.newID(s.day.Tiers[tier].Name + "-"), tier: tier, index: index,
		cell: index % s.day.Tiers[tier].Cells, group: g, state: logic.Ready, startedAt: startedAt,
		slowdown: 1, failClass: allClasses, clockAt: s.now, freeFraction: 1,
	}
	s.byID[b.id] = b
	s.backends[tier] = append(s.backends[tier], b)
	s.startReplicaBeside(b)
	return b
}

// startReplicaBeside starts the replica through which a backend calls the next tier, if there is a
// next tier.
func (s *simulation) startReplicaBeside(b *backend) {
	if b.tier+1 < len(s.day.Tiers) {
		b.replica = s.startReplica(b.tier+1, b.index, s.day.backendCount(b.tier))
	}
}

// notify sends a backend's state to every replica of its tier. Each replica receives the update
// after its own delay.
func (s *simulation) notify(b *backend) { s.notifyState(b, b.state) }

// notifyState sends the replicas of a backend's tier a state that may differ from the backend's
// own.
func (s *simulation) notifyState(b *backend, state logic.State) {
	entry := b.entry()
	entry.State = state
	for _, r := range s.replicas {
		if r.tier == b.tier && !r.dead {
			s.after(r.updateDelay, func() { r.updateEndpoints(logic.Delta, []logic.Endpoint{entry}) })
		}
	}
}

// drain makes a backend reject new requests. The backend becomes Removed when it holds no requests
// any more, or drainTimeout after the start of the drain. Its process ends drainTimeout later.
func (s *simulation) drain(b *backend) {
	if b.dead || b.state != logic.Ready {
		return
	}
	b.advanceWorkClock()
	b.state = logic.Draining
	s.notify(b)
	until := s.now + drainTimeout
	var check func()
	check = func() {
		if b.usedSlots+len(b.queue) > 0 && s.now < until {
			s.after(sampleInterval, check)
			return
		}
		b.state = logic.Removed
		s.notify(b)
		s.after(drainTimeout, func() { s.remove(b) }) // attempts may still be in transit
	}
	// Requests arrive until all replicas are notified. The backend rejects them.
	s.after(int64(1.6*float64(s.day.Network.UpdateDelay.micros())), check)
}

// remove ends a backend's process permanently.
func (s *simulation) remove(b *backend) {
	b.terminate()
	i := slices.Index(s.backends[b.tier], b)
	if i >= 0 {
		s.backends[b.tier] = slices.Concat(s.backends[b.tier][:i], s.backends[b.tier][i+1:])
	}
}

// kill ends a backend's process without draining. The list service reports the backend as removed.
func (s *simulation) kill(b *backend) {
	b.terminate()
	s.notifyState(b, logic.Removed)
}

// revive restarts the process of a backend that was killed, unless the backend was drained before.
func (s *simulation) revive(b *backend) {
	if b.state != logic.Ready {
		return
	}
	b.dead, b.startedAt, b.clockAt = false, s.now, s.now
	b.overloaded, b.load = false, 0
	b.hung, b.slowdown, b.failRate, b.corruptRate = false, 1, 0, 0
	s.startReplicaBeside(b)
	s.notify(b)
}
