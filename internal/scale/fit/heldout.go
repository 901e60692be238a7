package fit

import (
	"math"

	"fernlanding/internal/scale/result"
)

// Tolerance is the part by which a prediction may miss what was measured.
const Tolerance = 0.15

// Comparison holds what a model predicts of a point that was held out against what was measured there.
type Comparison struct {
	Scenario  string
	Source    result.Source
	Size      result.Size
	Role      Role
	Figure    Figure
	Predicted float64 // by the model of all sweeps
	ByLine    float64 // by the line of the sweep that the point is of; NaN where that has none
	Measured  float64 // mean over the rounds
}

// Ratio is predicted by the model to measured.
func (c Comparison) Ratio() float64 { return ratio(c.Predicted, c.Measured) }

// LineRatio is predicted by the line to measured.
func (c Comparison) LineRatio() float64 { return ratio(c.ByLine, c.Measured) }

func ratio(predicted, measured float64) float64 {
	if measured == 0 && predicted == 0 {
		return 1
	}
	return predicted / measured
}

// Within tells whether a ratio is within the Tolerance.
func Within(ratio float64) bool { return math.Abs(ratio-1) <= Tolerance }

// HeldOut compares all held-out points of the results of a models' source with their predictions.
func (m *Models) HeldOut(results []*result.Result) (all []Comparison) {
	for _, r := range results {
		if r.Source != m.Source || r.Hollow != m.Hollow {
			continue
		}
		for i := range r.Points {
			if r.Points[i].HeldOut {
				all = append(all, m.compare(r, &r.Points[i], Sweeps(sweepOf(r, results)))...)
			}
		}
	}
	return all
}

// sweepOf is the sweep of a result with its points in other files: a size that is held out may have been played alone.
func sweepOf(r *result.Result, results []*result.Result) *result.Result {
	whole := *r
	whole.Points = nil
	for _, other := range results {
		if other.Source == r.Source && other.Hollow == r.Hollow && other.Dimension == r.Dimension && besides(other) == besides(r) {
			whole.Points = append(whole.Points, other.Points...)
		}
	}
	return &whole
}

// besides is the size that a sweep does not vary.
func besides(r *result.Result) result.Size {
	s := r.Points[0].Size
	switch r.Dimension {
	case result.Proxies:
		s.Proxies = 0
	case result.Services:
		s.Services = 0
	case result.Backends:
		s.Backends = 0
	case result.Changes:
		s.ChangesPerSecond = 0
	case result.Calls:
		s.CallsPerSecond = 0
	}
	return s
}

func (m *Models) compare(res *result.Result, p *result.Point, lines []Sweep) (all []Comparison) {
	for i := range m.Of {
		model := &m.Of[i]
		c := Comparison{Scenario: res.Scenario, Source: res.Source, Size: p.Size, Role: model.Role, Figure: model.Figure}
		n := 0
		for k := range p.Rounds {
			r := &p.Rounds[k]
			value, ok := measured(r, model.Role, model.Figure)
			if !ok {
				continue
			}
			c.Measured += value
			c.Predicted += model.Predict(DriversOf(p.Size, cost(r, model.Role).Processes, r.Relays.Processes))
			n++
		}
		if n > 0 {
			c.Measured, c.Predicted, c.ByLine = c.Measured/float64(n), c.Predicted/float64(n), byLine(lines, model, p.Size)
			all = append(all, c)
		}
	}
	return all
}

// byLine is a figure at a size by the line of its sweep; NaN where there is none.
func byLine(lines []Sweep, m *Model, size result.Size) float64 {
	for _, s := range lines {
		if s.Role != m.Role || s.Figure != m.Figure {
			continue
		}
		value := s.Line.at(Along(s.Dimension, size))
		if s.PerProxy {
			value *= float64(size.Proxies)
		}
		return value
	}
	return math.NaN()
}

// Pair is a figure measured of hollow and of real processes on the same work.
type Pair struct {
	Source       result.Source
	Size         result.Size
	Role         Role
	Figure       Figure
	Hollow, Real float64 // means over the rounds, over all processes
}

// Pairs returns all figures of points of the same size that were measured of hollow and of real processes.
func Pairs(results []*result.Result) (all []Pair) {
	for _, h := range results {
		for _, r := range results {
			if !h.Hollow || r.Hollow || h.Source != r.Source || h.Dimension != r.Dimension {
				continue
			}
			for i := range h.Points {
				for k := range r.Points {
					if h.Points[i].Size == r.Points[k].Size {
						all = append(all, pairsOf(h.Source, &h.Points[i], &r.Points[k])...)
					}
				}
			}
		}
	}
	return all
}

func pairsOf(source result.Source, hollow, real *result.Point) (all []Pair) {
	for _, role := range Roles() {
		for _, figure := range Figures() {
			h, hollowOK := MeanOf(hollow, role, figure)
			r, realOK := MeanOf(real, role, figure)
			if hollowOK && realOK {
				all = append(all, Pair{Source: source, Size: hollow.Size, Role: role, Figure: figure, Hollow: h, Real: r})
			}
		}
	}
	return all
}

// MeanOf is the mean over a point's rounds of a figure of a role; not ok where it was not measured.
func MeanOf(p *result.Point, role Role, figure Figure) (mean float64, ok bool) {
	n := 0
	for k := range p.Rounds {
		if v, ok := measured(&p.Rounds[k], role, figure); ok {
			mean, n = mean+v, n+1
		}
	}
	return mean / float64(max(n, 1)), n > 0
}
