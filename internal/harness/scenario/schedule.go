package scenario

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	scheduleStream = 1                      // stream of the schedule's random generator
	minDuration    = 100 * time.Millisecond // least duration of a drawn fault
	minShare       = 0.1                    // least share of a group that a drawn fault acts on
	maxShare       = 0.6                    // largest share of a group that a drawn fault acts on
)

// Schedule returns all faults of the run, sorted by time: the faults of the file and the faults
// drawn from the seed. Names of each fault has everything that the fault acts on. Equal seeds give
// equal schedules.
func (s *Scenario) Schedule() []Fault {
	return DrawSchedule(s.Seed, s.Faults, s.Random.Count, s.draw, s.selected)
}

// DrawSchedule returns the given faults and drawn further faults, sorted by time. The function draw
// draws one fault; selected returns the names of everything that a fault acts on. Equal seeds give
// equal schedules.
func DrawSchedule(
	seed uint64, given []Fault, drawn int,
	draw func(*rand.Rand) Fault, selected func(Fault, *rand.Rand) []string,
) []Fault {
	var schedule []Fault
	rnd := rand.New(rand.NewPCG(seed, scheduleStream))
	for _, f := range given {
		f.Names = selected(f, rnd)
		schedule = append(schedule, f)
	}
	for range drawn {
		f := draw(rnd)
		f.Names = selected(f, rnd)
		schedule = append(schedule, f)
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

// selected returns the names of the processes that a fault acts on.
func (s *Scenario) selected(f Fault, rnd *rand.Rand) []string {
	if len(f.Names) > 0 {
		return f.Names
	}
	group := s.Names(f.Group)
	if f.CrossSite {
		group = slices.Concat(s.Names(OnSidecars), s.Names(OnBackends), s.Names(OnLists))
	}
	var names []string
	for _, name := range group {
		if f.Site == "" || s.SiteOf(name) == f.Site || f.Group == OnLists {
			names = append(names, name)
		}
	}
	return DrawShare(names, f.Share, rnd)
}

// DrawShare draws a share of names, at least one, and returns them sorted by their numbers. A share
// that is not between 0 and 1 selects all names. DrawShare reorders names.
func DrawShare(names []string, share float64, rnd *rand.Rand) []string {
	if share <= 0 || share >= 1 {
		return names
	}
	rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:max(1, int(share*float64(len(names))+0.5))]
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	return names
}

// draw draws one fault. The order of the draws must not change: it determines which schedule a seed
// gives.
func (s *Scenario) draw(rnd *rand.Rand) Fault {
	r := s.Random
	f := Fault{
		Kind:      r.Kinds[rnd.IntN(len(r.Kinds))],
		Direction: BothDirections,
		Share:     minShare + rnd.Float64()*(maxShare-minShare),
		Bytes:     rnd.IntN(300),
	}
	duration := minDuration + time.Duration(rnd.Int64N(int64(r.MaxDuration)))
	f.Duration = min(duration, r.Until-r.From).Round(time.Millisecond)
	f.At = (r.From + time.Duration(rnd.Int64N(int64(r.Until-r.From-f.Duration)+1))).Round(time.Millisecond)
	f.At = min(f.At, s.Duration-f.Duration)
	switch kindTargets[f.Kind] {
	case onLinks:
		f.Link = links[rnd.IntN(len(links))]
		f.Group = OnSidecars
		if f.Kind == OneWay || f.Kind == Delay || f.Kind == Hold || f.Kind == HalfClose {
			f.Direction = []string{ToServer, ToClient}[rnd.IntN(2)]
		}
		if f.Kind == Delay {
			f.Delay = time.Duration(1+rnd.IntN(1000)) * time.Millisecond
			f.Jitter = time.Duration(rnd.IntN(200)) * time.Millisecond
		}
		if f.Kind == Slow {
			f.Rate = 100 + rnd.IntN(20_000)
		}
	case onProcesses:
		f.Group = OnSidecars
	case onLists:
		f.Group = OnLists
		f.Share = 0
	case onBackends:
		f.Group = OnBackends
	}
	return f
}

// With returns a copy of the scenario that has the given faults and no drawn ones.
func (s *Scenario) With(faults []Fault) *Scenario {
	other := *s
	other.Faults = faults
	other.Random = Random{}
	return &other
}
