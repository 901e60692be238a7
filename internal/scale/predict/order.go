package predict

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// candidate is a mechanism that may be missing.
type candidate struct {
	name    string
	without amount // need over what is allowed, as it stands today
	with    amount // the same with the mechanism
	figures string
}

// Order is the table of mechanisms by how far the target is missed without each.
func (c *Calculator) Order() Table {
	s := shapeOf(c.t.Target, c.t)
	all := []candidate{c.configuration(s), c.listBytes(s), c.listCores(s), c.listMachines(s), c.subsets(s), c.ordinals(s), c.addedLatency(1), c.addedLatency(c.t.Target.Depth)}
	slices.SortStableFunc(all, func(a, b candidate) int {
		if a.without.known != b.without.known {
			if a.without.known {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.without.value, a.without.value)
	})
	t := Table{Head: []string{"mechanism", "need to allowed without it", "with it", "figures"}}
	for _, x := range all {
		t.Rows = append(t.Rows, []string{x.name, x.without.shown(WorkedOut, short), x.with.shown(WorkedOut, short), x.figures})
	}
	return t
}

// perWay divides a proxy's need by what is allowed, by consul and by distribution.
func (c *Calculator) perWay(s *shape, allowed float64, need func(proxyNeeds) amount) (without, with amount) {
	of := func(w way) amount { return need(c.proxyNeeds(w, c.ordinaryDrivers(s))).over(allowed) }
	return of(result.SourceConsul), of(result.SourceRelay)
}

func (c *Calculator) listBytes(s *shape) candidate {
	x := candidate{name: "distribution of lists: bytes of a proxy"}
	x.without, x.with = c.perWay(s, c.t.Limits.ProxyBytesASec, func(n proxyNeeds) amount { return n.bytes })
	x.figures = fmt.Sprintf("%s allowed", bytesASecond(c.t.Limits.ProxyBytesASec))
	return x
}

// configuration is carried by nothing today: no change is in force anywhere in any time.
func (c *Calculator) configuration(s *shape) candidate {
	minute := c.play(result.SourceRelay, s, c.events(s)[1])
	return candidate{
		name: "distribution of configuration", without: known(math.Inf(1)), with: minute.inForce.over(c.t.Limits.InForceSeconds),
		figures: fmt.Sprintf("%s changes a day; today nothing carries one to a proxy and nobody can say where it is in force; with it: the busiest minute", short(s.fleet.ChangesPerDay)),
	}
}

func (c *Calculator) listCores(s *shape) candidate {
	x := candidate{name: "distribution of lists: processor of a proxy"}
	x.without, x.with = c.perWay(s, c.t.Limits.ProxyCores, func(n proxyNeeds) amount { return n.cores })
	x.figures = fmt.Sprintf("%s of a core allowed", percent(c.t.Limits.ProxyCores))
	return x
}

func (c *Calculator) listMachines(s *shape) candidate {
	of := func(w way) (sum amount) {
		sum.known = true
		for _, x := range c.tiersOf(w, s, c.ordinaryDrivers(s)) {
			cpu, out := c.e.predict(w, x.role, fit.CPU, x.d), c.e.predict(w, x.role, fit.BytesOut, x.d)
			need := c.machines(cpu, out)
			sum = sum.plus(amount{math.Ceil(need.value), need.known})
		}
		return sum.over(float64(c.t.Limits.ControlMachines))
	}
	return candidate{
		name: "distribution of lists: machines for control", without: of(result.SourceConsul), with: of(result.SourceRelay),
		figures: fmt.Sprintf("%d machines set aside", c.t.Limits.ControlMachines),
	}
}

func (c *Calculator) subsets(s *shape) candidate {
	_, most := s.connectionsIn(0)
	all, dialled := s.unspread(0, c.t.Get(IdleSeconds))
	allowed := c.t.Get(Descriptors)
	return candidate{
		name: "subsets of backends (there already: `logic`)", without: known(all / allowed), with: known(most / allowed),
		figures: fmt.Sprintf("%s connections to a backend of the largest service, %s of calls on a new one; %s with subsets", short(all), percent(dialled), short(most)),
	}
}

func (c *Calculator) ordinals(s *shape) candidate {
	_, most := s.connectionsIn(0)
	allowed := c.t.Get(Descriptors)
	return candidate{
		name: "an ordinal of its own for each caller (`ordinal` in its file; nothing deals them out)", without: known(s.callers(0) / allowed), with: known(most / allowed),
		figures: fmt.Sprintf("all callers with ordinal 0 share one subset of %s backends", short(s.subset(0))),
	}
}

func (c *Calculator) addedLatency(hops int) candidate {
	x := candidate{name: fmt.Sprintf("a faster way through: p99 added, %d in a row", hops), figures: fmt.Sprintf("%s ms allowed", short(c.t.Limits.AddedP99Ms))}
	for _, l := range c.e.Latency {
		if l.Hops != hops || math.Abs(l.RatePerSecond/c.ratePerProxy()-1) >= sameRate {
			continue
		}
		x.figures += fmt.Sprintf("; %s ms measured, the method against itself %s ms in half of the rounds", short(l.AddedP99.Median), short(l.Noise))
		if l.decides(c.t.Limits.AddedP99Ms) {
			x.without = known(l.AddedP99.Median / c.t.Limits.AddedP99Ms)
		}
	}
	return x
}

// decides tells whether the run says on which side of what is allowed the added latency lies.
func (l *Latency) decides(allowed float64) bool {
	return math.Abs(l.AddedP99.Median-allowed) > l.Noise
}

// sameRate is the part by which two rates may differ and count as the same.
const sameRate = 0.2

func (c *Calculator) ratePerProxy() float64 {
	return c.t.Target.CallsPerSecond / float64(c.t.Target.Proxies)
}
