package logic

const (
	// lateFraction is the fraction of the latency objective above which an outcome counts against
	// the limits of tier and class.
	lateFraction = 0.8
	// slowFraction is the fraction of the latency objective above which an outcome lowers the
	// quotas, before attempts become late.
	slowFraction = 0.6

	lateCongestionFactor  = 1.8 // times the base latency: slower outcomes count against the limits too
	slowCongestionFactor  = 1.6 // times the base latency: slower outcomes lower the quotas too
	minCongestionFraction = 0.1 // of the latency objective: faster outcomes met no congestion
	// At or below this quota multiple, the base latency does not make an attempt slow, since load
	// is then not the cause of the latency.
	minCongestedMultiple = 0.8

	yieldPriorityRatio = 1.5 // a class yields to one with more than this times its priority per unit of work
)

// lateThreshold returns the latency in microseconds above which an attempt is late. The threshold
// is slightly below the latency objective. At the front tier, the threshold is
// lateCongestionFactor times the base latency if that is less: slower attempts show that endpoints
// hold too many attempts and may become overloaded, however long the objective is.
func (b *Balancer) lateThreshold(class int) float64 {
	threshold := lateFraction * float64(b.settings.Classes[class].LatencyObjective)
	if b.settings.Tier > 0 {
		return threshold
	}
	return min(threshold, b.congestionThreshold(class, lateCongestionFactor))
}

// slowThreshold returns the latency in microseconds above which an attempt is slow. The threshold
// is well below the latency objective. At the front tier and above minCongestedMultiple, the
// threshold is slowCongestionFactor times the base latency if that is less, since endpoints that
// hold too many attempts stay slow for a long time.
func (b *Balancer) slowThreshold(class int) float64 {
	threshold := slowFraction * float64(b.settings.Classes[class].LatencyObjective)
	if b.settings.Tier > 0 || b.quotas.multiple <= minCongestedMultiple {
		return threshold
	}
	return min(threshold, b.congestionThreshold(class, slowCongestionFactor))
}

// congestionThreshold returns a multiple of the base latency of the class, but at least the latency
// that is possible without congestion.
func (b *Balancer) congestionThreshold(class int, multiple float64) float64 {
	objective := float64(b.settings.Classes[class].LatencyObjective)
	return max(multiple*b.classes[class].latency.base, minCongestionFraction*objective)
}

// priorityPerWork returns the priority weight of a class per unit of work. The base latency is the
// measure of the work of a request.
func (b *Balancer) priorityPerWork(class int) float64 {
	if b.settings.PriorityPerWork {
		return b.settings.Classes[class].PriorityWeight
	}
	return b.settings.Classes[class].PriorityWeight / b.classes[class].latency.base
}

// updatePressure records an outcome as evidence of pressure on the quotas and on the local zone.
// Slow attempts of a class also cut the limits of the classes that yield to it, which are those
// with a clearly lower priority.
func (b *Balancer) updatePressure(now int64, class int, a *attempt, slow, badForZone bool) {
	for i := range b.classes {
		c := &b.classes[i]
		if b.priorityPerWork(class) > yieldPriorityRatio*b.priorityPerWork(i) {
			c.limit.learn(&c.yieldEvidence, now, a.sentAt, slow, b.relativeLatency(i))
		}
	}
	b.quotas.learn(now, a.sentAt, slow)
	if a.zone == b.settings.Zone {
		b.spillover.learn(now, a.sentAt, badForZone)
	}
}

// markSlowAttempts counts attempts as slow once they have been in flight for the slow threshold.
// Under congestion, attempts end seconds after that, and the quota multiple must fall earlier.
func (b *Balancer) markSlowAttempts(now int64) {
	for i := range b.classes {
		c := &b.classes[i]
		threshold := int64(b.slowThreshold(i))
		for len(c.pending) > 0 && now-c.pending[0].sentAt > threshold {
			a := c.pending[0]
			c.pending = c.pending[1:]
			if a.inFlight {
				a.countedSlow = true
				b.updatePressure(now, i, a, true, true)
			}
		}
	}
}
