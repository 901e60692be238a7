package fleetsim

import (
	"cmp"
	"fernlanding/logic"
	"math"
	"math/rand/v2"
	"slices"
)

const drainGrace = 250_000 // microseconds

// The streams of random numbers. What a client asks for hangs on the seed alone, so that a day with a trouble and the
// same day without it are asked the same.
const (
	streamAsked = iota + 1
	streamMore
	streamWay
	streamMishap
	streamClient
)

// fleet is one day as it is played.
type fleet struct {
	queue
	day      *Day
	capacity float64 // requests a second
	warmup   int64
	length   int64

	way, mishap, client *rand.Rand

	backends [][]*backend // by tier, those that have a process
	byID     map[string]*backend
	front    []*copyOf
	all      []*copyOf // that have ever been
	hot      float64   // part of all traffic that the first copy gets; 0: its usual part
	free     []float64 // part of each tier's capacity that stands free, as last looked at

	out        map[*attempt]uint64
	attemptSeq uint64
	ids        int
	copies     int

	figures Figures
	audit   audit
	trace   *Trace           // nil: none is kept
	served  func(took int64) // for tests: a client has been served
	looked  func()           // and books have been kept
}

// op is what a client wants, over all its tries.
type op struct {
	class, tenant int
	came          int64
	worth         float64
	work          float64 // microseconds of a core of speed 1, over all tiers
	key           string
	name          string
	tries         int
	done          bool
}

// Options says what a play keeps.
type Options struct {
	Trace bool // samples of every copy, and each refusal with its cause
}

// Play plays a day that is complete.
func Play(d *Day, opt Options) *Result { return newFleet(d, opt).play() }

func newFleet(d *Day, opt Options) *fleet {
	rng := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(d.Seed, stream)) }
	f := &fleet{
		day: d, capacity: d.Capacity(), warmup: d.Warmup.micros(), length: d.Length.micros(),
		way: rng(streamWay), mishap: rng(streamMishap), client: rng(streamClient),
		byID: map[string]*backend{}, out: map[*attempt]uint64{},
		free: make([]float64, len(d.Tiers)), backends: make([][]*backend, len(d.Tiers)),
	}
	f.audit.lineages = map[string]*ranAt{}
	f.figures.begin(d)
	if opt.Trace {
		f.trace = &Trace{}
	}
	f.build()
	return f
}

// play plays the day until nothing is left to happen.
func (f *fleet) play() *Result {
	for _, o := range f.asked() {
		f.at(o.came, func() { f.try(o) })
	}
	for i := range f.day.Trouble {
		f.cause(&f.day.Trouble[i])
	}
	f.at(0, f.look)
	for f.next() {
	}
	return f.result()
}

// build starts the backends, the last tier first, since each backend's own copy needs a list.
func (f *fleet) build() {
	for tier := len(f.day.Tiers) - 1; tier >= 0; tier-- {
		index := 0
		for _, k := range f.day.Tiers[tier].Kinds {
			for range k.Count {
				f.start(tier, index, k, 0)
				index++
			}
		}
		// Speeds are to be mixed over indices, since troubles take the first ones.
		rand.New(rand.NewPCG(f.day.Seed, 100+uint64(tier))).Shuffle(len(f.backends[tier]), func(i, j int) {
			b := f.backends[tier]
			b[i], b[j] = b[j], b[i]
		})
	}
	n := f.day.Tiers[0].Copies
	for i := range n {
		f.front = append(f.front, f.fresh(0, i, n))
	}
}

// fresh is a new copy with the list as it is.
func (f *fleet) fresh(tier, index, siblings int) *copyOf {
	c := f.newCopy(tier, index, siblings)
	c.late = int64(float64(f.day.Network.Notice.micros()) * (0.5 + f.way.Float64()))
	var entries []logic.Endpoint
	for _, b := range f.backends[tier] {
		if !b.dead && b.state != logic.Removed {
			entries = append(entries, b.entry())
		}
	}
	c.list(logic.Snapshot, entries)
	return c
}

// start starts a backend's process.
func (f *fleet) start(tier, index int, k Kind, launched int64) *backend {
	b := &backend{
		f: f, id: f.newID(f.day.Tiers[tier].Name + "-"), tier: tier, index: index,
		cell: index % f.day.Tiers[tier].Cells, kind: k, state: logic.Ready, launched: launched, slow: 1, failOnly: -1,
		clockAt: f.now, idle: 1,
	}
	f.byID[b.id] = b
	f.backends[tier] = append(f.backends[tier], b)
	if tier+1 < len(f.day.Tiers) {
		b.copy = f.fresh(tier+1, index, f.day.countOf(tier))
	}
	return b
}

