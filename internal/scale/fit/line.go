package fit

import (
	"math"
	"slices"
)

// Line is the line fitted to a metric along the dimension of a sweep.
type Line struct {
	Slope          float64 // of the metric, per unit of the dimension
	SlopeError     float64 // standard error over all rounds
	Intercept      float64
	InterceptError float64 // standard error over all rounds
	R2             float64 // coefficient of determination
	Shape          Shape
}

// fitLine fits a line to observations, with the weights of weightsOf. The result ok is false if the
// observations have fewer than three sizes.
func fitLine(all []observation) (l Line, ok bool) {
	sizes := sizesOf(all)
	if len(sizes) < 3 {
		return Line{}, false
	}
	if allZero(all) {
		return Line{R2: 1, Shape: Shape{Kind: Flat}}, true
	}
	line := leastSquaresLine(all)
	line.Shape = shapeOf(all, sizes, line)
	return line, true
}

// sizesOf returns the distinct sizes of the observations in ascending order.
func sizesOf(all []observation) []float64 {
	var sizes []float64
	for _, o := range all {
		sizes = append(sizes, o.x)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// moments holds the weighted sums that determine a line.
type moments struct{ w, wx, wy, wxx, wxy float64 }

func momentsOf(all []observation, weights []float64) moments {
	var m moments
	for i, o := range all {
		w := weights[i]
		m.w += w
		m.wx += w * o.x
		m.wy += w * o.value
		m.wxx += w * o.x * o.x
		m.wxy += w * o.x * o.value
	}
	return m
}

// determinant returns the determinant of the normal equations. It is 0 if all observations are at
// one size.
func (m moments) determinant() float64 { return m.w*m.wxx - m.wx*m.wx }

// leastSquaresLine returns the weighted least squares line without its shape.
func leastSquaresLine(all []observation) Line {
	weights := weightsOf(all)
	m := momentsOf(all, weights)
	d := m.determinant()
	if d <= 0 {
		return Line{Intercept: m.wy / m.w}
	}
	line := Line{Slope: (m.w*m.wxy - m.wx*m.wy) / d}
	line.Intercept = (m.wy - line.Slope*m.wx) / m.w
	var left, total float64
	mean := m.wy / m.w
	for i, o := range all {
		r := o.value - line.at(o.x)
		left += weights[i] * r * r
		total += weights[i] * (o.value - mean) * (o.value - mean)
	}
	variance := left / float64(max(1, len(all)-2))
	line.SlopeError = math.Sqrt(variance * m.w / d)
	line.InterceptError = math.Sqrt(variance * m.wxx / d)
	line.R2 = 1
	if total > 0 {
		line.R2 = max(0, 1-left/total)
	}
	return line
}

// at returns the value of the line at a size.
func (l Line) at(x float64) float64 { return l.Intercept + l.Slope*x }

// weightFloor is the fraction of the largest value below which all values have the same weight.
const weightFloor = 0.02

// weightsOf returns weights that give a relative error the same influence at every size.
func weightsOf(all []observation) []float64 {
	largest := 0.0
	for _, o := range all {
		largest = max(largest, math.Abs(o.value))
	}
	weights := make([]float64, len(all))
	for i, o := range all {
		v := max(math.Abs(o.value), weightFloor*largest, minDivisor)
		weights[i] = 1 / (v * v)
	}
	return weights
}
