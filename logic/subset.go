package logic

import (
	"cmp"
	"math"
)

// The constants of the subset. The capacity model in internal/scale/predict has to use the same
// values.
const (
	minSubset          = 4.0      // minimum number of endpoints that a replica uses
	subsetRateFactor   = 3.0      // endpoints per root of the attempts per second, so that each is used often enough
	goldenRatioInverse = 0.618034 // steps of this fraction of a ring spread any number of points evenly
)

// compareRing orders endpoints on the hash ring.
func compareRing(x, y *endpoint) int {
	return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.ID, y.ID))
}

// orderBySubset orders the ready endpoints so that the subset of this replica comes first. The
// endpoints are on a ring in the order of their hashes, and the starting points of the replicas are
// spread over the ring. If many replicas used all endpoints, each endpoint would hold a connection
// of every replica. These connections would cost the endpoint capacity and make it reject new ones.
// Each replica would also send too few attempts to an endpoint to evaluate it.
func (l *endpointList) orderBySubset(replicaIndex int) {
	_, start := math.Modf(float64(replicaIndex) * goldenRatioInverse)
	first := int(start * float64(len(l.ring)))
	l.ready = append(append(l.ready[:0], l.ring[first:]...), l.ring[:first]...)
}

// subsetSize returns the number of warm and healthy endpoints that this replica uses.
func (b *Balancer) subsetSize(now int64) float64 {
	rate := b.tierSent.sum(now, slidingWindowSpan) / float64(slidingWindowSpan/second)
	return max(minSubset, subsetRateFactor*math.Sqrt(rate))
}
