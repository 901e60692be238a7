package predict

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// Sizes returns the table of both fleets, with their stated, assumed and computed quantities.
func (c *Calculator) Sizes() Table {
	table := Table{Head: []string{"", "today", "target"}}
	today, target := newFleetModel(c.target.Today, c.target), newFleetModel(c.target.Target, c.target)
	for _, line := range []struct {
		name  string
		mark  Mark
		value func(*fleetModel) float64
	}{
		{"proxies, each with a backend", Stated, func(m *fleetModel) float64 { return float64(m.fleet.Proxies) }},
		{"services", Stated, func(m *fleetModel) float64 { return float64(m.fleet.Services) }},
		{"backends of the largest service", Assumed, func(m *fleetModel) float64 { return m.sizes[0] }},
		{"of the median one", Computed, func(m *fleetModel) float64 { return m.sizes[len(m.sizes)/2] }},
		{"services followed by a proxy", Assumed, func(m *fleetModel) float64 { return m.fleet.ServicesFollowed }},
		{"endpoints that it holds for these", Computed, (*fleetModel).endpointsFollowed},
		{"callers of the largest service", Computed, func(m *fleetModel) float64 { return m.callers(0) }},
		{"calls a second of a proxy", Computed, func(m *fleetModel) float64 {
			return m.fleet.CallsPerSecond / float64(m.fleet.Proxies)
		}},
		{"changes to lists a day", Computed, func(m *fleetModel) float64 {
			return m.ordinaryDay(c.target).total() - m.fleet.ConfigChangesPerDay
		}},
		{"changes of configuration a day", Stated, func(m *fleetModel) float64 { return m.fleet.ConfigChangesPerDay }},
		{"of both delivered to proxies, a second", Computed, func(m *fleetModel) float64 {
			changes, _ := m.delivered(m.ordinaryDay(c.target))
			return changes / secondsPerDay
		}},
	} {
		table.Rows = append(table.Rows, []string{
			line.name,
			formatNumber(line.value(today)) + " " + string(todayMark(line.mark)),
			formatNumber(line.value(target)) + " " + string(line.mark),
		})
	}
	return table
}

// todayMark returns the mark of a quantity of the present fleet. A quantity that is stated for the
// target is assumed for the present fleet.
func todayMark(m Mark) Mark {
	if m == Stated {
		return Assumed
	}
	return m
}

// Assumptions returns the table of the assumptions.
func (c *Calculator) Assumptions() Table {
	table := Table{Head: []string{"assumption", "value", "why"}}
	for _, a := range c.target.Assumptions {
		value := strings.TrimSpace(formatNumber(a.Value) + " " + a.Unit)
		table.Rows = append(table.Rows, []string{"`" + string(a.Name) + "`", value, a.Why})
	}
	return table
}

// Files returns the table of the result files.
func (c *Calculator) Files() Table {
	table := Table{Head: []string{
		"file", "source", "varies", "proxies", "sizes", "held out", "rounds", "load before", "program",
	}}
	for _, f := range c.evidence.Files {
		table.Rows = append(table.Rows, fileRow(f))
	}
	return table
}

func fileRow(f File) []string {
	r := f.Result
	kind := "real"
	if r.Hollow {
		kind = "hollow"
	}
	first, last := r.Points[0].Size, r.Points[len(r.Points)-1].Size
	sizes := formatRange(fit.DimensionValue(r.Dimension, first), fit.DimensionValue(r.Dimension, last))
	heldOut := "-"
	if i := slices.IndexFunc(r.Points, func(p result.Point) bool { return p.HeldOut }); i >= 0 {
		heldOut = formatNumber(fit.DimensionValue(r.Dimension, r.Points[i].Size))
	}
	return []string{
		"`" + f.Name + "`",
		string(r.Source),
		string(r.Dimension),
		kind + ", " + formatRange(float64(first.Proxies), float64(last.Proxies)),
		fmt.Sprintf("%d: %s", len(r.Points), sizes),
		heldOut,
		strconv.Itoa(len(r.Points[0].Rounds)),
		formatNumber(r.LoadBefore),
		fmt.Sprintf("`%.12s`", r.Program),
	}
}
