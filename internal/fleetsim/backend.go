package fleetsim

import (
	"cmp"
	"math"
	"slices"

	"fernlanding/logic"
)

const (
	errorDelay        = 1_000   // microseconds until a failing backend answers an immediate error
	rejectionDelay    = 1       // microseconds until a full backend rejects an attempt
	freeTimeConstant  = 200_000 // microseconds; time constant of the mean free capacity
	completionEpsilon = 1e-6    // tolerance for completions on the work clock
)

// allClasses is the failClass value for failing requests of every class.
const allClasses = -1

// backend is a server that serves requests by processor sharing. Up to Slots requests share its
// cores, each using one core at most, and further requests are queued. With as many slots as cores
// the model is the M/M/c queue; with many more slots it is M/M/c processor sharing. If a request
// makes calls to the next tier, the backend does half of the work, makes the calls one after
// another, and then does the other half. During the calls the request keeps its slot but uses no
// core.
type backend struct {
	sim       *simulation
	id        string
	tier      int
	index     int // index in the tier
	cell      int
	group     BackendGroup
	state     logic.State
	dead      bool  // whether the process has ended
	startedAt int64 // microseconds, or startedBeforeDay
	replica   *replica

	running             runQueue
	queue               []*job
	usedSlots           int
	workClock           float64 // work that a job running since the start would have received
	clockAt             int64   // time of the last update of workClock, microseconds
	scheduledCompletion int     // number of the valid completion event; rescheduling replaces it

	slowdown    float64 // factor by which a fault slows the backend
	hung        bool
	failRate    float64 // fraction of requests that fail immediately
	failClass   int     // index of the only class that fails, or allClasses
	corruptRate float64 // fraction of served requests that are answered with an error

	overloadState
	freeFraction float64     // moving average of the fraction of its capacity that is free
	coldWork     []workEntry // work started during slow start, within coldOverloadWindow
}

// entry returns the backend's entry in the endpoint list.
func (b *backend) entry() logic.Endpoint {
	return logic.Endpoint{ID: b.id, Cell: b.cell, State: b.state, Weight: 1, StartedAt: b.startedAt}
}

// warmth returns the fraction of its full capacity that a backend currently has.
func (b *backend) warmth() float64 {
	t := &b.sim.day.Tiers[b.tier]
	if b.startedAt == startedBeforeDay || t.SlowStartWindow == 0 {
		return 1
	}
	progress := float64(b.sim.now-b.startedAt) / float64(t.SlowStartWindow.micros())
	return min(1, t.SlowStartCapacity+(1-t.SlowStartCapacity)*progress)
}

// coreSpeed returns the work that one core does per microsecond.
func (b *backend) coreSpeed() float64 {
	if b.hung || b.dead {
		return 0
	}
	speed := b.group.Speed * b.warmth() / b.slowdown
	if b.overloaded {
		speed /= b.sim.day.Tiers[b.tier].Slowdown
	}
	return speed
}

// jobSpeed returns the work that each running job receives per microsecond.
func (b *backend) jobSpeed() float64 {
	return b.coreSpeed() * min(1, float64(b.group.Cores)/float64(max(1, len(b.running))))
}

// advanceWorkClock advances the work clock to the current time. Callers must call it before any
// change of the speed.
func (b *backend) advanceWorkClock() {
	now := b.sim.now
	elapsed := float64(now - b.clockAt)
	b.workClock += elapsed * b.jobSpeed()
	if elapsed > 0 {
		keep := math.Exp(-elapsed / freeTimeConstant)
		free := 1 - float64(len(b.running))/float64(b.group.Cores)
		if b.coreSpeed() == 0 || b.state != logic.Ready {
			free = 0
		}
		b.freeFraction = b.freeFraction*keep + max(0, free)*(1-keep)
	}
	b.clockAt = now
}

// scheduleCompletion schedules the next completion. Callers must call it after every change of the
// speed.
func (b *backend) scheduleCompletion() {
	b.scheduledCompletion++
	speed := b.jobSpeed()
	if len(b.running) == 0 || speed == 0 {
		return
	}
	completion := b.scheduledCompletion
	b.sim.after(int64(math.Ceil(max(0, b.running[0].finishAt-b.workClock)/speed)), func() {
		if completion == b.scheduledCompletion {
			b.advanceWorkClock()
			b.complete()
		}
	})
}

