package predict

import (
	"math"
	"slices"
)

// Constants of the subset of a service's backends over which a caller spreads its calls. They are
// those of package logic, which does not export them; a test compares both.
const (
	minSubset          = 4.0
	subsetRateFactor   = 3.0
	goldenRatioInverse = 0.618034
)

// subset returns the number of backends of service i that a caller holds connections to.
func (m *fleetModel) subset(i int) float64 {
	return min(m.sizes[i], math.Ceil(max(minSubset, subsetRateFactor*math.Sqrt(m.callRate(i)))))
}

// connectionsOut returns the number of connections of a typical caller to backends.
func (m *fleetModel) connectionsOut() float64 {
	sum := 0.0
	for i := range m.sizes {
		sum += m.followed[i] * m.subset(i)
	}
	return sum
}

// connectionsIn returns the number of connections that a backend of service i receives from all its
// callers if each caller has a replica index of its own: the mean, and that of the backend with
// most.
func (m *fleetModel) connectionsIn(i int) (mean, most float64) {
	backends := int(math.Round(m.sizes[i]))
	callers := int(math.Round(m.callers(i)))
	if backends < 1 {
		return 0, 0
	}
	perCaller := min(int(m.subset(i)), backends)
	counts := make([]int, backends)
	for index := range callers {
		_, start := math.Modf(float64(index) * goldenRatioInverse)
		first := int(start * float64(backends))
		for k := range perCaller {
			counts[(first+k)%backends]++
		}
	}
	return float64(callers*perCaller) / float64(backends), float64(slices.Max(counts))
}

// connectionsWithoutSubsets returns the number of connections that a backend of service i receives
// if callers choose among all backends and keep a connection for some idle seconds after its last
// call. The second result is the part of the calls that find no open connection.
func (m *fleetModel) connectionsWithoutSubsets(i int, idle float64) (connections, dialled float64) {
	ratePerPair := m.callRate(i) / m.sizes[i]
	dialled = math.Exp(-ratePerPair * idle)
	return m.callers(i) * (1 - dialled), dialled
}
