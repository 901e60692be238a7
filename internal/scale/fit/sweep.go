package fit

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"fernlanding/internal/scale/result"
)

// Line is how a figure grows along the dimension of a sweep.
type Line struct {
	Slope, SlopeError         float64 // of the figure a unit of the dimension; standard errors over all rounds
	Intercept, InterceptError float64
	R2                        float64
	Shape                     Shape
}

// Shape names how a figure grows.
type Shape struct {
	Kind ShapeKind
	From float64 // the first size that departs from the line through the sizes below; 0 of Flat and Linear
}

// ShapeKind is the kind of a Shape.
type ShapeKind string

// The kinds of Shape.
const (
	Flat   ShapeKind = "flat"   // the slope is within its error, or moves the figure by under a twentieth over the sweep
	Linear ShapeKind = "linear" // the slopes of the lower and the upper half agree
	Faster ShapeKind = "grows faster than linear"
	Slower ShapeKind = "grows slower than linear"
)

// String words a shape.
func (s Shape) String() string {
	if s.Kind == Faster || s.Kind == Slower {
		return fmt.Sprintf("%s from %.4g", s.Kind, s.From)
	}
	return string(s.Kind)
}

// Thresholds of the test for a line.
const (
	errorsApart  = 3    // standard errors by which two slopes must differ
	partApart    = 0.15 // of the larger slope, by which they must differ too
	flatPart     = 0.05 // of the figure, that a slope moves it by over a sweep to count
	departure    = 0.1  // of the line's value, at which a size departs from it
	fewestOfHalf = 2    // sizes in each half
)

// Sweep is what a sweep says of a figure of a role.
type Sweep struct {
	Scenario  string
	Source    result.Source
	Dimension result.Dimension
	Hollow    bool
	Role      Role
	Figure    Figure
	Line      Line
	PerProxy  bool // the figure is divided by the number of proxies; where that is varied, the slope is a proxy's share
}

// Sweeps returns the lines of all figures that a result has.
func Sweeps(res *result.Result) (all []Sweep) {
	for _, role := range Roles() {
		for _, figure := range Figures() {
			s := Sweep{
				Scenario: res.Scenario, Source: res.Source, Dimension: res.Dimension, Hollow: res.Hollow, Role: role, Figure: figure,
				PerProxy: role == Proxies && res.Dimension != result.Proxies && !figure.IsTime(),
			}
			seen := observe(res, role, figure)
			if s.PerProxy {
				for i := range seen {
					seen[i].value /= seen[i].at.Proxies
				}
			}
			var ok bool
			if s.Line, ok = lineOf(seen); ok {
				all = append(all, s)
			}
		}
	}
	return all
}

// lineOf fits a line through observations, each weighted by its size so that small sizes count like large ones. Not ok:
// there are fewer than three sizes.
func lineOf(all []observation) (Line, bool) {
	sizes := sizesOf(all)
	if len(sizes) < 3 {
		return Line{}, false
	}
	if allZero(all) {
		return Line{R2: 1, Shape: Shape{Kind: Flat}}, true
	}
	line := straight(all)
	line.Shape = shapeOf(all, sizes, line)
	return line, true
}

