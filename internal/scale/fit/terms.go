package fit

import (
	"cmp"
	"math"
	"slices"
)

// Limits below which a term is omitted.
const (
	minErrors = 2.0  // value of the term in standard errors
	minShare  = 0.02 // fraction of the metric at the size where the term contributes most
)

// fit finds the terms by backward elimination: it removes the least significant term until all
// remaining terms are significant. No term is negative, because costs are not negative.
func (m *Model) fit(all []observation, drivers []driver) {
	candidates := drivers
	if allZero(all) {
		m.R2 = 1
		return
	}
	for len(drivers) > 0 {
		terms := solveTerms(all, drivers)
		weakest := leastSignificant(terms)
		if weakest < 0 || len(drivers) == 1 {
			m.Terms = slices.DeleteFunc(terms, func(t Term) bool { return t.Value == 0 })
			break
		}
		name := terms[weakest].Name
		drivers = slices.DeleteFunc(slices.Clone(drivers), func(d driver) bool { return d.name == name })
	}
	m.Aliased = aliasedDrivers(all, candidates, m.Terms)
	slices.SortStableFunc(m.Terms, byShare)
	m.computeErrors(all)
}

// byShare orders terms by descending Share.
func byShare(a, b Term) int { return cmp.Compare(b.Share, a.Share) }

func allZero(all []observation) bool {
	return !slices.ContainsFunc(all, func(o observation) bool { return o.value != 0 })
}

// leastSignificant returns the index of the next term to remove, or -1 if all terms are significant.
func leastSignificant(terms []Term) int {
	weakest, lowest := -1, math.Inf(1)
	for i, t := range terms {
		if t.Value == 0 || t.Share < minShare {
			return i
		}
		significance := t.Value / max(t.StandardError, minDivisor)
		if significance < minErrors && significance < lowest {
			weakest, lowest = i, significance
		}
	}
	return weakest
}

// solveTerms returns the terms of the drivers with the least sum of squared relative errors.
func solveTerms(all []observation, drivers []driver) []Term {
	p, scales := scaledProblem(all, drivers)
	s := p.solve(len(drivers))
	terms := make([]Term, len(drivers))
	for j, d := range drivers {
		terms[j] = Term{
			Name:          d.name,
			Value:         s.coefficients[j] / scales[j],
			StandardError: s.errors[j] / scales[j],
			driver:        d.value,
		}
		terms[j].Share = largestShare(all, terms[j])
	}
	return terms
}

// scaledProblem returns the weighted equations of the observations and the scale of each column. The
// columns are divided by their scales so that they have similar magnitudes.
func scaledProblem(all []observation, drivers []driver) (p leastSquaresProblem, scales []float64) {
	weights := weightsOf(all)
	scales = make([]float64, len(drivers))
	for i := range all {
		root := math.Sqrt(weights[i])
		row := make([]float64, len(drivers))
		for j, d := range drivers {
			row[j] = root * d.value(&all[i].at)
			scales[j] = max(scales[j], row[j])
		}
		p.add(row, root*all[i].value)
	}
	for j := range scales {
		scales[j] = max(scales[j], minDivisor)
		for i := range p.rows {
			p.rows[i][j] /= scales[j]
		}
	}
	return p, scales
}

// largestShare returns the largest fraction of the metric that a term contributes at any of the
// observations.
func largestShare(all []observation, t Term) float64 {
	share := 0.0
	for i := range all {
		if all[i].value > 0 {
			share = max(share, t.Value*t.driver(&all[i].at)/all[i].value)
		}
	}
	return share
}

// aliasedDrivers returns the names of the candidates that are linear combinations of the drivers of
// the terms at all measured sizes.
func aliasedDrivers(all []observation, candidates []driver, terms []Term) []string {
	var names []string
	for _, d := range candidates {
		isTerm := slices.ContainsFunc(terms, func(t Term) bool { return t.Name == d.name })
		if !isTerm && isAliased(all, d, terms) {
			names = append(names, d.name)
		}
	}
	return names
}

func isAliased(all []observation, d driver, terms []Term) bool {
	p := leastSquaresProblem{}
	for i := range all {
		predicted := 0.0
		for _, t := range terms {
			predicted += t.Value * t.driver(&all[i].at)
		}
		row := make([]float64, len(terms))
		for j, t := range terms {
			row[j] = t.Value * t.driver(&all[i].at) / max(predicted, minDivisor)
		}
		p.add(row, d.value(&all[i].at)/max(predicted, minDivisor))
	}
	active := make([]bool, len(terms))
	for j := range active {
		active[j] = true
	}
	x, _, ok := p.optimum(active)
	return ok && isExact(&p, x)
}

// isExact reports whether the residuals of a solution are rounding errors only.
func isExact(p *leastSquaresProblem, x []float64) bool {
	left, total := 0.0, 0.0
	for i, r := range p.residuals(x) {
		left += r * r
		total += p.values[i] * p.values[i]
	}
	return total > 0 && left < 1e-9*total
}

// computeErrors sets R2, MedianError and MaxError.
func (m *Model) computeErrors(all []observation) {
	weights := weightsOf(all)
	var sumWeights, mean float64
	for i, o := range all {
		sumWeights += weights[i]
		mean += weights[i] * o.value
	}
	mean /= sumWeights
	var left, total float64
	var relativeErrors []float64
	for i, o := range all {
		r := o.value - m.Predict(o.at)
		left += weights[i] * r * r
		total += weights[i] * (o.value - mean) * (o.value - mean)
		if o.value != 0 {
			relativeErrors = append(relativeErrors, math.Abs(r/o.value))
		}
	}
	m.R2 = 1
	if total > 0 {
		m.R2 = max(0, 1-left/total)
	}
	if len(relativeErrors) > 0 {
		slices.Sort(relativeErrors)
		m.MedianError = relativeErrors[len(relativeErrors)/2]
		m.MaxError = relativeErrors[len(relativeErrors)-1]
	}
}
