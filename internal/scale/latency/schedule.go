package latency

import (
	"math/rand/v2"
	"time"
)

// Schedule returns the intended moments of sending of n calls at a rate a second, from the start of
// a segment on and in order. It is the same for the same seed.
func Schedule(spacing Spacing, rate float64, n int, seed uint64) []time.Duration {
	gap := float64(time.Second) / rate
	moments := make([]time.Duration, n)
	if spacing == Even {
		for i := range moments {
			moments[i] = time.Duration(float64(i) * gap)
		}
		return moments
	}
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	at := 0.0
	for i := range moments {
		at += random.ExpFloat64() * gap
		moments[i] = time.Duration(at)
	}
	return moments
}

// callCount is how many calls a segment holds.
func callCount(rate float64, segment time.Duration) int {
	return max(1, int(rate*segment.Seconds()+0.5))
}
