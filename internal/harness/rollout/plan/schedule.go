package plan

import (
	"math/rand/v2"
	"slices"
	"time"

	"fernlanding/internal/harness/scenario"
)

// Limits of drawn faults.
const (
	minFaultDuration = 300 * time.Millisecond
	minSlowRate      = 200 // bytes per second
)

// linkCallers maps each link to the group that opens its connections.
var linkCallers = map[string]string{
	FollowersToZones:  OnFollowers,
	ZonesToRegions:    OnZones,
	RegionsToSource:   OnRegions,
	PublisherToSource: OnPublisher,
}

// Schedule returns all faults of the run, sorted by time: the faults of the scenario and the faults
// drawn from the seed. Names of each fault has everything that the fault acts on. Equal seeds give
// equal schedules.
func (sc *Scenario) Schedule() (out []Fault) {
	return sc.withoutOverlaps(scenario.DrawSchedule(sc.Seed, sc.Faults, sc.Random.Count, sc.drawFault, sc.targets))
}

// withoutOverlaps removes from each fault on processes the processes that another such fault
// affects at that time. It drops faults that have no processes left.
func (sc *Scenario) withoutOverlaps(faults []Fault) (out []Fault) {
	busy := map[string]time.Duration{}
	for _, f := range faults {
		if ActsOnLinks(f.Kind) {
			out = append(out, f)
			continue
		}
		f.Names = slices.DeleteFunc(slices.Clone(f.Names), func(name string) bool { return f.At <= busy[name] })
		for _, name := range f.Names {
			busy[name] = f.At + f.Duration
		}
		if len(f.Names) > 0 {
			out = append(out, f)
		}
	}
	return out
}

// targets returns the names of everything that a fault acts on. It draws them if the fault has no
// names.
func (sc *Scenario) targets(f Fault, random *rand.Rand) []string {
	if len(f.Names) > 0 {
		return f.Names
	}
	var names []string
	for _, name := range sc.defaultTargets(f) {
		if f.Site == "" || sc.ZoneOf(name) == f.Site {
			names = append(names, name)
		}
	}
	return scenario.DrawShare(names, f.Share, random)
}

// drawFault draws a fault. The order of the draws must not change: it determines which schedule a
// seed gives.
func (sc *Scenario) drawFault(random *rand.Rand) Fault {
	r := sc.Random
	f := Fault{
		Kind:      r.Kinds[random.IntN(len(r.Kinds))],
		Direction: scenario.BothDirections,
		Share:     0.1 + 0.8*random.Float64(),
	}
	duration := minFaultDuration + time.Duration(random.Int64N(int64(r.MaxDuration)))
	f.Duration = min(duration, r.Until-r.From).Round(time.Millisecond)
	f.At = (r.From + time.Duration(random.Int64N(int64(r.Until-r.From-f.Duration)+1))).Round(time.Millisecond)
	switch {
	case f.Kind == KillBetweenPuts:
		f.Group = OnPublisher
	case f.Kind == RestartFollowers:
		f.Group = OnFollowers
	case ActsOnLinks(f.Kind):
		f.Link = linkNames[random.IntN(len(linkNames))]
		f.Group = linkCallers[f.Link]
		if f.Kind == scenario.OneWay {
			f.Direction = []string{scenario.ToServer, scenario.ToClient}[random.IntN(2)]
		}
		f.Delay = time.Duration(1+random.IntN(1000)) * time.Millisecond
		f.Jitter = time.Duration(random.IntN(200)) * time.Millisecond
		f.Rate = minSlowRate + random.IntN(20_000)
	default:
		f.Group = groupNames[random.IntN(len(groupNames))]
	}
	return f
}
