package logic

import (
	"cmp"
	"math"
)

// The constants of the subset. The capacity model in internal/scale/predict follows them.
const (
	minSubset          = 4.0      // endpoints that a replica spreads its attempts over, at least
	subsetRateFactor   = 3.0      // and times the root of its attempts per second, so that it meets each often enough
	goldenRatioInverse = 0.618034 // steps of this fraction of a ring spread any number of starts evenly
)

// compareRing orders endpoints on the hash ring.
func compareRing(x, y *endpoint) int {
	return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.ID, y.ID))
}

// orderBySubset orders the ready endpoints so that this replica's subset comes first: they stand on
// a ring in the order of their hashes, and replicas start at places spread over it. With many
// replicas each endpoint would otherwise hold a connection of every one, which costs it capacity
// and makes it reject new ones, and each replica would send too few attempts to an endpoint to
// evaluate it.
func (l *endpointList) orderBySubset(replicaIndex int) {
	_, start := math.Modf(float64(replicaIndex) * goldenRatioInverse)
	first := int(start * float64(len(l.ring)))
	l.ready = append(append(l.ready[:0], l.ring[first:]...), l.ring[:first]...)
}

// subsetSize returns how many warm and healthy endpoints this replica's attempts are spread over.
func (b *Balancer) subsetSize(now int64) float64 {
	rate := b.tierSent.sum(now, slidingWindowSpan) / float64(slidingWindowSpan/second)
	return max(minSubset, subsetRateFactor*math.Sqrt(rate))
}