// complete continues all jobs whose current part of the work is done.
func (b *backend) complete() {
	var done []*job
	for len(b.running) > 0 && b.running[0].finishAt <= b.workClock+completionEpsilon {
		done = append(done, b.running.removeFirst())
	}
	for _, j := range done {
		b.proceed(j)
	}
	b.admit()
	b.scheduleCompletion()
}

// receive handles an attempt whose last byte has arrived.
func (b *backend) receive(a *attempt) {
	s := b.sim
	if b.dead {
		a.end(logic.ConnectFailed)
		return
	}
	if a.ended {
		return
	}
	j := &job{attempt: a, heapIndex: notRunning}
	a.job = j
	switch {
	case b.hung:
		b.queue = append(b.queue, j)
	case b.failsAtOnce(a):
		s.after(errorDelay, func() { a.end(logic.Error) })
	case b.state != logic.Ready || b.usedSlots >= b.group.Slots && len(b.queue) >= b.group.QueueLength:
		s.after(rejectionDelay, func() { a.end(logic.Overloaded) })
	default:
		b.advanceWorkClock()
		b.queue = append(b.queue, j)
		b.admit()
		b.scheduleCompletion()
	}
}

// failsAtOnce draws whether a fault makes an attempt fail without being served.
func (b *backend) failsAtOnce(a *attempt) bool {
	return b.failRate > 0 && (b.failClass == allClasses || b.failClass == a.request.client.class) &&
		b.sim.backendRand.Float64() < b.failRate
}

// admit assigns free slots to queued jobs.
func (b *backend) admit() {
	for !b.hung && b.usedSlots < b.group.Slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		if j.abandoned {
			continue
		}
		b.usedSlots++
		j.hasSlot = true
		b.begin(j)
	}
}

// begin starts a job's work. A job that has begun counts as executed.
func (b *backend) begin(j *job) {
	s, q := b.sim, j.attempt.request
	total := q.client.work * s.day.Tiers[b.tier].Work * s.workNoise()
	j.work, j.callsLeft = total, s.drawCalls(b.tier)
	if j.callsLeft > 0 {
		j.work, j.workAfterCalls = total/2, total/2
	}
	s.metrics.Work += total
	s.audit.recordRun(b, j)
	b.recordColdWork(total)
	b.run(j)
}

// run adds a job to those that share the cores.
func (b *backend) run(j *job) {
	j.finishAt = b.workClock + j.work
	b.running.add(j)
}

// proceed continues a job whose current part is done: with its next call, the work after its calls,
// or its end.
func (b *backend) proceed(j *job) {
	if j.callsLeft > 0 {
		b.callNext(j)
		return
	}
	if j.workAfterCalls > 0 {
		j.work, j.workAfterCalls = j.workAfterCalls, 0
		b.run(j)
		return
	}
	b.releaseSlot(j)
	if b.corruptRate > 0 && b.sim.backendRand.Float64() < b.corruptRate {
		j.attempt.end(logic.Error)
	} else {
		j.attempt.end(logic.OK)
	}
}

// releaseSlot releases a job's slot if it has one.
func (b *backend) releaseSlot(j *job) {
	if j.hasSlot {
		j.hasSlot = false
		b.usedSlots--
	}
}

// abandon marks a job whose caller no longer waits. A queued job is dropped; a job that has begun
// runs to its end.
func (b *backend) abandon(j *job) {
	if !j.hasSlot {
		j.abandoned = true
	}
}

// applyChange applies a change that may affect the speed.
func (b *backend) applyChange(apply func()) {
	b.advanceWorkClock()
	apply()
	b.admit()
	b.scheduleCompletion()
}

// terminate ends the backend's process and resets all attempts in flight.
func (b *backend) terminate() {
	b.advanceWorkClock()
	b.dead = true
	for _, j := range b.running {
		j.heapIndex = notRunning
	}
	b.running, b.queue, b.usedSlots = nil, nil, 0
	b.scheduledCompletion++
	for _, a := range b.attemptsInFlight() {
		if a.job != nil {
			a.job.hasSlot = false
		}
		a.end(logic.Reset)
	}
	if b.replica != nil {
		b.replica.kill()
	}
}

// attemptsInFlight returns the attempts at the backend in the order in which they were sent.
func (b *backend) attemptsInFlight() []*attempt {
	order := b.sim.inFlight
	var all []*attempt
	for a := range order {
		if a.backend == b {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(x, y *attempt) int { return cmp.Compare(order[x], order[y]) })
	return all
}
