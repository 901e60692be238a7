package fit

import (
	"fmt"
	"math"
)

// Shape is the kind of growth of a metric along a sweep.
type Shape struct {
	Kind ShapeKind
	// DepartureSize is the first size that departs from the line through the smaller sizes. It is 0
	// for Flat and Linear.
	DepartureSize float64
}

// ShapeKind is the kind of a Shape.
type ShapeKind string

// The kinds of Shape.
const (
	// Flat means that the slope is at most three times its standard error, or changes the metric by
	// at most a twentieth over the sweep.
	Flat ShapeKind = "flat"
	// Linear means that the slopes of the lower and the upper half of the sizes agree.
	Linear      ShapeKind = "linear"
	Superlinear ShapeKind = "grows faster than linear"
	Sublinear   ShapeKind = "grows slower than linear"
)

// String returns the shape in words, as tables print it.
func (s Shape) String() string {
	if s.Kind == Superlinear || s.Kind == Sublinear {
		return fmt.Sprintf("%s from %.4g", s.Kind, s.DepartureSize)
	}
	return string(s.Kind)
}

// Thresholds of the test for linearity.
const (
	minSlopeErrors    = 3    // minimum slope, or difference of two slopes, in standard errors
	minSlopeFraction  = 0.15 // minimum difference of two slopes as a fraction of the larger slope
	flatFraction      = 0.05 // minimum change of a metric over a sweep, as a fraction of the metric
	departureFraction = 0.1  // minimum deviation of a departing size, as a fraction of the line's value
	minHalfSizes      = 2    // minimum number of sizes in each half
)

// shapeOf returns the shape of observations. It compares the slopes over the lower and the upper
// half of the sizes.
func shapeOf(all []observation, sizes []float64, line Line) Shape {
	lower, upper := halves(all, sizes[len(sizes)/2])
	if len(sizesOf(lower)) < minHalfSizes || len(sizesOf(upper)) < minHalfSizes {
		return straightShape(line, sizes)
	}
	a, b := leastSquaresLine(lower), leastSquaresLine(upper)
	difference := b.Slope - a.Slope
	spread := math.Hypot(scatterSlopeError(lower, a), scatterSlopeError(upper, b))
	isUncertain := math.Abs(difference) <= minSlopeErrors*spread
	isSmall := math.Abs(difference) <= minSlopeFraction*max(math.Abs(a.Slope), math.Abs(b.Slope))
	if isUncertain || isSmall || !isBend(all, sizes, a, b) {
		return straightShape(line, sizes)
	}
	if difference > 0 {
		return Shape{Kind: Superlinear, DepartureSize: departureSize(all, sizes)}
	}
	return Shape{Kind: Sublinear, DepartureSize: departureSize(all, sizes)}
}

// halves splits observations at a size. Observations at that size are in both halves.
func halves(all []observation, middle float64) (lower, upper []observation) {
	for _, o := range all {
		if o.x <= middle {
			lower = append(lower, o)
		}
		if o.x >= middle {
			upper = append(upper, o)
		}
	}
	return lower, upper
}

// scatterSlopeError returns the standard error of a slope, computed only from the scatter of the
// rounds at each size, so that a bend does not increase the error. If no size has two rounds, it
// returns the error of the line.
func scatterSlopeError(all []observation, line Line) float64 {
	weights := weightsOf(all)
	m := momentsOf(all, weights)
	scatter := 0.0
	for i, o := range all {
		deviation := o.value - meanAt(all, o.x)
		scatter += weights[i] * deviation * deviation
	}
	free := len(all) - len(sizesOf(all))
	d := m.determinant()
	if free <= 0 || d <= 0 {
		return line.SlopeError
	}
	return math.Sqrt(scatter / float64(free) * m.w / d)
}

// isBend reports whether two lines differ at the largest size by more than flatFraction of the
// metric.
func isBend(all []observation, sizes []float64, a, b Line) bool {
	largest := sizes[len(sizes)-1]
	return math.Abs(a.at(largest)-b.at(largest)) > flatFraction*math.Abs(meanAt(all, largest))
}

// straightShape returns the shape of observations without a bend: Flat or Linear.
func straightShape(line Line, sizes []float64) Shape {
	moved := math.Abs(line.Slope) * (sizes[len(sizes)-1] - sizes[0])
	middle := math.Abs(line.at((sizes[0] + sizes[len(sizes)-1]) / 2))
	if math.Abs(line.Slope) <= minSlopeErrors*line.SlopeError || moved <= flatFraction*middle {
		return Shape{Kind: Flat}
	}
	return Shape{Kind: Linear}
}

// departureSize returns the first size, from the third on, whose mean departs from the line through
// all smaller sizes. If no size departs, it returns the largest size.
func departureSize(all []observation, sizes []float64) float64 {
	for i := 2; i < len(sizes); i++ {
		var smaller []observation
		for _, o := range all {
			if o.x < sizes[i] {
				smaller = append(smaller, o)
			}
		}
		expected := leastSquaresLine(smaller).at(sizes[i])
		if math.Abs(meanAt(all, sizes[i])-expected) > departureFraction*math.Abs(expected) {
			return sizes[i]
		}
	}
	return sizes[len(sizes)-1]
}

// meanAt returns the mean of the values at a size, or 0 if there are none.
func meanAt(all []observation, x float64) float64 {
	sum, n := 0.0, 0
	for _, o := range all {
		if o.x == x {
			sum += o.value
			n++
		}
	}
	return sum / float64(max(n, 1))
}
