package predict

import (
	"fmt"
	"slices"
	"strings"

	"fernlanding/internal/scale/fit"
	"fernlanding/internal/scale/result"
)

// Sizes is the table of what is told and what follows from it, at both sizes.
func (c *Calculator) Sizes() Table {
	t := Table{Head: []string{"", "today", "target"}}
	today, target := shapeOf(c.t.Today, c.t), shapeOf(c.t.Target, c.t)
	row := func(name string, m Mark, of func(*shape) float64) {
		t.Rows = append(t.Rows, []string{name, short(of(today)) + " " + string(todayMark(m)), short(of(target)) + " " + string(m)})
	}
	row("proxies, each with a backend", Told, func(s *shape) float64 { return float64(s.fleet.Proxies) })
	row("services", Told, func(s *shape) float64 { return float64(s.fleet.Services) })
	row("backends of the largest service", Assumed, func(s *shape) float64 { return s.sizes[0] })
	row("of the median one", WorkedOut, func(s *shape) float64 { return s.sizes[len(s.sizes)/2] })
	row("services followed by a proxy", Assumed, func(s *shape) float64 { return s.fleet.ServicesFollowed })
	row("endpoints that it holds for these", WorkedOut, (*shape).endpointsFollowed)
	row("callers of the largest service", WorkedOut, func(s *shape) float64 { return s.callers(0) })
	row("calls a second of a proxy", WorkedOut, func(s *shape) float64 { return s.fleet.CallsPerSecond / float64(s.fleet.Proxies) })
	row("changes to lists a day", WorkedOut, func(s *shape) float64 { return s.ordinary(c.t).total() - s.fleet.ChangesPerDay })
	row("changes of configuration a day", Told, func(s *shape) float64 { return s.fleet.ChangesPerDay })
	row("of both delivered to proxies, a second", WorkedOut, func(s *shape) float64 { n, _ := s.delivered(s.ordinary(c.t)); return n / day })
	return t
}

// todayMark is the mark of today's figures: what is told of the target is assumed of today.
func todayMark(m Mark) Mark {
	if m == Told {
		return Assumed
	}
	return m
}

// Assumptions is their list.
func (c *Calculator) Assumptions() Table {
	t := Table{Head: []string{"assumption", "value", "why"}}
	for _, a := range c.t.Assumptions {
		t.Rows = append(t.Rows, []string{"`" + string(a.Name) + "`", strings.TrimSpace(short(a.Value) + " " + a.Unit), a.Why})
	}
	return t
}

// Files is the table of the runs.
func (c *Calculator) Files() Table {
	t := Table{Head: []string{"file", "source", "varies", "proxies", "sizes", "held out", "rounds", "load before", "program"}}
	for _, f := range c.e.Files {
		r := f.Result
		kind := "real"
		if r.Hollow {
			kind = "hollow"
		}
		first, last := r.Points[0].Size, r.Points[len(r.Points)-1].Size
		held := "-"
		if i := slices.IndexFunc(r.Points, func(p result.Point) bool { return p.HeldOut }); i >= 0 {
			held = short(fit.Along(r.Dimension, r.Points[i].Size))
		}
		t.Rows = append(t.Rows, []string{
			"`" + f.Name + "`", string(r.Source), string(r.Dimension), kind + ", " + span(float64(first.Proxies), float64(last.Proxies)),
			fmt.Sprintf("%d: %s", len(r.Points), span(fit.Along(r.Dimension, first), fit.Along(r.Dimension, last))), held, fmt.Sprint(len(r.Points[0].Rounds)),
			short(r.LoadBefore), "`" + fmt.Sprintf("%.12s", r.Program) + "`",
		})
	}
	return t
}

func span(first, last float64) string {
	if first == last {
		return short(first)
	}
	return short(first) + " to " + short(last)
}

// mainFigures are those that the page shows; fernctl scale fit prints all.
func mainFigures() []fit.Figure {
	return []fit.Figure{fit.CPU, fit.RSS, fit.Heap, fit.BytesIn, fit.BytesOut, fit.MessagesIn, fit.MessagesOut, fit.Allocations, fit.Connections, fit.InForceMedian, fit.InForceP99}
}

// Lines is the table of how each figure grows along each sweep.
func (e *Evidence) Lines(figures []fit.Figure) Table {
	t := Table{Head: []string{"run", "role", "figure", "along", "slope", "intercept", "R²", "growth"}}
	for _, f := range e.Files {
		for _, s := range fit.Sweeps(f.Result) {
			if slices.Contains(figures, s.Figure) {
				t.Rows = append(t.Rows, lineRow(f.Name, s))
			}
		}
	}
	return t
}

func lineRow(file string, s fit.Sweep) []string {
	unit, base := s.Figure.Unit()
	what := string(s.Role) + ", all"
	if s.PerProxy {
		what = "a proxy"
	}
	l := s.Line
	return []string{
		"`" + file + "`", what, strings.TrimSuffix(fmt.Sprintf("%s, %s", s.Figure, unit), ", "), string(s.Dimension), fmt.Sprintf("%s ± %s", short(l.Slope/base), short(l.SlopeError/base)),
		fmt.Sprintf("%s ± %s", short(l.Intercept/base), short(l.InterceptError/base)), fmt.Sprintf("%.3f", l.R2), l.Shape.String(),
	}
}

// Models is the table of formulas.
func (e *Evidence) Models(figures []fit.Figure) Table {
	t := Table{Head: []string{"way", "role", "figure", "formula: the sum of", "R²", "off by, median and most", "rounds"}}
	for _, w := range []way{result.SourceStatic, result.SourceConsul, result.SourceCatalog, result.SourceRelay} {
		m := e.models[w]
		if m == nil {
			continue
		}
		for i := range m.All {
			if slices.Contains(figures, m.All[i].Figure) {
				t.Rows = append(t.Rows, modelRow(&m.All[i]))
			}
		}
		t.Notes = append(t.Notes, fmt.Sprintf("%s is fitted through %s.", w, strings.Join(e.runs(w), ", ")))
	}
	return t
}

