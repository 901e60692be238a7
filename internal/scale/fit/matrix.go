package fit

import (
	"math"
)

// invert returns the inverse of a symmetric positive matrix, by Gauss-Jordan elimination with
// partial pivoting. The result ok is false if the matrix is singular.
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

// eliminate turns column c into the column of the identity matrix by row operations with pivot row
// c.
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
