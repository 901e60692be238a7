package predict

import (
	"fmt"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// BeforeAfter is the table of what was measured by consul and by distribution at the same size: the largest of each
// dimension that both have.
func (c *Calculator) BeforeAfter() Table {
	t := Table{Head: []string{"size", "figure", "consul", "distribution", "consul to distribution"}}
	for _, d := range []result.Dimension{result.Proxies, result.Services, result.Backends, result.Changes} {
		if before, after := c.largestOfBoth(d); before != nil {
			t.Rows = append(t.Rows, beforeAfterRows(before, after)...)
		}
	}
	return t
}

// largestOfBoth are the points of the largest size in a dimension that was measured both ways; nil: none was.
func (c *Calculator) largestOfBoth(d result.Dimension) (before, after *result.Point) {
	for _, a := range c.e.Files {
		for _, b := range c.e.Files {
			x, y := a.Result, b.Result
			if x.Dimension != d || y.Dimension != d || !x.Hollow || !y.Hollow || x.Source != result.SourceConsul || y.Source != result.SourceRelay {
				continue
			}
			for i := range x.Points {
				for k := range y.Points {
					same := x.Points[i].Size == y.Points[k].Size
					if same && (before == nil || fit.Along(d, x.Points[i].Size) >= fit.Along(d, before.Size)) {
						before, after = &x.Points[i], &y.Points[k]
					}
				}
			}
		}
	}
	return before, after
}

func beforeAfterRows(before, after *result.Point) (rows [][]string) {
	n := float64(before.Size.Proxies)
	for _, x := range []struct {
		name   string
		role   fit.Role
		figure fit.Figure
		share  float64
	}{
		{"bytes to a proxy", fit.Proxies, fit.BytesIn, n},
		{"bytes from a proxy", fit.Proxies, fit.BytesOut, n},
		{"processor of a proxy", fit.Proxies, fit.CPU, n},
		{"memory of all hollow proxies", fit.Proxies, fit.RSS, 1},
		{"processor of the list service or source", fit.Lists, fit.CPU, 1},
		{"messages from the list service or source", fit.Lists, fit.MessagesOut, 1},
		{"processor of the relays", fit.Relays, fit.CPU, 1},
		{"memory of the relays", fit.Relays, fit.RSS, 1},
		{"in force, median", fit.Proxies, fit.InForceMedian, 1},
		{"in force, p99", fit.Proxies, fit.InForceP99, 1},
		{"in force, last", fit.Proxies, fit.InForceLast, 1},
	} {
		a, aOK := fit.MeanOf(before, x.role, x.figure)
		b, bOK := fit.MeanOf(after, x.role, x.figure)
		if !aOK && !bOK {
			continue
		}
		unit, base := x.figure.Unit()
		show := func(v float64, ok bool) string {
			if !ok {
				return "-"
			}
			return short(v/x.share/base) + " m"
		}
		ratio := "-"
		if aOK && bOK && b > 0 {
			ratio = short(a/b) + " w"
		}
		rows = append(rows, []string{sizeText(before.Size), fmt.Sprintf("%s, %s", x.name, unit), show(a, aOK), show(b, bOK), ratio})
	}
	return rows
}
