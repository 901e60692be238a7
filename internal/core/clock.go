package core

import "time"

// Clock is the module's time: microseconds that begin at the Unix time of the start and then follow
// the monotonic clock. Unix times in an endpoint list compare with it, and a step of the wall clock
// does not affect it.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the present time in microseconds.
func (c Clock) Now() int64 { return c.At(time.Now()) }

// At returns t in microseconds.
func (c Clock) At(t time.Time) int64 { return c.start.UnixMicro() + t.Sub(c.start).Microseconds() }

// Time returns the time at micros microseconds. It is the inverse of At.
func (c Clock) Time(micros int64) time.Time {
	return c.start.Add(time.Duration(micros-c.start.UnixMicro()) * time.Microsecond)
}
