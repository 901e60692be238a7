package fleetsim

import (
	"cmp"
	"math"
	"slices"

	"fernlanding/logic"
)

const (
	errorDelay        = 1_000   // microseconds until an error that comes at once
	rejectionDelay    = 1       // microseconds until a full backend rejects an attempt
	freeTimeConstant  = 200_000 // microseconds, of the mean of the free capacity
	completionEpsilon = 1e-6    // on the work clock
)

// allClasses is the failClass of a backend that fails requests of every class.
const allClasses = -1

// backend serves requests by processor sharing: up to its group's Slots of them share its cores,
// each on one core at most, and the rest is queued. With as many slots as cores that is the M/M/c
// queue, with many more M/M/c processor sharing. A request of a tier with another behind it does
// half of its work, makes its calls one after another without a core but in its slot, and does the
// other half.
type backend struct {
	sim       *simulation
	id        string
	tier      int
	index     int // place in the tier
	cell      int
	group     BackendGroup
	state     logic.State
	dead      bool  // its process has ended
	startedAt int64 // microseconds, or longAgo
	replica   *replica

	running    runQueue
	queue      []*job
	usedSlots  int
	workClock  float64 // work done so far by a job that has always run
	clockAt    int64   // when workClock was last moved
	completion int     // number of the next completion: a later plan replaces it

	slowdown    float64
	hung        bool
	failRate    float64 // fraction of requests that fail at once
	failClass   int     // allClasses, or the one
	corruptRate float64 // fraction of served requests that come back as errors

	overloadState
	freeFraction float64     // moving average of the fraction of its capacity that is free
	coldWork     []workEntry // work that has begun while it warms up
}

// entry returns the backend as the list service knows it.
func (b *backend) entry() logic.Endpoint {
	return logic.Endpoint{ID: b.id, Cell: b.cell, State: b.state, Weight: 1, StartedAt: b.startedAt}
}

// warmth returns the fraction of its capacity that a backend has.
func (b *backend) warmth() float64 {
	t := &b.sim.day.Tiers[b.tier]
	if b.startedAt == longAgo || t.SlowStartWindow == 0 {
		return 1
	}
	progress := float64(b.sim.now-b.startedAt) / float64(t.SlowStartWindow.micros())
	return min(1, t.SlowStartCapacity+(1-t.SlowStartCapacity)*progress)
}

// coreSpeed returns the work that a core does in a microsecond.
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

// jobSpeed returns the work that one running job gets in a microsecond.
func (b *backend) jobSpeed() float64 {
	return b.coreSpeed() * min(1, float64(b.group.Cores)/float64(max(1, len(b.running))))
}

// settle moves the work clock to now. It is called before anything changes the speed.
func (b *backend) settle() {
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

// plan schedules the next completion. It is called after every change of the speed.
func (b *backend) plan() {
	b.completion++
	speed := b.jobSpeed()
	if len(b.running) == 0 || speed == 0 {
		return
	}
	completion := b.completion
	b.sim.after(int64(math.Ceil(max(0, b.running[0].finishAt-b.workClock)/speed)), func() {
		if completion == b.completion {
			b.settle()
			b.complete()
		}
	})
}

// complete ends the parts of work that are done.
func (b *backend) complete() {
	var done []*job
	for len(b.running) > 0 && b.running[0].finishAt <= b.workClock+completionEpsilon {
		done = append(done, b.running.removeFirst())
	}
	for _, j := range done {
		b.proceed(j)
	}
	b.admit()
	b.plan()
}

// take takes an attempt whose last byte has arrived.
func (b *backend) take(a *attempt) {
	s := b.sim
	if b.dead {
		a.end(logic.ConnectFailed)
		return
	}
	if a.ended {
		return
	}
	j := &job{attempt: a, place: notRunning}
	a.job = j
	switch {
	case b.hung:
		b.queue = append(b.queue, j)
	case b.failsAtOnce(a):
		s.after(errorDelay, func() { a.end(logic.Error) })
	case b.state != logic.Ready || b.usedSlots >= b.group.Slots && len(b.queue) >= b.group.QueueLength:
		s.after(rejectionDelay, func() { a.end(logic.Overloaded) })
	default:
		b.settle()
		b.queue = append(b.queue, j)
		b.admit()
		b.plan()
	}
}

// failsAtOnce draws whether a fault fails an attempt unserved.
func (b *backend) failsAtOnce(a *attempt) bool {
	return b.failRate > 0 && (b.failClass == allClasses || b.failClass == a.request.client.class) &&
		b.sim.backendRand.Float64() < b.failRate
}

// admit gives free slots to queued jobs.
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

// begin starts a job's work: from here on it has run.
func (b *backend) begin(j *job) {
	s, q := b.sim, j.attempt.request
	total := q.client.work * s.day.Tiers[b.tier].Work * s.noise()
	j.work, j.calls = total, s.drawCalls(b.tier)
	if j.calls > 0 {
		j.work, j.secondPart = total/2, total/2
	}
	s.metrics.Work += total
	s.audit.ran(b, j)
	b.recordColdWork(total)
	b.run(j)
}

// run puts a job on the cores.
func (b *backend) run(j *job) {
	j.finishAt = b.workClock + j.work
	b.running.add(j)
}

// proceed goes on with a job whose present part is done: with a call, its second part or its end.
func (b *backend) proceed(j *job) {
	if j.calls > 0 {
		b.callNext(j)
		return
	}
	if j.secondPart > 0 {
		j.work, j.secondPart = j.secondPart, 0
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

// releaseSlot gives a job's slot back.
func (b *backend) releaseSlot(j *job) {
	if j.hasSlot {
		j.hasSlot = false
		b.usedSlots--
	}
}

// abandon notes that nobody waits for a job any more: what is queued is dropped, what runs goes on.
func (b *backend) abandon(j *job) {
	if !j.hasSlot {
		j.abandoned = true
	}
}

// change changes something that the speed depends on.
func (b *backend) change(apply func()) {
	b.settle()
	apply()
	b.admit()
	b.plan()
}

// die ends the process.
func (b *backend) die() {
	b.settle()
	b.dead = true
	for _, j := range b.running {
		j.place = notRunning
	}
	b.running, b.queue, b.usedSlots = nil, nil, 0
	b.completion++
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

// attemptsInFlight returns the attempts at the backend in the order of their sending.
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
