package predict

import (
	"math"
	"slices"
)

// The subset of a service's backends that a caller spreads its calls over, as logic chooses it.
const (
	subsetLeast = 4.0
	subsetRoot  = 3.0
	golden      = 0.618034
)

// subset is how many backends of service i a caller holds connections to.
func (s *shape) subset(i int) float64 {
	return min(s.sizes[i], math.Ceil(max(subsetLeast, subsetRoot*math.Sqrt(s.callRate(i)))))
}

// connectionsOut are those of a typical caller to backends.
func (s *shape) connectionsOut() (sum float64) {
	for i := range s.sizes {
		sum += s.followed[i] * s.subset(i)
	}
	return sum
}

// connectionsIn are those that one backend of service i gets from all its callers, where callers have ordinals of their own:
// the mean, and that of the backend that gets most.
func (s *shape) connectionsIn(i int) (mean, most float64) {
	backends, callers, each := int(math.Round(s.sizes[i])), int(math.Round(s.callers(i))), int(s.subset(i))
	if backends < 1 {
		return 0, 0
	}
	counts := make([]int, backends)
	for ordinal := range callers {
		_, start := math.Modf(float64(ordinal) * golden)
		first := int(start * float64(backends))
		for k := range min(each, backends) {
			counts[(first+k)%backends]++
		}
	}
	return float64(callers*min(each, backends)) / float64(backends), float64(slices.Max(counts))
}

// unspread are the connections that one backend of service i gets where callers draw from all backends: a connection is kept
// for idle seconds after its last call. dialled is the part of calls that finds none.
func (s *shape) unspread(i int, idle float64) (connections, dialled float64) {
	perPair := s.callRate(i) / s.sizes[i]
	dialled = math.Exp(-perPair * idle)
	return s.callers(i) * (1 - dialled), dialled
}