// countOf is the number of a tier's backends.
func (d *Day) countOf(tier int) (n int) {
	for _, k := range d.Tiers[tier].Kinds {
		n += k.Count
	}
	return n
}

func (b *backend) entry() logic.Endpoint {
	return logic.Endpoint{ID: b.id, Cell: b.cell, State: b.state, Weight: 1, StartedAt: b.launched}
}

// tell has every copy before a backend's tier learn of its state, each in its time.
func (f *fleet) tell(b *backend) { f.announce(b, b.state) }

// announce has them learn of a state that need not be what the backend knows itself.
func (f *fleet) announce(b *backend, state logic.State) {
	e := b.entry()
	e.State = state
	for _, c := range f.all {
		if c.tier == b.tier && !c.dead {
			f.after(c.late, func() { c.list(logic.Delta, []logic.Endpoint{e}) })
		}
	}
}

// hop is the time of one way.
func (f *fleet) hop() int64 {
	return int64(float64(f.day.Network.Hop.micros()) * (0.5 + f.way.Float64()))
}

// noise is what one attempt's work differs by.
func (f *fleet) noise() float64 {
	if f.day.Noise == 0 {
		return 1
	}
	return math.Exp(f.day.Noise*f.mishap.NormFloat64() - f.day.Noise*f.day.Noise/2)
}

// callsOf is how many calls a job makes to the next tier.
func (f *fleet) callsOf(c *call) int {
	next := c.copy.tier + 1
	if next >= len(f.day.Tiers) {
		return 0
	}
	whole, part := math.Modf(f.day.Tiers[next].Calls)
	if f.mishap.Float64() < part {
		whole++
	}
	return int(whole)
}

// child is a call of a job to the next tier, through the copy beside its backend.
func (f *fleet) child(b *backend, j *job, then func(ok bool)) {
	parent := j.att.call
	if b.copy == nil || b.copy.dead {
		then(false)
		return
	}
	id := f.newID("c")
	q := &call{
		id: id, op: parent.op, lineage: lineage{of: id}, giveUp: parent.giveUp,
		answer: func(a answer) { then(a.status == served) },
	}
	if parent.key != "" {
		q.key = parent.key + "/" + id
	}
	if f.now >= q.giveUp {
		then(false)
		return
	}
	b.copy.take(q)
}

func (f *fleet) forget(a *attempt) { delete(f.out, a) }

// attemptsAt are the attempts that are out at a backend, in the order of their sending.
func (f *fleet) attemptsAt(b *backend) (at []*attempt) {
	for a := range f.out {
		if a.to == b {
			at = append(at, a)
		}
	}
	slices.SortFunc(at, func(x, y *attempt) int { return cmp.Compare(f.out[x], f.out[y]) })
	return at
}

func sortedCalls(m map[string]*call) []*call {
	all := make([]*call, 0, len(m))
	for _, q := range m {
		all = append(all, q)
	}
	slices.SortFunc(all, func(x, y *call) int { return cmp.Or(cmp.Compare(x.came, y.came), cmp.Compare(x.id, y.id)) })
	return all
}

// look is the fleet's round of books, ten times a second.
func (f *fleet) look() {
	for tier, bs := range f.backends {
		usable, all := 0.0, 0.0
		for _, b := range bs {
			b.look()
			if b.dead || b.state != logic.Ready {
				continue
			}
			can := float64(b.kind.Cores) * b.kind.Speed * b.warmth()
			all += can
			if !b.over && !b.hung && b.fail == 0 {
				usable += can * b.idle / b.slow
			}
		}
		f.free[tier] = 0
		if all > 0 {
			f.free[tier] = usable / all
		}
	}
	if f.looked != nil && f.now > f.warmup {
		f.looked()
	}
	if f.trace != nil && f.now%sampleEvery == 0 {
		f.sample()
	}
	if f.now < f.length {
		f.after(lookEvery, f.look)
	}
}

// leastFree is the part of its capacity that stands free in every tier.
func (f *fleet) leastFree() float64 { return slices.Min(f.free) }
