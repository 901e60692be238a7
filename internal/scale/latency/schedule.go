package latency

import (
	"math/rand/v2"
	"time"
)

// Schedule returns the intended send times of n calls at a rate in calls per second, in ascending
// order. The times are relative to the start of a segment. The schedule is determined by the
// arguments.
func Schedule(spacing Spacing, rate float64, n int, seed uint64) []time.Duration {
	gap := float64(time.Second) / rate
	times := make([]time.Duration, n)
	if spacing == Even {
		for i := range times {
			times[i] = time.Duration(float64(i) * gap)
		}
		return times
	}
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	at := 0.0
	for i := range times {
		at += random.ExpFloat64() * gap
		times[i] = time.Duration(at)
	}
	return times
}

// callCount returns the number of calls in a segment, which is at least 1.
func callCount(rate float64, segment time.Duration) int {
	return max(1, int(rate*segment.Seconds()+0.5))
}
