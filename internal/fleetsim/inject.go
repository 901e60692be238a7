package fleetsim

import (
	"math"

	"fernlanding/logic"
)

const drainTimeout = 6_000_000 // microseconds that a draining backend has to finish its requests

// inject schedules a fault's events.
func (s *simulation) inject(f *Fault) {
	switch f.Kind {
	case FaultSlow:
		s.applyDuring(f, func(b *backend) { b.slowdown = f.Factor }, func(b *backend) { b.slowdown = 1 })
	case FaultHang:
		s.applyDuring(f, func(b *backend) { b.hung = true }, func(b *backend) { b.hung = false })
	case FaultFail:
		class := s.day.classIndex(f.Class)
		s.applyDuring(f, func(b *backend) { b.failRate, b.failClass = f.Share, class },
			func(b *backend) { b.failRate = 0 })
	case FaultCorrupt:
		s.applyDuring(f, func(b *backend) { b.corruptRate = f.Share }, func(b *backend) { b.corruptRate = 0 })
	case FaultKill:
		s.applyDuring(f, s.kill, s.revive)
	case FaultHotReplica:
		s.at(f.At.micros(), func() { s.hotShare = f.Share })
		s.at(f.end(), func() { s.hotShare = 0 })
	case FaultRelease:
		s.applyStaggered(f, func(b *backend) {
			successor := s.startBackend(b.tier, b.index, b.group, max(1, s.now))
			s.notify(successor)
			s.drain(b)
		})
	case FaultShrink:
		s.applyStaggered(f, s.drain)
	case FaultRestart:
		s.restartFront(f)
	case FaultBurst: // the requests of a burst are part of the workload
	}
}

// applyDuring calls begin for each affected backend when a fault begins, and end when the fault
// ends.
func (s *simulation) applyDuring(f *Fault, begin, end func(*backend)) {
	var affected []*backend
	s.at(f.At.micros(), func() {
		affected = s.backendsOf(f)
		for _, b := range affected {
			b.applyChange(func() { begin(b) })
		}
	})
	s.at(f.end(), func() {
		for _, b := range affected {
			b.applyChange(func() { end(b) })
		}
	})
}

// applyStaggered calls do for the affected backends one after another, spread over the fault's
// duration.
func (s *simulation) applyStaggered(f *Fault, do func(*backend)) {
	s.at(f.At.micros(), func() {
		affected := s.backendsOf(f)
		for i, b := range affected {
			s.after(f.Duration.micros()*int64(i)/int64(len(affected)), func() { do(b) })
		}
	})
}

// restartFront replaces the replicas before the first tier one after another, spread over the
// fault's duration.
func (s *simulation) restartFront(f *Fault) {
	from, n := f.At.micros(), int64(len(s.front))
	for i := range s.front {
		s.at(from+(f.end()-from)*int64(i)/n, func() {
			// The old replica finishes its requests and receives no new ones.
			s.front[i] = s.startReplica(0, i, len(s.front))
		})
	}
}

// backendsOf returns the ready backends that a fault affects, at least one if there are any.
func (s *simulation) backendsOf(f *Fault) []*backend {
	var ready []*backend
	for _, b := range s.backends[f.Tier] {
		if !b.dead && b.state == logic.Ready {
			ready = append(ready, b)
		}
	}
	n := int(math.Round(f.Fraction * float64(len(ready))))
	n = min(max(1, n), len(ready))
	first := min(f.First, len(ready)-n)
	return ready[first : first+n]
}
