package predict

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// mainMetrics returns the metrics on the page. The command fernctl scale fit prints all metrics.
func mainMetrics() []fit.Metric {
	return []fit.Metric{
		fit.CPU, fit.RSS, fit.Heap, fit.BytesIn, fit.BytesOut, fit.MessagesIn, fit.MessagesOut, fit.Allocations,
		fit.Connections, fit.PropagationMedian, fit.PropagationP99,
	}
}

// metricText returns the name of a metric with its unit, if it has one.
func metricText(metric fit.Metric) string {
	unit, _ := metric.Unit()
	return strings.TrimSuffix(fmt.Sprintf("%s, %s", metric, unit), ", ")
}

func sizeText(s result.Size) string {
	return fmt.Sprintf("%d proxies, %d of %d services of %d, %s changes/s",
		s.Proxies, s.Services, s.TotalServices, s.Backends, formatNumber(s.ChangesPerSecond))
}

// plusMinus returns the text of a value and its standard error, in units of base.
func plusMinus(value, standardError, base float64) string {
	return fmt.Sprintf("%s ± %s", formatNumber(value/base), formatNumber(standardError/base))
}

// Lines returns the table of the lines fitted to each metric along each sweep.
func (e *Evidence) Lines(metrics []fit.Metric) Table {
	table := Table{Head: []string{"run", "role", "figure", "along", "slope", "intercept", "R²", "growth"}}
	for _, f := range e.Files {
		for _, sweep := range fit.Sweeps(f.Result) {
			if slices.Contains(metrics, sweep.Metric) {
				table.Rows = append(table.Rows, lineRow(f.Name, sweep))
			}
		}
	}
	return table
}

func lineRow(file string, sweep fit.Sweep) []string {
	_, base := sweep.Metric.Unit()
	role := string(sweep.Role) + ", all"
	if sweep.PerProxy {
		role = "a proxy"
	}
	l := sweep.Line
	return []string{
		"`" + file + "`",
		role,
		metricText(sweep.Metric),
		string(sweep.Dimension),
		plusMinus(l.Slope, l.SlopeError, base),
		plusMinus(l.Intercept, l.InterceptError, base),
		fmt.Sprintf("%.3f", l.R2),
		l.Shape.String(),
	}
}

// Models returns the table of the formulas of the models.
func (e *Evidence) Models(metrics []fit.Metric) Table {
	table := Table{Head: []string{
		"way", "role", "figure", "formula: the sum of", "R²", "off by, median and most", "rounds",
	}}
	for _, source := range allSources() {
		models := e.models[source]
		if models == nil {
			continue
		}
		for i := range models.All {
			if slices.Contains(metrics, models.All[i].Metric) {
				table.Rows = append(table.Rows, modelRow(&models.All[i]))
			}
		}
		var names []string
		for _, f := range e.fitted(source) {
			names = append(names, "`"+f.Name+"`")
		}
		table.Notes = append(table.Notes, fmt.Sprintf("%s is fitted through %s.", source, strings.Join(names, ", ")))
	}
	return table
}

func modelRow(m *fit.Model) []string {
	_, base := m.Metric.Unit()
	var terms []string
	for _, t := range m.Terms {
		terms = append(terms, plusMinus(t.Value, t.StandardError, base)+" a "+t.Name)
	}
	if len(terms) == 0 {
		terms = []string{"0"}
	}
	formula := strings.Join(terms, "; ")
	if len(m.Aliased) > 0 {
		formula += " (the sizes cannot tell it from: " + strings.Join(m.Aliased, ", ") + ")"
	}
	return []string{
		string(m.Source),
		string(m.Role),
		metricText(m.Metric),
		formula,
		fmt.Sprintf("%.3f", m.R2),
		formatPercent(m.MedianError) + ", " + formatPercent(m.MaxError),
		strconv.Itoa(m.Rounds),
	}
}

// HeldOut returns the table that compares the predictions for held-out points with the measurements.
func (e *Evidence) HeldOut(metrics []fit.Metric) Table {
	table := Table{Head: []string{
		"run", "size", "role", "figure", "by the formula", "by the sweep's line", "measured", "formula to measured",
		"line to measured", "within 15%",
	}}
	results := e.results()
	withinByFormula, withinByLine := 0, 0
	for _, source := range allSources() {
		if e.models[source] == nil {
			continue
		}
		for _, c := range e.models[source].HeldOut(results) {
			if !slices.Contains(metrics, c.Metric) {
				continue
			}
			table.Rows = append(table.Rows, heldOutRow(c))
			if fit.WithinTolerance(c.Ratio()) {
				withinByFormula++
			}
			if fit.WithinTolerance(c.LineRatio()) {
				withinByLine++
			}
		}
	}
	if all := len(table.Rows); all > 0 {
		table.Notes = append(table.Notes, fmt.Sprintf(
			"Of %d figures the formulas over all sweeps predict %d within 15%%, the line of the sweep itself %d.",
			all, withinByFormula, withinByLine))
	}
	return table
}

func heldOutRow(c fit.Comparison) []string {
	_, base := c.Metric.Unit()
	within := "both"
	switch byFormula, byLine := fit.WithinTolerance(c.Ratio()), fit.WithinTolerance(c.LineRatio()); {
	case !byFormula && !byLine:
		within = "**no**"
	case !byFormula:
		within = "line alone"
	case !byLine:
		within = "formula alone"
	}
	return []string{
		c.Scenario,
		sizeText(c.Size),
		string(c.Role),
		metricText(c.Metric),
		formatNumber(c.Predicted / base),
		formatNumber(c.PredictedByLine / base),
		formatNumber(c.Measured / base),
		formatNumber(c.Ratio()),
		formatNumber(c.LineRatio()),
		within,
	}
}

// Hollow returns the table that compares hollow with real proxies under the same load.
func (e *Evidence) Hollow(metrics []fit.Metric) Table {
	table := Table{Head: []string{
		"source", "size", "figure", "hollow, a proxy", "real, a proxy", "real to hollow",
	}}
	for _, p := range e.pairs {
		if p.Role == fit.Proxies && slices.Contains(metrics, p.Metric) {
			table.Rows = append(table.Rows, pairRow(p))
		}
	}
	return table
}

func pairRow(p fit.Pair) []string {
	_, base := p.Metric.Unit()
	divisor := float64(p.Size.Proxies)
	if p.Metric.IsTime() {
		divisor = 1
	}
	ratio := "-"
	if p.Hollow > 0 {
		ratio = fmt.Sprintf("%.2f", p.Real/p.Hollow)
	}
	return []string{
		string(p.Source),
		sizeText(p.Size),
		metricText(p.Metric),
		formatNumber(p.Hollow / divisor / base),
		formatNumber(p.Real / divisor / base),
		ratio,
	}
}
