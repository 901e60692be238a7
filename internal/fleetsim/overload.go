package fleetsim

import "math"

const (
	// coldOverloadMultiple is the multiple of its current capacity at which a backend in slow start
	// would collapse. More work is a violation.
	coldOverloadMultiple = 3.0
	coldOverloadWindow   = 3_000_000 // microseconds over which the work is averaged
)

// overloadState describes whether a backend with too many requests is slowed.
type overloadState struct {
	overloaded      bool
	overloadedUntil int64   // latest time of recovery, microseconds
	idleSince       int64   // time since which few cores are busy, microseconds; 0 means many are busy
	load            float64 // moving average of running and queued requests
}

// workEntry records work that a backend has started.
type workEntry struct {
	at   int64   // microseconds
	work float64 // microseconds of a core of speed 1
}

// sample updates the backend's overload state and its speed, which changes during slow start.
func (b *backend) sample() {
	if b.dead {
		return
	}
	b.advanceWorkClock()
	measured := b.sim.now > b.sim.warmup
	b.updateLoad()
	if b.overloaded {
		if measured {
			b.sim.metrics.overloadedSamples++
		}
		b.recover()
	}
	if measured {
		b.sim.metrics.samples++
	}
	if b.overloaded || b.startedAt != startedBeforeDay {
		b.scheduleCompletion()
	}
}

// updateLoad updates the average load and idleSince, and marks the backend as overloaded if the
// load exceeds its bound.
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

// recover ends the overload if its maximum duration is over or the backend has been idle long
// enough.
func (b *backend) recover() {
	now := b.sim.now
	idleFor := b.sim.day.Tiers[b.tier].RecoverFor.micros()
	if now >= b.overloadedUntil || b.idleSince > 0 && now-b.idleSince >= idleFor {
		b.overloaded, b.load = false, 0
	}
}

// recordColdWork records work that a backend starts during slow start. It reports a violation if
// the work within coldOverloadWindow exceeds coldOverloadMultiple times the backend's current
// capacity.
func (b *backend) recordColdWork(work float64) {
	if b.warmth() >= 1 {
		return
	}
	now := b.sim.now
	b.coldWork = append(b.coldWork, workEntry{at: now, work: work})
	for b.coldWork[0].at < now-coldOverloadWindow {
		b.coldWork = b.coldWork[1:]
	}
	sum := 0.0
	for _, e := range b.coldWork {
		sum += e.work
	}
	capacity := b.group.Speed * b.warmth() * float64(b.group.Cores) * coldOverloadWindow
	if sum > coldOverloadMultiple*capacity {
		b.sim.audit.violation("a cold backend was pushed over: " + b.id)
		b.coldWork = nil
	}
}
