package predict

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// mechanism is a part of the system with the ratios of need to limit without and with it.
type mechanism struct {
	name    string
	without amount // ratio of need to limit without the mechanism
	with    amount // ratio of need to limit with the mechanism
	details string // text of the last column
}

// Order returns the table of mechanisms in descending order of the ratio of need to limit without
// the mechanism.
func (c *Calculator) Order() Table {
	model := newFleetModel(c.target.Target, c.target)
	all := []mechanism{
		c.configurationDistribution(model),
		c.listBytes(model),
		c.listCores(model),
		c.listMachines(model),
		c.subsets(model),
		c.replicaIndexes(model),
		c.addedLatency(1),
		c.addedLatency(c.target.Target.Hops),
	}
	slices.SortStableFunc(all, func(a, b mechanism) int {
		if a.without.known != b.without.known {
			if a.without.known {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.without.value, a.without.value)
	})
	table := Table{Head: []string{"mechanism", "need to allowed without it", "with it", "figures"}}
	for _, m := range all {
		table.Rows = append(table.Rows, []string{
			m.name, m.without.format(formatNumber), m.with.format(formatNumber), m.details,
		})
	}
	return table
}

// compareSources returns the ratios of the need of a proxy to its limit, over consul and over
// distribution.
func (c *Calculator) compareSources(
	model *fleetModel, limit float64, need func(proxyNeeds) amount,
) (consul, distribution amount) {
	ratio := func(source result.Source) amount {
		return need(c.proxyNeeds(source, c.ordinaryDrivers(model))).dividedBy(limit)
	}
	return ratio(result.SourceConsul), ratio(result.SourceRelay)
}

func (c *Calculator) listBytes(model *fleetModel) mechanism {
	limit := c.target.Limits.ProxyBytesPerSecond
	without, with := c.compareSources(model, limit, func(n proxyNeeds) amount { return n.bytes })
	return mechanism{
		name:    "distribution of lists: bytes of a proxy",
		without: without,
		with:    with,
		details: fmt.Sprintf("%s allowed", formatByteRate(limit)),
	}
}

func (c *Calculator) listCores(model *fleetModel) mechanism {
	limit := c.target.Limits.ProxyCores
	without, with := c.compareSources(model, limit, func(n proxyNeeds) amount { return n.cores })
	return mechanism{
		name:    "distribution of lists: processor of a proxy",
		without: without,
		with:    with,
		details: fmt.Sprintf("%s of a core allowed", formatPercent(limit)),
	}
}

func (c *Calculator) listMachines(model *fleetModel) mechanism {
	ratio := func(source result.Source) amount {
		sum := known(0)
		for _, tier := range c.controlTiers(source, model, c.ordinaryDrivers(model)) {
			cpu := c.evidence.predict(source, tier.role, fit.CPU, tier.drivers)
			out := c.evidence.predict(source, tier.role, fit.BytesOut, tier.drivers)
			need := c.machines(cpu, out)
			need.value = math.Ceil(need.value)
			sum = sum.plus(need)
		}
		return sum.dividedBy(float64(c.target.Limits.ControlMachines))
	}
	return mechanism{
		name:    "distribution of lists: machines for control",
		without: ratio(result.SourceConsul),
		with:    ratio(result.SourceRelay),
		details: fmt.Sprintf("%d machines set aside", c.target.Limits.ControlMachines),
	}
}

// configurationDistribution returns the mechanism of distributing configuration. Its ratio without
// the mechanism is infinite: without distribution, no configuration change is ever applied.
func (c *Calculator) configurationDistribution(model *fleetModel) mechanism {
	minute := c.predictEvent(result.SourceRelay, model, c.busiestMinute(model))
	return mechanism{
		name:    "distribution of configuration",
		without: known(math.Inf(1)),
		with:    minute.propagation.dividedBy(c.target.Limits.PropagationSeconds),
		details: fmt.Sprintf("%s changes a day; today nothing carries one to a proxy and nobody can say where it is "+
			"in force; with it: the busiest minute", formatNumber(model.fleet.ConfigChangesPerDay)),
	}
}

func (c *Calculator) subsets(model *fleetModel) mechanism {
	_, maximum := model.connectionsIn(0)
	all, dialled := model.connectionsWithoutSubsets(0, c.target.Assumed(IdleTimeoutSeconds))
	limit := c.target.Assumed(Descriptors)
	return mechanism{
		name:    "subsets of backends (there already: `logic`)",
		without: known(all / limit),
		with:    known(maximum / limit),
		details: fmt.Sprintf(
			"%s connections to a backend of the largest service, %s of calls on a new one; %s with subsets",
			formatNumber(all), formatPercent(dialled), formatNumber(maximum)),
	}
}

func (c *Calculator) replicaIndexes(model *fleetModel) mechanism {
	_, maximum := model.connectionsIn(0)
	limit := c.target.Assumed(Descriptors)
	return mechanism{
		name:    "an ordinal of its own for each caller (`ordinal` in its file; nothing deals them out)",
		without: known(model.callers(0) / limit),
		with:    known(maximum / limit),
		details: fmt.Sprintf("all callers with ordinal 0 share one subset of %s backends",
			formatNumber(model.subset(0))),
	}
}

// rateTolerance is the relative difference below which two call rates count as equal.
const rateTolerance = 0.2

func (c *Calculator) addedLatency(hops int) mechanism {
	limit := c.target.Limits.AddedP99Ms
	m := mechanism{
		name:    fmt.Sprintf("a faster way through: p99 added, %d in a row", hops),
		details: fmt.Sprintf("%s ms allowed", formatNumber(limit)),
	}
	ratePerProxy := c.target.Target.CallsPerSecond / float64(c.target.Target.Proxies)
	for _, l := range c.evidence.Latency {
		if l.Hops != hops || math.Abs(l.RatePerSecond/ratePerProxy-1) >= rateTolerance {
			continue
		}
		m.details += fmt.Sprintf("; %s ms measured, the method against itself %s ms in half of the rounds",
			formatNumber(l.AddedP99.Median), formatNumber(l.Noise))
		if l.isConclusive(limit) {
			m.without = known(l.AddedP99.Median / limit)
		}
	}
	return m
}

// isConclusive reports whether the added latency differs from a limit by more than the noise.
func (l *Latency) isConclusive(limit float64) bool {
	return math.Abs(l.AddedP99.Median-limit) > l.Noise
}
