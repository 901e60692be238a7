package logic

const (
	ewmaGain               = 0.05 // of the moving averages of latency and of errors
	priorWeight            = 4.0  // weight of the initial mean of a fresh replica, in outcomes
	initialLatencyFraction = 0.25 // initial mean latency as a fraction of the latency objective
	// baseTimeConstant is the time constant of the base latency when it rises under load.
	baseTimeConstant   = 60 * second
	baseWarmupOutcomes = 20.0 // outcomes in the first estimate of the base latency

	relativeLatencyGain = 0.1 // gain of an endpoint's relative latency for one outcome
	maxRelativeLatency  = 5.0 // limit of the effect of one outcome, as a multiple of the mean
)

// latencyStats holds the latency statistics of a class, in microseconds.
type latencyStats struct {
	mean          float64 // moving average over successful attempts
	base          float64 // mean latency under light load
	baseUpdatedAt int64
	successes     float64
}

// newLatencyStats returns the initial statistics of a class with the latency objective.
func newLatencyStats(objective int64) latencyStats {
	initial := initialLatencyFraction * float64(objective)
	return latencyStats{mean: initial, base: initial}
}

// observe records the latency of a successful attempt. It moves the relative latency of the
// endpoint towards the ratio of this latency to the mean latency of all endpoints. Each step covers
// a fraction of the distance to that ratio. Steps without such a target would add up until all
// attempts went to one endpoint, wherever load does not slow that endpoint down.
func (l *latencyStats) observe(e *endpoint, latency float64) {
	relative := min(latency/max(l.mean, 1), maxRelativeLatency)
	e.relativeLatency += (relative - e.relativeLatency) * relativeLatencyGain
	l.successes++
	l.mean += (latency - l.mean) * gainAfter(l.successes, ewmaGain)
}

// updateBase moves the base latency towards the mean. The base latency follows as fast as the mean
// itself if the mean is lower or the attempt was sent under light load. Otherwise it follows with
// baseTimeConstant, so that lasting congestion is not mistaken for the base latency.
func (l *latencyStats) updateBase(now int64, lightLoad bool) {
	gain := min(1, float64(now-l.baseUpdatedAt)/float64(baseTimeConstant))
	l.baseUpdatedAt = now
	if lightLoad {
		gain = max(gain, ewmaGain)
	}
	if l.successes < baseWarmupOutcomes {
		gain = gainAfter(l.successes, gain)
	}
	if l.mean < l.base {
		gain = max(gain, ewmaGain)
	}
	l.base += (l.mean - l.base) * gain
}

// gainAfter returns the gain of a moving average after n observations: the gain of a plain mean,
// but at least the given minimum.
func gainAfter(n, least float64) float64 { return max(least, 1/(priorWeight+n)) }

// relativeLatency returns the mean latency of a class as a fraction of its latency objective.
func (b *Balancer) relativeLatency(class int) float64 {
	return max(b.classes[class].latency.mean, 1) / float64(b.settings.Classes[class].LatencyObjective)
}
