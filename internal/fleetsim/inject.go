package fleetsim

import (
	"math"

	"fernlanding/logic"
)

const drainTimeout = 6_000_000 // microseconds that a draining backend stays for what it has

// inject schedules a fault's events.
func (s *simulation) inject(f *Fault) {
	switch f.Kind {
	case FaultSlow:
		s.during(f, func(b *backend) { b.slowdown = f.Factor }, func(b *backend) { b.slowdown = 1 })
	case FaultHang:
		s.during(f, func(b *backend) { b.hung = true }, func(b *backend) { b.hung = false })
	case FaultFail:
		class := s.day.classIndex(f.Class)
		s.during(f, func(b *backend) { b.failRate, b.failClass = f.Share, class }, func(b *backend) { b.failRate = 0 })
	case FaultCorrupt:
		s.during(f, func(b *backend) { b.corruptRate = f.Share }, func(b *backend) { b.corruptRate = 0 })
	case FaultKill:
		s.during(f, s.kill, s.revive)
	case FaultHotReplica:
		s.at(f.At.micros(), func() { s.hotShare = f.Share })
		s.at(f.end(), func() { s.hotShare = 0 })
	case FaultRelease:
		s.oneByOne(f, func(b *backend) {
			successor := s.startBackend(b.tier, b.index, b.group, max(1, s.now))
			s.notify(successor)
			s.drain(b)
		})
	case FaultShrink:
		s.oneByOne(f, s.drain)
	case FaultRestart:
		s.restartFront(f)
	case FaultBurst: // its requests are part of the workload
	}
}

// during has a fault begin and end at its backends.
func (s *simulation) during(f *Fault, begin, end func(*backend)) {
	var hit []*backend
	s.at(f.At.micros(), func() {
		hit = s.backendsOf(f)
		for _, b := range hit {
			b.change(func() { begin(b) })
		}
	})
	s.at(f.end(), func() {
		for _, b := range hit {
			b.change(func() { end(b) })
		}
	})
}

// oneByOne does something to a fault's backends, spread over its time.
func (s *simulation) oneByOne(f *Fault, do func(*backend)) {
	s.at(f.At.micros(), func() {
		hit := s.backendsOf(f)
		for i, b := range hit {
			s.after(f.Duration.micros()*int64(i)/int64(len(hit)), func() { do(b) })
		}
	})
}

// restartFront replaces the replicas before the first tier, spread over a fault's time.
func (s *simulation) restartFront(f *Fault) {
	from, n := f.At.micros(), int64(len(s.front))
	for i := range s.front {
		s.at(from+(f.end()-from)*int64(i)/n, func() {
			// The old replica ends what it holds; it gets nothing new.
			s.front[i] = s.startReplica(0, i, len(s.front))
		})
	}
}

// backendsOf returns the backends that a fault concerns, one at least.
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
