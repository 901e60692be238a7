package logic

const (
	lateFraction = 0.8 // of the objective: slower outcomes count against the limits of tier and class
	slowFraction = 0.6 // of the objective: slower outcomes press the quotas, in time to mend what is late next

	lateCongestion        = 1.8 // times the base latency: slower outcomes count against the limits too
	slowCongestion        = 1.6 // times the base latency: slower outcomes press the quotas too
	minCongestionFraction = 0.1 // of the objective: what is quicker than this met no congestion
	// Below this quota multiple the base latency makes nothing slow, since load is then not what
	// makes it so.
	minCongestedMultiple = 0.8

	yieldPriorityRatio = 1.5 // a class yields to one with more than this many times its priority for its work
)

// lateThreshold returns the latency, in microseconds, from which on an attempt counts as late:
// shortly before its objective, and also when it takes so much longer than attempts do under little
// load that endpoints must hold too many and may choke, however far the objective.
func (b *Balancer) lateThreshold(class int) float64 {
	threshold := lateFraction * float64(b.settings.Classes[class].LatencyObjective)
	if b.settings.Tier > 0 {
		return threshold
	}
	return min(threshold, b.congestionThreshold(class, lateCongestion))
}

// slowThreshold returns the latency, in microseconds, from which on an attempt counts as slow: well
// before its objective, and also when it takes clearly longer than attempts do under little load,
// since endpoints that hold too many become slower for long.
func (b *Balancer) slowThreshold(class int) float64 {
	threshold := slowFraction * float64(b.settings.Classes[class].LatencyObjective)
	if b.settings.Tier > 0 || b.quotas.multiple <= minCongestedMultiple {
		return threshold
	}
	return min(threshold, b.congestionThreshold(class, slowCongestion))
}

// congestionThreshold returns a multiple of the class's base latency, but no less than what no
// congestion takes.
func (b *Balancer) congestionThreshold(class int, multiple float64) float64 {
	objective := float64(b.settings.Classes[class].LatencyObjective)
	return max(multiple*b.classes[class].latency.base, minCongestionFraction*objective)
}

// priorityPerWork returns a class's priority weight per unit of work, which is its base latency.
func (b *Balancer) priorityPerWork(class int) float64 {
	if b.settings.PriorityPerWork {
		return b.settings.Classes[class].PriorityWeight
	}
	return b.settings.Classes[class].PriorityWeight / b.classes[class].latency.base
}

// updatePressure takes one outcome as evidence on whether the quotas and the local zone are under
// pressure. A class also yields to one with a clearly higher priority: that one's slow attempts cut
// its limit.
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

// markSlowAttempts counts attempts as slow when they have been in flight for the slow threshold,
// not when they end: under congestion that is seconds later, and the quota multiple must fall
// before then.
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
