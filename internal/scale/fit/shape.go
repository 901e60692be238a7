package fit

import (
	"fmt"
	"math"
)

// Shape is how a figure grows along a sweep.
type Shape struct {
	Kind          ShapeKind
	DepartureSize float64 // the first size that departs from the line through the smaller sizes; 0 for Flat and Linear
}

// ShapeKind is the kind of a Shape.
type ShapeKind string

// The kinds of Shape.
const (
	// Flat means that the slope is within its error, or moves the figure by under a twentieth over the sweep.
	Flat ShapeKind = "flat"
	// Linear means that the slopes of the lower and the upper half agree.
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
	slopeErrors   = 3    // standard errors by which two slopes must differ
	slopePart     = 0.15 // of the larger slope, by which they must differ too
	flatPart      = 0.05 // of the figure, that a slope must move it by over a sweep to count
	departurePart = 0.1  // of the line's value, by which a size departs from it
	minHalfSizes  = 2    // in each half
)

// shapeOf compares the slope over the lower half of the sizes with that over the upper half.
func shapeOf(all []observation, sizes []float64, line Line) Shape {
	lower, upper := halves(all, sizes[len(sizes)/2])
	if len(sizesOf(lower)) < minHalfSizes || len(sizesOf(upper)) < minHalfSizes {
		return straightShape(line, sizes)
	}
	a, b := leastSquaresLine(lower), leastSquaresLine(upper)
	difference := b.Slope - a.Slope
	spread := math.Hypot(slopeSpread(lower, a), slopeSpread(upper, b))
	isUncertain := math.Abs(difference) <= slopeErrors*spread
	isSmall := math.Abs(difference) <= slopePart*max(math.Abs(a.Slope), math.Abs(b.Slope))
	if isUncertain || isSmall || !isBend(all, sizes, a, b) {
		return straightShape(line, sizes)
	}
	if difference > 0 {
		return Shape{Kind: Superlinear, DepartureSize: departure(all, sizes)}
	}
	return Shape{Kind: Sublinear, DepartureSize: departure(all, sizes)}
}

// halves splits observations at a size. Those at the size itself are in both halves.
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

// slopeSpread returns the standard error of a slope by the scatter of the rounds at each size
// alone, so that a bend does not add to it. Where no size has two rounds it is the line's own
// error.
func slopeSpread(all []observation, line Line) float64 {
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

// isBend reports whether the difference of two lines moves the figure at the largest size by more
// than flatPart.
func isBend(all []observation, sizes []float64, a, b Line) bool {
	largest := sizes[len(sizes)-1]
	return math.Abs(a.at(largest)-b.at(largest)) > flatPart*math.Abs(meanAt(all, largest))
}

// straightShape returns the shape of a line without a bend.
func straightShape(line Line, sizes []float64) Shape {
	moved := math.Abs(line.Slope) * (sizes[len(sizes)-1] - sizes[0])
	middle := math.Abs(line.at((sizes[0] + sizes[len(sizes)-1]) / 2))
	if math.Abs(line.Slope) <= slopeErrors*line.SlopeError || moved <= flatPart*middle {
		return Shape{Kind: Flat}
	}
	return Shape{Kind: Linear}
}

// departure returns the first size, from the third on, whose mean is off the line through all
// smaller sizes; the largest size where none is.
func departure(all []observation, sizes []float64) float64 {
	for i := 2; i < len(sizes); i++ {
		var smaller []observation
		for _, o := range all {
			if o.x < sizes[i] {
				smaller = append(smaller, o)
			}
		}
		expected := leastSquaresLine(smaller).at(sizes[i])
		if math.Abs(meanAt(all, sizes[i])-expected) > departurePart*math.Abs(expected) {
			return sizes[i]
		}
	}
	return sizes[len(sizes)-1]
}

// meanAt returns the mean of the values at a size; 0 where there are none.
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
