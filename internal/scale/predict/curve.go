package predict

import (
	"fmt"
	"strconv"

	"fernlanding/internal/scale/result"
)

// Curve returns the table of the costs of a proxy by the number of followed services. The notes give
// the number at which each budget is exceeded.
func (c *Calculator) Curve() Table {
	table := Table{Head: []string{
		"services followed", "endpoints", "connections to backends", "consul: bytes", "processor", "memory",
		"distribution: bytes", "processor", "memory",
	}}
	b := exceedances{}
	for _, n := range c.target.Curve {
		for _, ofLargest := range []bool{false, true} {
			table.Rows = append(table.Rows, c.curveRow(n, ofLargest, b))
		}
	}
	for _, ofLargest := range []bool{false, true} {
		for _, source := range comparedSources() {
			table.Notes = append(table.Notes, c.exceedanceNote(source, ofLargest, b))
		}
	}
	return table
}

// exceedances maps a budget to the first number of followed services that exceeds it.
type exceedances map[budgetKey]int

// budgetKey identifies a budget of a proxy that follows either typical services or the largest
// services. The budget of descriptors has no source.
type budgetKey struct {
	source    result.Source
	ofLargest bool
	name      string
}

func (b exceedances) record(key budgetKey, n int, isExceeded bool) {
	if _, found := b[key]; isExceeded && !found {
		b[key] = n
	}
}

func (b exceedances) text(key budgetKey) string {
	if n, found := b[key]; found {
		return fmt.Sprintf("%s at %d", key.name, n)
	}
	return key.name + " nowhere"
}

// modelFollowing returns the model of a fleet whose proxies all follow n services, and the number of
// endpoints per proxy. The n services are either typical services or the n largest services.
func (c *Calculator) modelFollowing(n int, ofLargest bool) (model *fleetModel, endpoints float64) {
	f := c.target.Target
	f.ServicesFollowed = min(float64(n), float64(f.Services))
	model = newFleetModel(f, c.target)
	if !ofLargest {
		return model, model.endpointsFollowed()
	}
	for i := range model.followed {
		model.followed[i] = 0
		if i < n {
			model.followed[i] = 1
		}
	}
	return model, model.largestEndpoints(n)
}

func (c *Calculator) curveRow(n int, ofLargest bool, b exceedances) []string {
	kind := "typical"
	if ofLargest {
		kind = "the largest"
	}
	model, endpoints := c.modelFollowing(n, ofLargest)
	connections := model.connectionsOut()
	row := []string{
		strconv.Itoa(n) + ", " + kind,
		formatNumber(endpoints) + " w",
		formatNumber(connections) + " w",
	}
	limits := c.target.Limits
	b.record(budgetKey{"", ofLargest, "descriptors"}, n, connections > c.target.Assumed(Descriptors))
	for _, source := range comparedSources() {
		needs := c.proxyNeeds(source, c.ordinaryDrivers(model))
		row = append(row,
			needs.bytes.format(formatByteRate),
			needs.cores.format(formatPercent),
			needs.memory.format(formatBytes),
		)
		b.record(budgetKey{source, ofLargest, "bytes"}, n, needs.bytes.value > limits.ProxyBytesPerSecond)
		b.record(budgetKey{source, ofLargest, "processor"}, n, needs.cores.value > limits.ProxyCores)
		b.record(budgetKey{source, ofLargest, "memory"}, n, needs.memory.value > limits.ProxyMemoryBytes)
	}
	return row
}

func (c *Calculator) exceedanceNote(source result.Source, ofLargest bool, b exceedances) string {
	kind := "typical services"
	if ofLargest {
		kind = "the largest services"
	}
	text := fmt.Sprintf("By %s, following %s, it breaks on the curve", sourceName(source), kind)
	if c.evidence.models[source] == nil {
		return text + ": not measured."
	}
	return fmt.Sprintf("%s: %s, %s, %s, %s.", text,
		b.text(budgetKey{source, ofLargest, "bytes"}),
		b.text(budgetKey{source, ofLargest, "processor"}),
		b.text(budgetKey{source, ofLargest, "memory"}),
		b.text(budgetKey{"", ofLargest, "descriptors"}),
	)
}
