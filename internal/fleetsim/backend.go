package fleetsim

import (
	"container/heap"
	"fernlanding/logic"
	"math"
)

// A backend serves requests by processor sharing: up to Slots of them share its cores, each on one core at most, and
// the rest waits in line. With as many slots as cores that is the M/M/c queue, with many more M/M/c processor sharing.
// A request of a tier with another behind it does half of its work, makes its calls one after another without a core
// but in its slot, and does the other half.

const (
	lookEvery  = 100_000  // microseconds between looks at a backend's load and warmth
	errorAfter = 1_000    // until an error that comes at once
	freeMemory = 200_000  // of what counts as free capacity
	turnAway   = int64(1) // until a full backend says so
)

// job is one attempt at a backend.
type job struct {
	att    *attempt
	work   float64 // left of the present part, in microseconds of a core of speed 1
	second float64 // of the part after the calls
	calls  int     // left to make
	finish float64 // on the backend's own clock of work
	place  int     // in running; -1 elsewhere
	slot   bool
	gone   bool // nobody waits for it, and it need not go on
}

// running holds the jobs that share the cores, by when they finish.
type running []*job

func (r running) Len() int           { return len(r) }
func (r running) Less(i, j int) bool { return r[i].finish < r[j].finish }
func (r running) Swap(i, j int)      { r[i], r[j] = r[j], r[i]; r[i].place, r[j].place = i, j }

// Push implements heap.Interface.
func (r *running) Push(x any) { j := x.(*job); j.place = len(*r); *r = append(*r, j) }

// Pop implements heap.Interface.
func (r *running) Pop() any {
	old := *r
	j := old[len(old)-1]
	j.place = -1
	*r = old[:len(old)-1]
	return j
}

type backend struct {
	f        *fleet
	id       string
	tier     int
	index    int // place in the tier
	cell     int
	kind     Kind
	state    logic.State
	dead     bool  // its process has gone
	launched int64 // 0: long ago
	copy     *copyOf

	jobs     running
	waiting  []*job
	slots    int     // taken
	clock    float64 // work done so far by a job that has always run
	clockAt  int64
	gen      int // of the next completion
	slow     float64
	hung     bool
	fail     float64 // part of requests that fail at once
	failOnly int     // class; -1: all
	spoil    float64

	over      bool
	overUntil int64
	restFrom  int64   // since when few cores were busy; 0: they are not
	held      float64 // running mean of requests that run or wait
	idle      float64 // running mean of the part of its capacity that is free
	pushed    []push  // work that has come while cold
}

type push struct {
	at   int64
	work float64
}

// warmth is the part of its capacity that a backend has.
func (b *backend) warmth() float64 {
	t := &b.f.day.Tiers[b.tier]
	if b.launched == 0 || t.Warm == 0 {
		return 1
	}
	age := float64(b.f.now-b.launched) / float64(t.Warm.micros())
	return min(1, t.ColdFrom+(1-t.ColdFrom)*age)
}

// speed is the work that a core does in a microsecond.
func (b *backend) speed() float64 {
	if b.hung || b.dead {
		return 0
	}
	s := b.kind.Speed * b.warmth() / b.slow
	if b.over {
		s /= b.f.day.Tiers[b.tier].Slower
	}
	return s
}

// each is the work that one running job gets in a microsecond.
func (b *backend) each() float64 {
	return b.speed() * min(1, float64(b.kind.Cores)/float64(max(1, len(b.jobs))))
}

// settle moves the backend's clock to now. It is called before anything changes the rate.
func (b *backend) settle() {
	now := b.f.now
	d := float64(now - b.clockAt)
	b.clock += d * b.each()
	if d > 0 {
		k := math.Exp(-d / freeMemory)
		free := 1 - float64(len(b.jobs))/float64(b.kind.Cores)
		if b.speed() == 0 || b.state != logic.Ready {
			free = 0
		}
		b.idle = b.idle*k + max(0, free)*(1-k)
	}
	b.clockAt = now
}

// plan sets the event of the next completion. It is called after every change of the rate.
func (b *backend) plan() {
	b.gen++
	rate := b.each()
	if len(b.jobs) == 0 || rate == 0 {
		return
	}
	gen := b.gen
	b.f.after(int64(math.Ceil(max(0, b.jobs[0].finish-b.clock)/rate)), func() {
		if gen == b.gen {
			b.settle()
			b.complete()
		}
	})
}

// complete ends the parts of work that are done.
func (b *backend) complete() {
	var done []*job
	for len(b.jobs) > 0 && b.jobs[0].finish <= b.clock+1e-6 {
		done = append(done, heap.Pop(&b.jobs).(*job))
	}
	for _, j := range done {
		b.step(j)
	}
	b.admit()
	b.plan()
}

// take is the arrival of an attempt's last byte.
func (b *backend) take(a *attempt) {
	f := b.f
	switch {
	case b.dead:
		a.end(logic.ConnectFailed)
		return
	case a.ended:
		return
	}
	j := &job{att: a, place: -1}
	a.job = j
	if b.hung {
		b.waiting = append(b.waiting, j)
		return
	}
	if b.fail > 0 && (b.failOnly < 0 || b.failOnly == a.call.op.class) && f.mishap.Float64() < b.fail {
		f.after(errorAfter, func() { a.end(logic.Error) })
		return
	}
	if b.state != logic.Ready || b.slots >= b.kind.Slots && len(b.waiting) >= b.kind.Waiting {
		f.after(turnAway, func() { a.end(logic.Overloaded) })
		return
	}
	b.settle()
	b.waiting = append(b.waiting, j)
	b.admit()
	b.plan()
}

