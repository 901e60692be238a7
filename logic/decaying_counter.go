package logic

import "math"

const decayTimeConstant = 30 * second // time constant of a decayingCounter

// decayingCounter counts events, with exponential decay over decayTimeConstant.
type decayingCounter struct {
	count float64
	last  int64
}

// at returns the count decayed until now.
func (c *decayingCounter) at(now int64) float64 {
	c.count *= math.Exp(-float64(now-c.last) / float64(decayTimeConstant))
	c.last = now
	return c.count
}

// add counts one event.
func (c *decayingCounter) add(now int64) { c.count = c.at(now) + 1 }
