package fit

import (
	"math"

	"fernlanding/internal/scale/result"
)

// Tolerance is the relative error that a prediction may have.
const Tolerance = 0.15

// Comparison compares a prediction for a held-out point with the measurement.
type Comparison struct {
	Scenario        string
	Source          result.Source
	Size            result.Size
	Role            Role
	Metric          Metric
	Predicted       float64 // by the model over all sweeps
	PredictedByLine float64 // by the line of the point's sweep; NaN if the sweep has no line
	Measured        float64 // mean over the rounds
}

// Ratio returns the ratio of the model's prediction to the measurement.
func (c Comparison) Ratio() float64 { return ratio(c.Predicted, c.Measured) }

// LineRatio returns the ratio of the line's prediction to the measurement.
func (c Comparison) LineRatio() float64 { return ratio(c.PredictedByLine, c.Measured) }

func ratio(predicted, measured float64) float64 {
	if measured == 0 && predicted == 0 {
		return 1
	}
	return predicted / measured
}

// WithinTolerance reports whether a ratio differs from 1 by at most Tolerance.
func WithinTolerance(ratio float64) bool { return math.Abs(ratio-1) <= Tolerance }

// HeldOut compares the predictions for all held-out points of the models' source with the
// measurements.
func (m *Models) HeldOut(results []*result.Result) []Comparison {
	var all []Comparison
	for _, r := range results {
		if r.Source != m.Source || r.Hollow != m.Hollow {
			continue
		}
		for i := range r.Points {
			if r.Points[i].HeldOut {
				all = append(all, m.compare(r, &r.Points[i], Sweeps(mergedSweep(r, results)))...)
			}
		}
	}
	return all
}

// mergedSweep returns the sweep of a result with its points in all files. A held-out size may have
// been measured by a separate run.
func mergedSweep(r *result.Result, results []*result.Result) *result.Result {
	sweep := *r
	sweep.Points = nil
	for _, other := range results {
		if isSameSweep(other, r) {
			sweep.Points = append(sweep.Points, other.Points...)
		}
	}
	return &sweep
}

// isSameSweep reports whether two results vary the same dimension of the same fleet and source.
func isSameSweep(a, b *result.Result) bool {
	return a.Source == b.Source && a.Hollow == b.Hollow && a.Dimension == b.Dimension && fixedSize(a) == fixedSize(b)
}

// fixedSize returns the size of a sweep with the swept dimension set to zero.
func fixedSize(r *result.Result) result.Size {
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

// compare returns the comparisons of all metrics that were measured at a point.
func (m *Models) compare(res *result.Result, p *result.Point, lines []Sweep) []Comparison {
	var all []Comparison
	for i := range m.All {
		model := &m.All[i]
		c := Comparison{
			Scenario: res.Scenario,
			Source:   res.Source,
			Size:     p.Size,
			Role:     model.Role,
			Metric:   model.Metric,
		}
		n := 0
		for k := range p.Rounds {
			r := &p.Rounds[k]
			value, ok := roundValue(r, model.Role, model.Metric)
			if !ok {
				continue
			}
			c.Measured += value
			c.Predicted += model.Predict(DriversOf(p.Size, costOf(r, model.Role).Processes, r.Relays.Processes))
			n++
		}
		if n > 0 {
			c.Measured /= float64(n)
			c.Predicted /= float64(n)
			c.PredictedByLine = predictByLine(lines, model, p.Size)
			all = append(all, c)
		}
	}
	return all
}

// predictByLine returns the metric of a model at a size by the line of the sweep, or NaN if there is
// no line.
func predictByLine(lines []Sweep, m *Model, size result.Size) float64 {
	for _, s := range lines {
		if s.Role != m.Role || s.Metric != m.Metric {
			continue
		}
		value := s.Line.at(DimensionValue(s.Dimension, size))
		if s.PerProxy {
			value *= float64(size.Proxies)
		}
		return value
	}
	return math.NaN()
}