// admit gives free slots to those who wait.
func (b *backend) admit() {
	for !b.hung && b.slots < b.kind.Slots && len(b.waiting) > 0 {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		if j.gone {
			continue
		}
		b.slots++
		j.slot = true
		b.begin(j)
	}
}

// begin starts a job's work: from here on it has run.
func (b *backend) begin(j *job) {
	f, c := b.f, j.att.call
	total := c.op.work * f.day.Tiers[b.tier].Work * f.noise()
	j.work, j.calls = total, f.callsOf(c)
	if j.calls > 0 {
		j.work, j.second = total/2, total/2
	}
	f.figures.Work += total
	f.audit.ran(b, j)
	b.cold(total)
	b.run(j)
}

func (b *backend) run(j *job) {
	j.finish = b.clock + j.work
	heap.Push(&b.jobs, j)
}

// step goes on with a job whose part of work is done.
func (b *backend) step(j *job) {
	if j.calls == 0 && j.second == 0 {
		b.free(j)
		if b.spoil > 0 && b.f.mishap.Float64() < b.spoil {
			j.att.end(logic.Error)
		} else {
			j.att.end(logic.OK)
		}
		return
	}
	if j.calls == 0 {
		j.work, j.second = j.second, 0
		b.run(j)
		return
	}
	j.calls--
	if j.att.ended { // nobody waits: no more calls
		b.free(j)
		return
	}
	b.f.child(b, j, func(ok bool) {
		if j.place >= 0 || !j.slot { // its backend has died
			return
		}
		b.settle()
		if !ok {
			b.free(j)
			j.att.end(logic.Error)
		} else {
			b.step(j)
		}
		b.admit()
		b.plan()
	})
}

// free gives a job's slot back.
func (b *backend) free(j *job) {
	if j.slot {
		j.slot = false
		b.slots--
	}
}

// drop is told that nobody waits for an attempt any more: what waits is dropped, what runs goes on.
func (b *backend) drop(j *job) {
	if !j.slot {
		j.gone = true
	}
}

// set changes something that the rate of work hangs on.
func (b *backend) set(change func()) {
	b.settle()
	change()
	b.admit()
	b.plan()
}

// die ends the process.
func (b *backend) die() {
	b.settle()
	b.dead = true
	jobs := append(append([]*job{}, b.jobs...), b.waiting...)
	for _, j := range jobs {
		j.place = -1
	}
	b.jobs, b.waiting, b.slots = nil, nil, 0
	b.gen++
	for _, a := range b.f.attemptsAt(b) {
		if a.job != nil {
			a.job.slot = false
		}
		a.end(logic.Reset)
	}
	if b.copy != nil {
		b.copy.kill()
	}
}

// look keeps the books on crowding and warmth.
func (b *backend) look() {
	if b.dead {
		return
	}
	b.settle()
	t, now := &b.f.day.Tiers[b.tier], b.f.now
	n := float64(len(b.jobs) + len(b.waiting))
	k := math.Exp(-lookEvery / float64(t.OverFor.micros()))
	b.held = b.held*k + n*(1-k)
	cores := float64(b.kind.Cores)
	busy := min(1, float64(len(b.jobs))/cores)
	if b.hung {
		busy = 1
	}
	switch {
	case t.Slower == 0:
	case !b.over:
		if b.held > cores+t.OverAt*math.Sqrt(cores) {
			b.over, b.overUntil, b.restFrom = true, now+t.Most.micros(), 0
		}
	case busy >= t.Below:
		b.restFrom = 0
	case b.restFrom == 0:
		b.restFrom = now
	}
	if b.over {
		if now > b.f.warmup {
			b.f.figures.overTime++
		}
		if now >= b.overUntil || b.restFrom > 0 && now-b.restFrom >= t.Rest.micros() {
			b.over, b.held = false, 0
		}
	}
	if now > b.f.warmup {
		b.f.figures.lookTime++
	}
	if b.over || b.launched > 0 {
		b.plan()
	}
}

const (
	fallMultiple = 3.0
	fallSpan     = 3_000_000
)

// cold counts the work that comes to a cold backend: over a span it is to stay under a multiple of what the backend
// can do then.
func (b *backend) cold(work float64) {
	if b.warmth() >= 1 {
		return
	}
	now := b.f.now
	b.pushed = append(b.pushed, push{now, work})
	for b.pushed[0].at < now-fallSpan {
		b.pushed = b.pushed[1:]
	}
	sum := 0.0
	for _, p := range b.pushed {
		sum += p.work
	}
	can := b.kind.Speed * b.warmth() * float64(b.kind.Cores) * fallSpan
	if sum > fallMultiple*can {
		b.f.audit.broke("a cold backend was pushed over: " + b.id)
		b.pushed = nil
	}
}
