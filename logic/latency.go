package logic

const (
	ewmaGain               = 0.05        // of the moving averages of latency and of errors
	priorWeight            = 4.0         // outcomes that a fresh replica's initial mean is worth
	initialLatencyFraction = 0.25        // of the objective: the initial mean latency
	baseTimeConstant       = 60 * second // of the base latency, upwards, where attempts meet others
	baseWarmupOutcomes     = 20.0        // outcomes that make up its first estimate

	relativeLatencyGain = 0.1 // how far one outcome moves an endpoint's relative latency
	maxRelativeLatency  = 5.0 // times the mean: a single outcome says no more than this
)

// latencyStats is what is known of a class's latencies, in microseconds.
type latencyStats struct {
	mean          float64 // moving average over successful attempts
	base          float64 // the mean under little load
	baseUpdatedAt int64
	successes     float64
}

// newLatencyStats returns the stats that a class with the objective starts with.
func newLatencyStats(objective int64) latencyStats {
	initial := initialLatencyFraction * float64(objective)
	return latencyStats{mean: initial, base: initial}
}

// observe takes the latency of a successful attempt. It moves the weight of the endpoint towards
// its speed: the mean latency of all over its own. The latency itself sets the target of each step;
// summing up steps would end with all attempts at one endpoint wherever load does not slow it down.
func (l *latencyStats) observe(e *endpoint, latency float64) {
	relative := min(latency/max(l.mean, 1), maxRelativeLatency)
	e.relativeLatency += (relative - e.relativeLatency) * relativeLatencyGain
	l.successes++
	l.mean += (latency - l.mean) * gainAfter(l.successes, ewmaGain)
}

// updateBase moves the base latency: as fast as the mean, where that falls or an attempt met little
// load, and else by the clock, so that congestion that lasts is not taken for the usual.
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

// gainAfter returns the gain of a moving average: that of a plain mean over n observations, until
// that falls to least.
func gainAfter(n, least float64) float64 { return max(least, 1/(priorWeight+n)) }

// relativeLatency returns the mean latency of a class as a fraction of its objective.
func (b *Balancer) relativeLatency(class int) float64 {
	return max(b.classes[class].latency.mean, 1) / float64(b.settings.Classes[class].LatencyObjective)
}
