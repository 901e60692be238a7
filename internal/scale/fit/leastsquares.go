package fit

import (
	"math"
)

// minDivisor replaces a divisor of zero.
const minDivisor = 1e-300

// leastSquaresProblem is an overdetermined system of linear equations, one per row, to be solved for
// the least sum of squared errors. The rows are already weighted.
type leastSquaresProblem struct {
	rows   [][]float64
	values []float64
}

// solution holds the coefficient and its standard error for each column.
type solution struct {
	coefficients []float64
	errors       []float64
}

func (p *leastSquaresProblem) add(row []float64, value float64) {
	p.rows = append(p.rows, row)
	p.values = append(p.values, value)
}

// solve returns the non-negative least squares solution by the active-set method of Lawson and
// Hanson (Solving Least Squares Problems, chapter 23). The columns should have similar magnitudes.
func (p *leastSquaresProblem) solve(columns int) solution {
	active := make([]bool, columns)
	x := make([]float64, columns)
	for range 3 * columns {
		best := p.steepest(x, active)
		if best < 0 {
			break
		}
		active[best] = true
		p.optimizeActive(x, active)
	}
	return solution{coefficients: x, errors: p.standardErrors(x, active)}
}

// steepest returns the inactive column along which the error decreases fastest, or -1 if the error
// decreases along no inactive column.
func (p *leastSquaresProblem) steepest(x []float64, active []bool) int {
	best, steepestGradient := -1, 1e-9*p.norm()
	residuals := p.residuals(x)
	for j := range x {
		if active[j] {
			continue
		}
		gradient := 0.0
		for i, row := range p.rows {
			gradient += row[j] * residuals[i]
		}
		if gradient > steepestGradient {
			best, steepestGradient = j, gradient
		}
	}
	return best
}

// optimizeActive moves x to the optimum of the active columns and deactivates the columns whose
// coefficients would become negative.
func (p *leastSquaresProblem) optimizeActive(x []float64, active []bool) {
	for range len(x) + 1 {
		target, _, ok := p.optimum(active)
		if !ok {
			deactivateZeros(x, active)
			return
		}
		step, blocking := feasibleStep(x, target, active)
		for j := range x {
			if active[j] {
				x[j] += step * (target[j] - x[j])
			}
		}
		if blocking < 0 {
			return
		}
		active[blocking] = false
		x[blocking] = 0
	}
}

// feasibleStep returns the largest fraction, at most 1, of the step from x to target that makes no
// active coefficient negative, and the column that limits the step, or -1 if no column does.
func feasibleStep(x, target []float64, active []bool) (step float64, blocking int) {
	step, blocking = 1.0, -1
	for j := range x {
		if active[j] && target[j] <= 0 {
			limit := x[j] / (x[j] - target[j])
			if limit < step || blocking < 0 {
				step, blocking = min(step, limit), j
			}
		}
	}
	return step, blocking
}

// deactivateZeros deactivates the columns whose coefficients are still zero, because these columns
// depend linearly on the others.
func deactivateZeros(x []float64, active []bool) {
	for j := range x {
		if active[j] && x[j] == 0 {
			active[j] = false
		}
	}
}

// optimum solves the normal equations of the active columns and also returns the inverse of their
// matrix. The result ok is false if the columns are linearly dependent.
func (p *leastSquaresProblem) optimum(active []bool) (x []float64, inverse [][]float64, ok bool) {
	var columns []int
	for j, a := range active {
		if a {
			columns = append(columns, j)
		}
	}
	normal, right := p.normalEquations(columns)
	inverse, ok = invert(normal)
	if !ok {
		return nil, nil, false
	}
	x = make([]float64, len(active))
	for a, ja := range columns {
		for b := range columns {
			x[ja] += inverse[a][b] * right[b]
		}
	}
	return x, inverse, true
}

// normalEquations returns the matrix and the right-hand side of the normal equations of the given
// columns.
func (p *leastSquaresProblem) normalEquations(columns []int) (matrix [][]float64, right []float64) {
	matrix = make([][]float64, len(columns))
	right = make([]float64, len(columns))
	for a, ja := range columns {
		matrix[a] = make([]float64, len(columns))
		for i, row := range p.rows {
			right[a] += row[ja] * p.values[i]
			for b, jb := range columns {
				matrix[a][b] += row[ja] * row[jb]
			}
		}
	}
	return matrix, right
}

// norm returns the sum of the squared values, which is at least minDivisor.
func (p *leastSquaresProblem) norm() float64 {
	sum := 0.0
	for _, v := range p.values {
		sum += v * v
	}
	return max(sum, minDivisor)
}

// residuals returns the residual of each value under the solution x.
func (p *leastSquaresProblem) residuals(x []float64) []float64 {
	out := make([]float64, len(p.values))
	for i, row := range p.rows {
		out[i] = p.values[i]
		for j, c := range x {
			out[i] -= c * row[j]
		}
	}
	return out
}

// standardErrors returns the standard errors of the coefficients of the active columns. The errors
// of the other columns are 0.
func (p *leastSquaresProblem) standardErrors(x []float64, active []bool) []float64 {
	out := make([]float64, len(x))
	_, inverse, ok := p.optimum(active)
	if !ok {
		return out
	}
	squares := 0.0
	for _, r := range p.residuals(x) {
		squares += r * r
	}
	free := max(1, len(p.values)-len(inverse))
	k := 0 // index of the active column in the inverse
	for j, a := range active {
		if a {
			out[j] = math.Sqrt(max(0, squares/float64(free)*inverse[k][k]))
			k++
		}
	}
	return out
}