func sizesOf(all []observation) (sizes []float64) {
	for _, o := range all {
		sizes = append(sizes, o.x)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// straight is the line of weighted least squares.
func straight(all []observation) Line {
	weights := weightsOf(all)
	var sw, swx, swy, swxx, swxy float64
	for i, o := range all {
		w := weights[i]
		sw, swx, swy = sw+w, swx+w*o.x, swy+w*o.value
		swxx, swxy = swxx+w*o.x*o.x, swxy+w*o.x*o.value
	}
	d := sw*swxx - swx*swx
	if d <= 0 {
		return Line{Intercept: swy / sw}
	}
	line := Line{Slope: (sw*swxy - swx*swy) / d}
	line.Intercept = (swy - line.Slope*swx) / sw
	var left, total float64
	mean := swy / sw
	for i, o := range all {
		r := o.value - line.at(o.x)
		left, total = left+weights[i]*r*r, total+weights[i]*(o.value-mean)*(o.value-mean)
	}
	variance := left / float64(max(1, len(all)-2))
	line.SlopeError, line.InterceptError = math.Sqrt(variance*sw/d), math.Sqrt(variance*swxx/d)
	line.R2 = 1
	if total > 0 {
		line.R2 = max(0, 1-left/total)
	}
	return line
}

func (l Line) at(x float64) float64 { return l.Intercept + l.Slope*x }

// leastWeighed is the part of the largest value below which values count alike.
const leastWeighed = 0.02

// weightsOf are the weights under which a relative error counts the same at every size.
func weightsOf(all []observation) []float64 {
	largest := 0.0
	for _, o := range all {
		largest = max(largest, math.Abs(o.value))
	}
	out := make([]float64, len(all))
	for i, o := range all {
		v := max(math.Abs(o.value), leastWeighed*largest, 1e-300)
		out[i] = 1 / (v * v)
	}
	return out
}

// shapeOf holds the slope of the lower half of the sizes against that of the upper half.
func shapeOf(all []observation, sizes []float64, line Line) Shape {
	middle := sizes[len(sizes)/2]
	var lower, upper []observation
	for _, o := range all {
		if o.x <= middle {
			lower = append(lower, o)
		}
		if o.x >= middle {
			upper = append(upper, o)
		}
	}
	if len(sizesOf(lower)) < fewestOfHalf || len(sizesOf(upper)) < fewestOfHalf {
		return straightShape(line, sizes)
	}
	a, b := straight(lower), straight(upper)
	apart := b.Slope - a.Slope
	spread := math.Hypot(slopeSpread(lower, a), slopeSpread(upper, b))
	if math.Abs(apart) <= errorsApart*spread || math.Abs(apart) <= partApart*max(math.Abs(a.Slope), math.Abs(b.Slope)) || !matters(all, sizes, a, b) {
		return straightShape(line, sizes)
	}
	if apart > 0 {
		return Shape{Kind: Faster, From: departs(all, sizes)}
	}
	return Shape{Kind: Slower, From: departs(all, sizes)}
}

// slopeSpread is the standard error of a slope by the scatter of the rounds of each size alone: a bend does not add to it.
// Where no size has two rounds it is the line's own.
func slopeSpread(all []observation, line Line) float64 {
	weights := weightsOf(all)
	var sw, swx, swxx, scatter float64
	for i, o := range all {
		w := weights[i]
		sw, swx, swxx = sw+w, swx+w*o.x, swxx+w*o.x*o.x
		apart := o.value - meanAt(all, o.x)
		scatter += w * apart * apart
	}
	free := len(all) - len(sizesOf(all))
	d := sw*swxx - swx*swx
	if free <= 0 || d <= 0 {
		return line.SlopeError
	}
	return math.Sqrt(scatter / float64(free) * sw / d)
}

// matters tells whether the bend between two lines moves the figure at the largest size by more than flatPart.
func matters(all []observation, sizes []float64, a, b Line) bool {
	largest := sizes[len(sizes)-1]
	return math.Abs(a.at(largest)-b.at(largest)) > flatPart*math.Abs(meanAt(all, largest))
}

func straightShape(line Line, sizes []float64) Shape {
	moved := math.Abs(line.Slope) * (sizes[len(sizes)-1] - sizes[0])
	middle := math.Abs(line.at((sizes[0] + sizes[len(sizes)-1]) / 2))
	if math.Abs(line.Slope) <= errorsApart*line.SlopeError || moved <= flatPart*middle {
		return Shape{Kind: Flat}
	}
	return Shape{Kind: Linear}
}

// departs is the first size, from the third on, whose mean is off the line through all sizes below it.
func departs(all []observation, sizes []float64) float64 {
	for i := 2; i < len(sizes); i++ {
		var below []observation
		for _, o := range all {
			if o.x < sizes[i] {
				below = append(below, o)
			}
		}
		expected := straight(below).at(sizes[i])
		if math.Abs(meanAt(all, sizes[i])-expected) > departure*math.Abs(expected) {
			return sizes[i]
		}
	}
	return sizes[len(sizes)-1]
}

func meanAt(all []observation, x float64) float64 {
	sum, n := 0.0, 0
	for _, o := range all {
		if o.x == x {
			sum, n = sum+o.value, n+1
		}
	}
	return sum / float64(max(n, 1))
}

// byMagnitude orders terms from the largest contribution down.
func byMagnitude(a, b Term) int { return cmp.Compare(b.Share, a.Share) }
