package core

import "time"

// Clock is the time source of the balancer, in microseconds. A Clock starts at the Unix time of its
// creation and then follows the monotonic clock. Its times are therefore comparable with Unix times
// in an endpoint list, and steps of the wall clock do not affect them.
type Clock struct{ start time.Time }

// NewClock returns a Clock that starts at the current time.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the current time in microseconds.
func (c Clock) Now() int64 { return c.At(time.Now()) }

// At returns t in microseconds.
func (c Clock) At(t time.Time) int64 { return c.start.UnixMicro() + t.Sub(c.start).Microseconds() }

// Time returns the time that is micros microseconds on the clock. Time is the inverse of At.
func (c Clock) Time(micros int64) time.Time {
	return c.start.Add(time.Duration(micros-c.start.UnixMicro()) * time.Microsecond)
}
