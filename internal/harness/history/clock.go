package history

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts microseconds from its start. Clocks with the same start agree in all processes of a
// machine because they read the system's monotonic clock.
type Clock struct {
	zero int64 // start, as CLOCK_MONOTONIC nanoseconds
}

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{zero: monotonic()} }

// ClockFrom returns the clock that starts at zero, which is the value of Zero in another process.
func ClockFrom(zero int64) Clock { return Clock{zero: zero} }

// Zero returns the clock's start in the form that ClockFrom takes.
func (c Clock) Zero() int64 { return c.zero }

// Now returns the current time, in microseconds.
func (c Clock) Now() int64 { return (monotonic() - c.zero) / 1000 }

// At returns the clock's time, in microseconds, at the moment when time.Now returned t in this
// process.
func (c Clock) At(t time.Time) int64 { return c.Now() - time.Since(t).Microseconds() }

// monotonic returns the system's monotonic time in nanoseconds.
func monotonic() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return time.Now().UnixNano() // unreachable: every Linux system has this clock
	}
	return t.Nano()
}

const (
	lagInterval = 10 * time.Millisecond
	minLag      = 30 * time.Millisecond // shortest lag that is recorded
)

// WatchLag records a Lag event whenever the machine schedules this process at least minLag late. It
// returns when ctx is done.
func WatchLag(ctx context.Context, who string, clock Clock, record func(Event)) {
	due := time.Now()
	for {
		due = due.Add(lagInterval)
		timer := time.NewTimer(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if late := time.Since(due); late >= minLag {
			record(Event{At: clock.Now(), Kind: Lag, Who: who, Took: late.Microseconds()})
			due = time.Now()
		}
	}
}
