package fleetsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	wavePeriod  = 11 * 1e6 // microseconds
	leastWait   = 1_000    // between two tries of a client
	shareMemory = 1.0      // seconds of its quota that a tenant may send at once
)

// asked draws all that clients will ask for. What troubles bring is drawn apart from it.
func (f *fleet) asked() []*op {
	d := f.day
	rnd := rand.New(rand.NewPCG(d.Seed, streamAsked))
	phase := rnd.Float64() * 2 * math.Pi
	all := f.draw(rnd, 0, float64(f.length), "", d.rate(), func(at float64) float64 {
		return (1 + d.Wave*math.Sin(phase+2*math.Pi*at/wavePeriod)) / (1 + d.Wave)
	})
	for i, t := range d.Trouble {
		if t.Kind != Burst || t.Times <= 1 {
			continue
		}
		rate := d.rate()
		if n := d.tenant(t.Tenant); n >= 0 {
			rate *= d.sends(n)
		}
		to := math.Min(float64(f.length), float64(t.At.micros()+t.For.micros()))
		all = append(all, f.draw(rand.New(rand.NewPCG(d.Seed, streamMore<<8+uint64(i))), float64(t.At.micros()), to, t.Tenant,
			rate*(t.Times-1), func(float64) float64 { return 1 / (1 + d.Wave) })...)
	}
	slices.SortStableFunc(all, func(x, y *op) int { return int(x.came - y.came) })
	f.value(all)
	return all
}

// sends is the part of all requests that is a tenant's.
func (d *Day) sends(n int) float64 {
	sum := 0.0
	for _, t := range d.Tenants {
		sum += t.Share * t.Usage
	}
	return d.Tenants[n].Share * d.Tenants[n].Usage / sum
}

// draw draws arrivals of a Poisson process at a rate times (1+Wave), each kept with the chance that keep gives.
func (f *fleet) draw(rnd *rand.Rand, from, to float64, tenant string, rate float64, keep func(float64) float64) (all []*op) {
	d := f.day
	if rate <= 0 {
		return nil
	}
	gap := 1e6 / (rate * (1 + d.Wave))
	for at := from + rnd.ExpFloat64()*gap; at < to; at += rnd.ExpFloat64() * gap {
		kept := rnd.Float64() < keep(at)
		o := &op{came: int64(at), tenant: d.tenant(tenant), class: pick(rnd, len(d.Classes), func(i int) float64 { return d.Classes[i].Share })}
		if o.tenant < 0 && len(d.Tenants) > 0 {
			o.tenant = pick(rnd, len(d.Tenants), d.sends)
		}
		c := &d.Classes[o.class]
		o.work = float64(c.Work.micros()) * workFactor(rnd, c.CV)
		if kept {
			all = append(all, o)
		}
	}
	return all
}

// pick draws an index by weights.
func pick(rnd *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := rnd.Float64() * sum
	for i := range n - 1 {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// workFactor has a mean of 1: exponential where its deviation is 1, else lognormal.
func workFactor(rnd *rand.Rand, cv float64) float64 {
	if cv == 1 {
		return rnd.ExpFloat64()
	}
	v := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(v)*rnd.NormFloat64() - v/2)
}

// value names requests and says what each is worth: less where a tenant has used up its share.
func (f *fleet) value(all []*op) {
	d := f.day
	left, last := make([]float64, len(d.Tenants)), make([]int64, len(d.Tenants))
	total := 0.0
	for _, t := range d.Tenants {
		total += t.Share
	}
	for i, o := range all {
		o.name, o.worth = "o"+strconv.Itoa(i), 1
		if d.Classes[o.class].Repeat == "keyed" {
			o.key = "k" + strconv.Itoa(i)
		}
		if o.tenant < 0 {
			continue
		}
		quota := d.Tenants[o.tenant].Share / total * d.Quota * f.capacity
		t := &left[o.tenant]
		*t = math.Min(math.Max(1, quota*shareMemory), *t+quota*float64(o.came-last[o.tenant])/1e6)
		if last[o.tenant] = o.came; *t < 1 {
			o.worth = d.Over
		} else {
			*t--
		}
	}
}

// try is one try of a client.
func (f *fleet) try(o *op) {
	o.tries++
	d, c := f.day, &f.day.Classes[o.class]
	if o.tries == 1 {
		f.figures.ask(f, o)
	}
	giveUp := min(o.came+c.Deadline.micros(), f.now+int64(d.Clients.Try*float64(c.Deadline.micros())))
	q := &call{
		id: f.newID("r"), op: o, lineage: lineage{of: o.name, key: o.key}, giveUp: giveUp,
		answer: func(a answer) { f.answered(o, a) },
	}
	to := f.dealt()
	f.after(f.hop(), func() {
		if to.dead || f.now >= giveUp { // nobody has taken it
			q.answer(answer{status: failed})
			return
		}
		to.take(q)
	})
}

// dealt is the copy that the front gives a client.
func (f *fleet) dealt() *copyOf {
	if f.hot > 0 && f.client.Float64() < f.hot || len(f.front) == 1 {
		return f.front[0]
	}
	if f.hot > 0 {
		return f.front[1+f.client.IntN(len(f.front)-1)]
	}
	return f.front[f.client.IntN(len(f.front))]
}

// answered is a client's answer to its present try. It comes again after a refusal, and after a failure where that
// does no harm.
func (f *fleet) answered(o *op, a answer) {
	c := &f.day.Classes[o.class]
	left := o.came + c.Deadline.micros() - f.now
	again := o.tries <= f.day.Clients.Retries && (a.status == refused || a.status == failed && c.Repeat == "safe")
	wait := max(leastWait, f.day.Clients.Backoff.micros())
	if a.status == refused && f.client.Float64() < f.day.Clients.Honour {
		wait = max(wait, a.after)
	}
	if a.status != served && again && wait < left {
		f.after(wait, func() { f.try(o) })
		return
	}
	f.figures.answer(f, o, a.status)
}

// RatePerSecond is the mean rate of first tries, before any trouble.
func (d *Day) RatePerSecond() float64 { return d.rate() }

// Seconds is the span in seconds.
func (s Span) Seconds() float64 { return time.Duration(s).Seconds() }
