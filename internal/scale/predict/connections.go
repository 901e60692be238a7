package predict

import (
	"math"
	"slices"
)

// Constants of the subset of backends over which a caller distributes its calls to a service. They
// are copies of unexported constants of package logic. A test compares both.
const (
	minSubset          = 4.0
	subsetRateFactor   = 3.0
	goldenRatioInverse = 0.618034
)

// subset returns the number of backends of service i to which a caller has connections.
func (m *fleetModel) subset(i int) float64 {
	return min(m.sizes[i], math.Ceil(max(minSubset, subsetRateFactor*math.Sqrt(m.callRate(i)))))
}

// connectionsOut returns the number of backend connections of a typical caller.
func (m *fleetModel) connectionsOut() float64 {
	sum := 0.0
	for i := range m.sizes {
		sum += m.followed[i] * m.subset(i)
	}
	return sum
}

// connectionsIn returns the mean and the maximum over the backends of service i of the number of
// connections from all callers, if the replica indexes of the callers are distinct.
func (m *fleetModel) connectionsIn(i int) (mean, maximum float64) {
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

// connectionsWithoutSubsets returns the number of connections to a backend of service i if callers
// select among all backends and close a connection after the given idle time in seconds. The result
// dialled is the fraction of calls that find no open connection.
func (m *fleetModel) connectionsWithoutSubsets(i int, idle float64) (connections, dialled float64) {
	ratePerPair := m.callRate(i) / m.sizes[i]
	dialled = math.Exp(-ratePerPair * idle)
	return m.callers(i) * (1 - dialled), dialled
}
