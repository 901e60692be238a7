package fit

import (
	"math"
)

// problem is a system of equations, one a row, whose solution with the least sum of squared errors is looked for.
// Rows are weighted already.
type problem struct {
	rows   [][]float64
	values []float64
}

// solution is what was found: a coefficient and its standard error for each column.
type solution struct {
	coefficients []float64
	errors       []float64
}

// solve returns the solution with no coefficient below zero (Lawson and Hanson's active set), the columns that stay
// at zero included. Columns should be of a like magnitude.
func (p *problem) solve(columns int) solution {
	active := make([]bool, columns)
	x := make([]float64, columns)
	for range 3 * columns {
		best := p.steepest(x, active)
		if best < 0 {
			break
		}
		active[best] = true
		p.settle(x, active)
	}
	return solution{coefficients: x, errors: p.standardErrors(x, active)}
}

// steepest is the inactive column along which the error falls most; -1: along none.
func (p *problem) steepest(x []float64, active []bool) int {
	best, most := -1, 1e-9*p.norm()
	residuals := p.residuals(x)
	for j := range x {
		if active[j] {
			continue
		}
		gradient := 0.0
		for i, row := range p.rows {
			gradient += row[j] * residuals[i]
		}
		if gradient > most {
			best, most = j, gradient
		}
	}
	return best
}

// settle moves x to the optimum of the active columns, and takes those out that would fall below zero on the way.
func (p *problem) settle(x []float64, active []bool) {
	for range len(x) + 1 {
		target, _, ok := p.optimum(active)
		if !ok {
			p.dropLast(x, active)
			return
		}
		step, stop := 1.0, -1
		for j := range x {
			if active[j] && target[j] <= 0 {
				if s := x[j] / (x[j] - target[j]); s < step || stop < 0 {
					step, stop = min(step, s), j
				}
			}
		}
		for j := range x {
			if active[j] {
				x[j] += step * (target[j] - x[j])
			}
		}
		if stop < 0 {
			return
		}
		active[stop], x[stop] = false, 0
	}
}

// dropLast takes out the active columns that have no coefficient yet: they depend on the others.
func (p *problem) dropLast(x []float64, active []bool) {
	for j := range x {
		if active[j] && x[j] == 0 {
			active[j] = false
		}
	}
}

// optimum solves the normal equations of the active columns; inverse is that of their matrix. Not ok: they depend on
// each other.
func (p *problem) optimum(active []bool) (x []float64, inverse [][]float64, ok bool) {
	var columns []int
	for j, a := range active {
		if a {
			columns = append(columns, j)
		}
	}
	n := len(columns)
	normal, right := make([][]float64, n), make([]float64, n)
	for a, ja := range columns {
		normal[a] = make([]float64, n)
		for i, row := range p.rows {
			right[a] += row[ja] * p.values[i]
			for b, jb := range columns {
				normal[a][b] += row[ja] * row[jb]
			}
		}
	}
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

// invert inverts a symmetric positive matrix by Gauss and Jordan with pivots; not ok: it is singular.
func invert(m [][]float64) (inverse [][]float64, ok bool) {
	n := len(m)
	work := make([][]float64, n)
	largest := 0.0
	for i := range m {
		work[i] = make([]float64, 2*n)
		copy(work[i], m[i])
		work[i][n+i] = 1
		largest = max(largest, math.Abs(m[i][i]))
	}
	for c := range n {
		pivot := c
		for i := c; i < n; i++ {
			if math.Abs(work[i][c]) > math.Abs(work[pivot][c]) {
				pivot = i
			}
		}
		if math.Abs(work[pivot][c]) <= 1e-10*largest {
			return nil, false
		}
		work[c], work[pivot] = work[pivot], work[c]
		eliminate(work, c)
	}
	inverse = make([][]float64, n)
	for i := range work {
		inverse[i] = work[i][n:]
	}
	return inverse, true
}

func eliminate(work [][]float64, c int) {
	scale := work[c][c]
	for k := range work[c] {
		work[c][k] /= scale
	}
	for i := range work {
		if i == c {
			continue
		}
		factor := work[i][c]
		for k := range work[i] {
			work[i][k] -= factor * work[c][k]
		}
	}
}

func (p *problem) norm() (sum float64) {
	for _, v := range p.values {
		sum += v * v
	}
	return max(sum, 1e-300)
}

func (p *problem) residuals(x []float64) []float64 {
	out := make([]float64, len(p.values))
	for i, row := range p.rows {
		out[i] = p.values[i]
		for j, c := range x {
			out[i] -= c * row[j]
		}
	}
	return out
}

// standardErrors are those of the active columns' coefficients.
func (p *problem) standardErrors(x []float64, active []bool) []float64 {
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
	k := 0
	for j, a := range active {
		if a {
			out[j] = math.Sqrt(max(0, squares/float64(free)*inverse[k][k]))
			k++
		}
	}
	return out
}
