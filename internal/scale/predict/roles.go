package predict

import (
	"fmt"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// Roles returns the table of the costs of each role in a fleet on an ordinary day.
func (c *Calculator) Roles(name string, f Fleet) Table {
	model := newFleetModel(f, c.target)
	table := Table{Title: name, Head: []string{
		"role", "way", "state", "messages in, out", "bytes in, out", "processor", "memory", "connections", "verdict",
	}}
	for _, source := range comparedSources() {
		drivers := c.ordinaryDrivers(model)
		table.Rows = append(table.Rows,
			c.callerRow(source, model, drivers),
			c.backendProxyRow(source, model, drivers),
		)
		for _, t := range c.controlTiers(source, model, drivers) {
			table.Rows = append(table.Rows, c.tierRow(source, t))
		}
	}
	table.Rows = append(table.Rows,
		operatorRow(),
		c.backendRow(model, 0, "the largest service"),
		c.backendRow(model, len(model.sizes)/2, "a middling service"),
	)
	return table
}

func (c *Calculator) callerRow(source result.Source, model *fleetModel, drivers fit.Drivers) []string {
	needs := c.proxyNeeds(source, drivers)
	return []string{
		"a caller's proxy",
		sourceName(source),
		fmt.Sprintf("%s lists of %s endpoints w",
			formatNumber(model.fleet.ServicesFollowed), formatNumber(model.endpointsFollowed())),
		needs.formatMessages(),
		needs.formatBytes(),
		needs.cores.format(formatPercent),
		needs.memory.format(formatBytes),
		fmt.Sprintf("%s control; %s to backends w",
			needs.connections.format(formatNumber), formatNumber(model.connectionsOut())),
		c.tightestLimit(needs),
	}
}

// backendProxyRow returns the row of the proxy of a backend of the largest service. The proxy has
// the control traffic of a caller's proxy and accepts the connections of the callers.
func (c *Calculator) backendProxyRow(source result.Source, model *fleetModel, drivers fit.Drivers) []string {
	needs := c.proxyNeeds(source, drivers)
	mean, maximum := model.connectionsIn(0)
	needs.memory.value += maximum * c.target.Assumed(ConnectionBytes)
	return []string{
		"a backend's proxy, largest service",
		sourceName(source),
		"as a caller's, and the calls under way",
		needs.formatMessages(),
		needs.formatBytes(),
		needs.cores.format(formatPercent),
		needs.memory.format(formatBytes),
		fmt.Sprintf("%s control; %s from callers, %s at most w",
			needs.connections.format(formatNumber), formatNumber(mean), formatNumber(maximum)),
		c.tightestLimit(needs),
	}
}

func (n proxyNeeds) formatMessages() string {
	return n.messagesIn.format(formatRate) + ", " + n.messagesOut.format(formatRate)
}

func (n proxyNeeds) formatBytes() string {
	return n.in.format(formatByteRate) + ", " + n.out.format(formatByteRate)
}

// tightestLimit returns the verdict on the limit of a proxy with the largest ratio of need to limit.
func (c *Calculator) tightestLimit(needs proxyNeeds) string {
	limits := c.target.Limits
	tightest, name := amount{}, ""
	for _, b := range []struct {
		need  amount
		limit float64
		name  string
	}{
		{needs.bytes, limits.ProxyBytesPerSecond, "bytes"},
		{needs.cores, limits.ProxyCores, "processor"},
		{needs.memory, limits.ProxyMemoryBytes, "memory"},
	} {
		if b.need.known && b.need.value/b.limit >= tightest.value {
			tightest, name = known(b.need.value/b.limit), b.name
		}
	}
	if !tightest.known {
		return "not measured"
	}
	return verdict(tightest, 1) + " (" + name + ")"
}

// Limits of the status that fernctl rollout reads.
const (
	laggingProxyBytes = 128 + 40
	rejectionBytes    = 128 + 256 + 60
	maxLaggingProxies = 20 // also the limit of rejections
)

// operatorRow returns the row of fernctl rollout, which reads the status of one resource.
func operatorRow() []string {
	size := float64(maxLaggingProxies * (laggingProxyBytes + rejectionBytes))
	return []string{
		"an operator's tool",
		sourceName(result.SourceRelay),
		"one status: counts by version, 20 laggards and 20 refusals at most",
		"1 a question",
		formatBytes(size) + " at most w",
		"not measured",
		"not measured",
		"1",
		"does not grow with the fleet",
	}
}

// backendRow returns the row of a backend of service i under the load of all its callers.
func (c *Calculator) backendRow(model *fleetModel, i int, name string) []string {
	callers := model.callers(i)
	mean, maximum := model.connectionsIn(i)
	all, dialled := model.connectionsWithoutSubsets(i, c.target.Assumed(IdleTimeoutSeconds))
	return []string{
		"a backend as seen by its callers",
		"logic's subset",
		fmt.Sprintf("%s: %s backends, %s callers, %s calls/s each w",
			name, formatNumber(model.sizes[i]), formatNumber(callers), formatNumber(model.callRate(i))),
		formatRate(model.fleet.CallsPerSecond/float64(model.fleet.Proxies)) + " calls t",
		"-",
		"-",
		formatBytes(maximum*c.target.Assumed(ConnectionBytes)) + " w",
		// Callers with the same replica index select the same subset of backends.
		fmt.Sprintf("%s, %s at most, by subsets of %s w; %s without subsets, %s of calls on a new connection w; "+
			"%s where callers share one ordinal w",
			formatNumber(mean), formatNumber(maximum), formatNumber(model.subset(i)), formatNumber(all),
			formatPercent(dialled), formatNumber(callers)),
		verdict(known(maximum), c.target.Assumed(Descriptors)) + " (descriptors)",
	}
}
