package predict

import (
	"fmt"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// BeforeAfter returns the table that compares the measurements over consul and over distribution. It
// has the largest size along each dimension at which both sources were measured.
func (c *Calculator) BeforeAfter() Table {
	table := Table{Head: []string{"size", "figure", "consul", "distribution", "consul to distribution"}}
	for _, d := range []result.Dimension{result.Proxies, result.Services, result.Backends, result.Changes} {
		if before, after := c.largestCommonPoints(d); before != nil {
			table.Rows = append(table.Rows, beforeAfterRows(before, after)...)
		}
	}
	return table
}

// largestCommonPoints returns the points of the largest size along a dimension that was measured
// over both sources, or nil if there is none.
func (c *Calculator) largestCommonPoints(d result.Dimension) (before, after *result.Point) {
	for _, consul := range c.evidence.hollowSweeps(result.SourceConsul, d) {
		for _, relay := range c.evidence.hollowSweeps(result.SourceRelay, d) {
			for i := range consul.Points {
				size := consul.Points[i].Size
				if before != nil && fit.DimensionValue(d, size) < fit.DimensionValue(d, before.Size) {
					continue
				}
				if same := pointOfSize(relay, size); same != nil {
					before, after = &consul.Points[i], same
				}
			}
		}
	}
	return before, after
}

// hollowSweeps returns the results with hollow proxies of a source along a dimension.
func (e *Evidence) hollowSweeps(source result.Source, d result.Dimension) []*result.Result {
	var sweeps []*result.Result
	for _, f := range e.Files {
		if f.Result.Hollow && f.Result.Source == source && f.Result.Dimension == d {
			sweeps = append(sweeps, f.Result)
		}
	}
	return sweeps
}

// pointOfSize returns the last point of a result with the given size, or nil if there is none.
func pointOfSize(r *result.Result, size result.Size) *result.Point {
	for i := len(r.Points) - 1; i >= 0; i-- {
		if r.Points[i].Size == size {
			return &r.Points[i]
		}
	}
	return nil
}

func beforeAfterRows(before, after *result.Point) [][]string {
	proxies := float64(before.Size.Proxies)
	var rows [][]string
	for _, line := range []struct {
		name    string
		role    fit.Role
		metric  fit.Metric
		divisor float64
	}{
		{"bytes to a proxy", fit.Proxies, fit.BytesIn, proxies},
		{"bytes from a proxy", fit.Proxies, fit.BytesOut, proxies},
		{"processor of a proxy", fit.Proxies, fit.CPU, proxies},
		{"memory of all hollow proxies", fit.Proxies, fit.RSS, 1},
		{"processor of the list service or source", fit.Lists, fit.CPU, 1},
		{"messages from the list service or source", fit.Lists, fit.MessagesOut, 1},
		{"processor of the relays", fit.Relays, fit.CPU, 1},
		{"memory of the relays", fit.Relays, fit.RSS, 1},
		{"in force, median", fit.Proxies, fit.PropagationMedian, 1},
		{"in force, p99", fit.Proxies, fit.PropagationP99, 1},
		{"in force, last", fit.Proxies, fit.PropagationMax, 1},
	} {
		valueBefore, okBefore := fit.MeanOf(before, line.role, line.metric)
		valueAfter, okAfter := fit.MeanOf(after, line.role, line.metric)
		if !okBefore && !okAfter {
			continue
		}
		unit, base := line.metric.Unit()
		format := func(v float64, ok bool) string {
			if !ok {
				return "-"
			}
			return formatNumber(v/line.divisor/base) + " m"
		}
		ratio := "-"
		if okBefore && okAfter && valueAfter > 0 {
			ratio = formatNumber(valueBefore/valueAfter) + " w"
		}
		rows = append(rows, []string{
			sizeText(before.Size),
			fmt.Sprintf("%s, %s", line.name, unit),
			format(valueBefore, okBefore),
			format(valueAfter, okAfter),
			ratio,
		})
	}
	return rows
}
