package fleetsim

import "math"

const (
	tipMultiple = 3.0       // a backend that warms up falls over at this multiple of its present capacity
	tipWindow   = 3_000_000 // in the mean of so many microseconds
)

// overloadState is whether a backend that holds too many requests is slowed.
type overloadState struct {
	overloaded      bool
	overloadedUntil int64   // when it recovers at the latest
	idleSince       int64   // since when few cores are busy; 0: they are not
	load            float64 // moving average of requests that run or are queued
}

// workEntry is work that has begun at a time.
type workEntry struct {
	at   int64
	work float64
}

// sample updates the backend's overload and its speed.
func (b *backend) sample() {
	if b.dead {
		return
	}
	b.settle()
	counts := b.sim.now > b.sim.warmup
	b.updateLoad()
	if b.overloaded {
		if counts {
			b.sim.metrics.overloadedSamples++
		}
		b.recover()
	}
	if counts {
		b.sim.metrics.samples++
	}
	if b.overloaded || b.startedAt != longAgo {
		b.plan()
	}
}

// updateLoad updates the load, by which the backend may become overloaded, and since when it is
// idle.
func (b *backend) updateLoad() {
	t, now := &b.sim.day.Tiers[b.tier], b.sim.now
	held := float64(len(b.running) + len(b.queue))
	keep := math.Exp(-sampleInterval / float64(t.OverloadWindow.micros()))
	b.load = b.load*keep + held*(1-keep)
	if t.Slowdown == 0 {
		return
	}
	cores := float64(b.group.Cores)
	if !b.overloaded {
		if b.load > cores+t.OverloadAt*math.Sqrt(cores) {
			b.overloaded, b.overloadedUntil, b.idleSince = true, now+t.MaxOverload.micros(), 0
		}
		return
	}
	busy := min(1, float64(len(b.running))/cores)
	if b.hung {
		busy = 1
	}
	if busy >= t.RecoverBelow {
		b.idleSince = 0
	} else if b.idleSince == 0 {
		b.idleSince = now
	}
}

// recover ends the overload if its time is up or the backend has been idle for long enough.
func (b *backend) recover() {
	now := b.sim.now
	idleFor := b.sim.day.Tiers[b.tier].RecoverFor.micros()
	if now >= b.overloadedUntil || b.idleSince > 0 && now-b.idleSince >= idleFor {
		b.overloaded, b.load = false, 0
	}
}

// recordColdWork counts the work that begins at a backend that warms up: over tipWindow it must
// stay under a multiple of what the backend can do then.
func (b *backend) recordColdWork(work float64) {
	if b.warmth() >= 1 {
		return
	}
	now := b.sim.now
	b.coldWork = append(b.coldWork, workEntry{at: now, work: work})
	for b.coldWork[0].at < now-tipWindow {
		b.coldWork = b.coldWork[1:]
	}
	sum := 0.0
	for _, e := range b.coldWork {
		sum += e.work
	}
	capacity := b.group.Speed * b.warmth() * float64(b.group.Cores) * tipWindow
	if sum > tipMultiple*capacity {
		b.sim.audit.violation("a cold backend was pushed over: " + b.id)
		b.coldWork = nil
	}
}
