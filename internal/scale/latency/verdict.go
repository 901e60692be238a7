package latency

import (
	"math"
)

// Verdict is whether the median of the rounds' added 99th percentiles is within a goal.
type Verdict string

// The verdicts.
const (
	Reached   Verdict = "reached"
	Missed    Verdict = "missed"
	Undecided Verdict = "undecided" // the machine was too busy to tell
)

// lateForGoal is the part of a goal by which 1 in 100 calls may be sent late; beyond it a run
// decides nothing.
const lateForGoal = 0.1

// Verdict compares a case with a goal in milliseconds. It is Undecided if the median is no further
// from the goal than direct calls are from direct calls in half of the rounds, or if the client
// itself was delayed.
func (cr *CaseResult) Verdict(target float64) Verdict {
	distance := cr.AddedP99.Median - target
	switch {
	case math.Abs(distance) <= cr.Noise(), cr.All.SendLatenessP99 > lateForGoal*target:
		return Undecided
	case distance > 0:
		return Missed
	}
	return Reached
}

// Noise returns the median over the rounds of the difference between direct calls and direct calls,
// in milliseconds.
func (cr *CaseResult) Noise() float64 {
	noise := make([]float64, len(cr.Rounds))
	for i := range cr.Rounds {
		noise[i] = math.Abs(cr.Rounds[i].DirectDifferenceP99)
	}
	return spreadOf(noise).Median
}
