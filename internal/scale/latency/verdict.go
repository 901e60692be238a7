package latency

import (
	"math"
)

// Verdict reports whether the added 99th percentile, as the median over the rounds, meets a target.
type Verdict string

// The verdicts.
const (
	Reached   Verdict = "reached"
	Missed    Verdict = "missed"
	Undecided Verdict = "undecided" // the noise of the machine is too large
)

// maxSendLatenessFraction is the maximum 99th percentile of the send lateness, as a fraction of the
// target. The verdict on a case beyond this maximum is Undecided.
const maxSendLatenessFraction = 0.1

// Verdict compares a case with a target in milliseconds. The verdict is Undecided if the distance
// of the median from the target does not exceed the noise, or if the client sent its calls too
// late.
func (cr *CaseResult) Verdict(target float64) Verdict {
	distance := cr.AddedP99.Median - target
	switch {
	case math.Abs(distance) <= cr.Noise(), cr.All.SendLatenessP99 > maxSendLatenessFraction*target:
		return Undecided
	case distance > 0:
		return Missed
	}
	return Reached
}

// Noise returns the median over the rounds of the absolute difference between the 99th percentiles
// of the direct segments, in milliseconds.
func (cr *CaseResult) Noise() float64 {
	noise := make([]float64, len(cr.Rounds))
	for i := range cr.Rounds {
		noise[i] = math.Abs(cr.Rounds[i].DirectDifferenceP99)
	}
	return spreadOf(noise).Median
}
