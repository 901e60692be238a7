package fleetsim

import (
	"fernlanding/logic"
	"math"
	"slices"
)

const (
	slotLength = 500_000 // microseconds; service is kept by slots of arrival
	freeBar    = 0.2     // a refusal while this part of every tier stood free is the gate's shadow
	mostBroken = 20      // faults that are kept in words
)

// Figures counts a day from its warm-up on. Requests are those of clients, with all their tries.
type Figures struct {
	Asked, Served, Late, Refused, Failed int
	Worth, Got                           float64
	Attempts                             int
	Work                                 float64 // begun, microseconds of a core of speed 1
	Refusals                             int     // by any copy, of any try
	Shadow                               int     // by the first tier, while capacity stood free in all tiers
	ShadowWorth                          float64 // what these tries were worth
	GateWorth                            float64 // the same without those that a tenant's share refused
	Causes                               [logic.ShedCauses]int
	ShadowCauses                         [logic.ShedCauses]int
	overTime, lookTime                   int
	worth, got                           []float64 // by slots of arrival
}

func (g *Figures) begin(d *Day) {
	n := int(d.Length.micros()/slotLength) + 1
	g.worth, g.got = make([]float64, n), make([]float64, n)
}

func (g *Figures) ask(f *fleet, o *op) {
	g.worth[o.came/slotLength] += o.worth
	if o.came >= f.warmup {
		g.Asked++
		g.Worth += o.worth
	}
}

// answer takes the last answer to a client.
func (g *Figures) answer(f *fleet, o *op, status answerStatus) {
	if o.done {
		f.audit.broke("a client was answered twice")
		return
	}
	o.done = true
	c := &f.day.Classes[o.class]
	part, took := 0.0, f.now-o.came
	switch {
	case status != served:
	case took <= c.Aim.micros():
		part = 1
	case took <= c.Deadline.micros():
		part = c.Late
	}
	g.got[o.came/slotLength] += part * o.worth
	if o.came < f.warmup {
		return
	}
	g.Got += part * o.worth
	switch {
	case status == refused:
		g.Refused++
	case status == failed:
		g.Failed++
	default:
		if f.served != nil {
			f.served(took)
		}
		g.Served++
		if part < 1 {
			g.Late++
		}
	}
}

// refusal takes a refusal by a copy.
func (f *fleet) refusal(c *copyOf, q *call) {
	if f.now < f.warmup {
		return
	}
	g, cause := &f.figures, c.bal.ShedCause()
	g.Refusals++
	g.Causes[cause]++
	shadow := c.tier == 0 && f.leastFree() >= freeBar
	if shadow {
		g.Shadow++
		g.ShadowWorth += q.op.worth
		if cause != logic.ByTenantQuota {
			g.GateWorth += q.op.worth
		}
		g.ShadowCauses[cause]++
	}
	if f.trace != nil {
		f.note(c, q, cause, shadow)
	}
}

// Result is a day that has been played.
type Result struct {
	Day *Day
	Figures
	Broken []string // rules, in words; none on a day that is as it should be
	Trace  *Trace   // nil unless it was asked for
}

func (f *fleet) result() *Result {
	for _, c := range f.all {
		if !c.dead && len(c.calls) > 0 {
			f.audit.broke("a request without a final answer")
		}
	}
	return &Result{Day: f.day, Figures: f.figures, Broken: f.audit.broken, Trace: f.trace}
}

// Service is the worth got of that asked for.
func (r *Result) Service() float64 { return part(r.Got, r.Worth) }

// ShadowPart is the worth of tries refused in the gate's shadow, of that asked for.
func (r *Result) ShadowPart() float64 { return part(r.ShadowWorth, r.Worth) }

// GatePart is the same without tries that a tenant's share refused, which is meant to hold back what is worth little.
func (r *Result) GatePart() float64 { return part(r.GateWorth, r.Worth) }

// Overdriven is the part of all backends' time in which they were slowed by crowds.
func (r *Result) Overdriven() float64 { return part(float64(r.overTime), float64(r.lookTime)) }

func part(x, of float64) float64 {
	if of == 0 {
		return 0
	}
	return x / of
}

// Windows of arrival by which recovery is judged.
const (
	window    = 2_000_000 / slotLength // slots
	recovered = 0.95
)

// Recovery is the time in seconds from a trouble's end until service over two seconds of arrivals is 95% of that of the
// same time of the calm day, which was asked the same; the rest of the day if it never is. It is false where the day ends
// too soon to tell.
func (r *Result) Recovery(calm *Result, t Trouble) (float64, bool) {
	end := int((t.At.micros() + t.For.micros() + slotLength - 1) / slotLength)
	last := int(r.Day.Length.micros()/slotLength) - window
	for i := end; i <= last; i++ {
		if r.over(i) >= recovered*calm.over(i) {
			return float64(i-end) * slotLength / 1e6, true
		}
	}
	return float64(last-end+1) * slotLength / 1e6, end <= last
}

func (r *Result) over(slot int) float64 {
	worth, got := 0.0, 0.0
	for i := slot; i < slot+window; i++ {
		worth, got = worth+r.worth[i], got+r.got[i]
	}
	if worth == 0 {
		return 1
	}
	return got / worth
}

// Calm is a day without its troubles, asked the same.
func (d *Day) Calm() *Day {
	c := *d
	c.Trouble = nil
	return &c
}

// Quantile is the value at a part of the sorted values, 0 if there are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(values))
	return s[int(math.Round(q*float64(len(s)-1)))]
}

// audit watches the four rules.
type audit struct {
	broken   []string
	lineages map[string]*ranAt
}

// ranAt is where and when something first began that is to happen once.
type ranAt struct {
	cell int
	at   int64
}

func (a *audit) broke(what string) {
	if len(a.broken) < mostBroken {
		a.broken = append(a.broken, what)
	}
}

// ran takes the begin of a job: an unsafe one is to begin once, a keyed one again only where its repeat is dropped.
func (a *audit) ran(b *backend, j *job) {
	q := j.att.call
	c := &b.f.day.Classes[q.op.class]
	if c.Repeat == "safe" {
		return
	}
	first := a.lineages[q.of]
	switch {
	case first == nil:
		a.lineages[q.of] = &ranAt{b.cell, b.f.now}
	case c.Repeat == "unsafe":
		a.broke("an unsafe request ran twice: " + q.of)
	case first.cell != b.cell:
		a.broke("a keyed request ran in two cells: " + q.of)
	case b.f.now-first.at > c.Window.micros():
		a.broke("a keyed request ran again after its window: " + q.of)
	}
}

// refused takes a refusal, which says that trying again is harmless.
func (a *audit) refused(q *call) {
	if q.op.class >= 0 && a.lineages[q.of] != nil {
		a.broke("a refusal of what has run: " + q.of)
	}
}
