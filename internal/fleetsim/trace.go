package fleetsim

import "fernlanding/logic"

const (
	sampleEvery = 500_000 // microseconds
	mostNotes   = 200_000
)

// Trace is what a day shows of its copies. It is bounded by the day's length and by the refusals that it keeps.
type Trace struct {
	Samples  []Sample
	Refusals []Refusal
	Left     int // refusals that were too many to keep
}

// Sample is one copy at one time.
type Sample struct {
	At      int64 // microseconds
	Tier    int
	Copy    int // its number in the tier
	Figures logic.Stats
	Free    float64 // part of its tier's capacity that stands free
	Over    int     // backends of its tier that are slowed by crowds
	Can     float64 // cores of its tier that are free
}

// Refusal is one refusal with what caused it.
type Refusal struct {
	At     int64
	Tier   int
	Copy   int
	Class  int
	Tenant int
	Cause  logic.ShedCause
	Figure logic.LimitStats // of the rule that refused, where it has a count
	Free   float64          // least part of any tier that stood free
	Shadow bool
}

func (f *fleet) sample() {
	over := make([]int, len(f.backends))
	cores := make([]float64, len(f.backends))
	for tier, bs := range f.backends {
		for _, b := range bs {
			if b.over {
				over[tier]++
			}
			if !b.dead && !b.hung && b.state == logic.Ready {
				cores[tier] += b.idle * float64(b.kind.Cores)
			}
		}
	}
	for _, c := range f.all {
		if c.dead || c.tier == 0 && f.front[c.index] != c {
			continue
		}
		f.trace.Samples = append(f.trace.Samples, Sample{
			At: f.now, Tier: c.tier, Copy: c.index, Figures: c.bal.Stats(),
			Free: f.free[c.tier], Over: over[c.tier], Can: cores[c.tier],
		})
	}
}

func (f *fleet) note(c *copyOf, q *call, cause logic.ShedCause, shadow bool) {
	if len(f.trace.Refusals) >= mostNotes {
		f.trace.Left++
		return
	}
	r := Refusal{
		At: f.now, Tier: c.tier, Copy: c.index, Class: q.op.class, Tenant: q.op.tenant, Cause: cause,
		Free: f.leastFree(), Shadow: shadow,
	}
	switch g := c.bal.Stats(); cause {
	case logic.ByTierLimit:
		r.Figure = g.Tier
	case logic.ByClassLimit:
		r.Figure = g.Classes[q.op.class]
	case logic.ByTenantQuota:
		r.Figure.Limit = g.QuotaMultiple
	}
	f.trace.Refusals = append(f.trace.Refusals, r)
}