// modelRow is a model as a row of Models.
func modelRow(m *fit.Model) []string {
	unit, base := m.Figure.Unit()
	var terms []string
	for _, x := range m.Terms {
		terms = append(terms, fmt.Sprintf("%s ± %s a %s", short(x.Value/base), short(x.Error/base), x.Name))
	}
	if len(terms) == 0 {
		terms = []string{"0"}
	}
	text := strings.Join(terms, "; ")
	if len(m.Aliased) > 0 {
		text += " (the sizes cannot tell it from: " + strings.Join(m.Aliased, ", ") + ")"
	}
	return []string{
		string(m.Source), string(m.Role), strings.TrimSuffix(fmt.Sprintf("%s, %s", m.Figure, unit), ", "), text, fmt.Sprintf("%.3f", m.R2),
		percent(m.Typical) + ", " + percent(m.Worst), fmt.Sprint(m.Rounds),
	}
}

// HeldOut is the table of prediction against fact.
func (e *Evidence) HeldOut(figures []fit.Figure) Table {
	t := Table{Head: []string{"run", "size", "role", "figure", "by the formula", "by the sweep's line", "measured", "formula to measured", "line to measured", "within 15%"}}
	results := e.results()
	all, formula, line := 0, 0, 0
	for _, w := range []way{result.SourceStatic, result.SourceConsul, result.SourceCatalog, result.SourceRelay} {
		if e.models[w] == nil {
			continue
		}
		for _, x := range e.models[w].HeldOut(results) {
			if !slices.Contains(figures, x.Figure) {
				continue
			}
			t.Rows = append(t.Rows, heldOutRow(x))
			all++
			formula += counted(fit.Within(x.Ratio()))
			line += counted(fit.Within(x.LineRatio()))
		}
	}
	if all > 0 {
		t.Notes = append(t.Notes, fmt.Sprintf("Of %d figures the formulas over all sweeps predict %d within 15%%, the line of the sweep itself %d.", all, formula, line))
	}
	return t
}

func counted(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// heldOutRow is a comparison as a row of HeldOut.
func heldOutRow(x fit.Comparison) []string {
	unit, base := x.Figure.Unit()
	within := "both"
	switch byFormula, byLine := fit.Within(x.Ratio()), fit.Within(x.LineRatio()); {
	case !byFormula && !byLine:
		within = "**no**"
	case !byFormula:
		within = "line alone"
	case !byLine:
		within = "formula alone"
	}
	return []string{
		x.Scenario, sizeText(x.Size), string(x.Role), strings.TrimSuffix(fmt.Sprintf("%s, %s", x.Figure, unit), ", "), short(x.Predicted / base), short(x.ByLine / base),
		short(x.Measured / base), short(x.Ratio()), short(x.LineRatio()), within,
	}
}

func sizeText(s result.Size) string {
	return fmt.Sprintf("%d proxies, %d of %d services of %d, %s changes/s", s.Proxies, s.Services, s.ServicesInAll, s.Backends, short(s.ChangesPerSecond))
}

// Hollow is the table of hollow against real processes.
func (e *Evidence) Hollow(figures []fit.Figure) Table {
	t := Table{Head: []string{"source", "size", "figure", "hollow, a proxy", "real, a proxy", "real to hollow"}}
	for _, p := range e.pairs {
		if p.Role != fit.Proxies || !slices.Contains(figures, p.Figure) {
			continue
		}
		unit, base := p.Figure.Unit()
		n := float64(p.Size.Proxies)
		if p.Figure.IsTime() {
			n = 1
		}
		ratio := "-"
		if p.Hollow > 0 {
			ratio = fmt.Sprintf("%.2f", p.Real/p.Hollow)
		}
		t.Rows = append(t.Rows, []string{string(p.Source), sizeText(p.Size), strings.TrimSuffix(fmt.Sprintf("%s, %s", p.Figure, unit), ", "), short(p.Hollow / n / base), short(p.Real / n / base), ratio})
	}
	return t
}

// Latencies is the table of what is added to a call.
func (c *Calculator) Latencies() Table {
	t := Table{Head: []string{"run", "case", "calls/s", "hops", "direct p99, ms", "through p99, ms", "added p99, ms: median, lowest, highest", "the method against itself, ms", "processor a call, µs", "verdict"}}
	for _, l := range c.e.Latency {
		added := fmt.Sprintf("%s, %s, %s m", short(l.AddedP99.Median), short(l.AddedP99.Lowest), short(l.AddedP99.Highest))
		same := fmt.Sprintf("%s, %s, %s m", short(l.SameP99.Median), short(l.SameP99.Lowest), short(l.SameP99.Highest))
		t.Rows = append(t.Rows, []string{
			"`" + l.File + "`", l.Case, short(l.RatePerSecond), fmt.Sprint(l.Hops), short(l.DirectP99) + " m", short(l.Through) + " m", added, same,
			short(l.CPUPerCallMicros) + " m", c.latencyVerdict(&l),
		})
	}
	return t
}

// latencyVerdict holds what is added against what is allowed, where the method is finer than that.
func (c *Calculator) latencyVerdict(l *Latency) string {
	if !l.decides(c.t.Limits.AddedP99Ms) {
		return "cannot be told: the run's noise is larger than the distance from what is allowed"
	}
	return verdict(known(l.AddedP99.Median), c.t.Limits.AddedP99Ms)
}
