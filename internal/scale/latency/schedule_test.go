package latency

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestScheduleEven(t *testing.T) {
	got := Schedule(Even, 250, 4, 1)
	want := []time.Duration{0, 4 * time.Millisecond, 8 * time.Millisecond, 12 * time.Millisecond}
	if !slices.Equal(got, want) {
		t.Errorf("schedule %v, want %v", got, want)
	}
}

// A Poisson schedule is ascending and determined by the seed. The gaps have the mean of the rate and
// a standard deviation equal to the mean, as an exponential distribution has.
func TestSchedulePoisson(t *testing.T) {
	const n, rate = 50_000, 271.0
	got := Schedule(Poisson, rate, n, 7)
	if !slices.Equal(got, Schedule(Poisson, rate, n, 7)) {
		t.Error("two schedules with the same seed differ")
	}
	if slices.Equal(got, Schedule(Poisson, rate, n, 8)) {
		t.Error("schedules with different seeds are equal")
	}
	if !slices.IsSorted(got) || got[0] < 0 {
		t.Error("send times not ascending from 0")
	}
	mean := got[n-1].Seconds() / n
	squares := 0.0
	for i := 1; i < n; i++ {
		gap := (got[i] - got[i-1]).Seconds() - mean
		squares += gap * gap
	}
	if deviation := math.Sqrt(squares / n); math.Abs(mean*rate-1) > 0.02 || math.Abs(deviation*rate-1) > 0.02 {
		t.Errorf("gaps with mean %.3g s and deviation %.3g s, want %.3g s for both", mean, deviation, 1/rate)
	}
}

func TestCallCount(t *testing.T) {
	for _, x := range []struct {
		rate    float64
		segment time.Duration
		want    int
	}{
		{271, time.Second, 271},
		{271, 10 * time.Millisecond, 3},
		{1, 10 * time.Millisecond, 1},
		{2710, 500 * time.Millisecond, 1355},
	} {
		if got := callCount(x.rate, x.segment); got != x.want {
			t.Errorf("%g per second for %v: %d calls, want %d", x.rate, x.segment, got, x.want)
		}
	}
}
