package latency

import (
	"math"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// histogramOf returns a histogram of the values of f for 1 to n.
func histogramOf(n int, f func(i int) time.Duration) *hdrhistogram.Histogram {
	h := newHistogram()
	for i := 1; i <= n; i++ {
		record(h, f(i))
	}
	return h
}

// closeTo reports whether got equals want within the precision of a histogram.
func closeTo(got, want float64) bool { return math.Abs(got-want) <= 2e-3*math.Abs(want)+1e-6 }

func TestQuantiles(t *testing.T) {
	got := quantilesOf(histogramOf(10_000, func(i int) time.Duration { return time.Duration(i) * time.Microsecond }))
	for _, x := range []struct{ got, want float64 }{{got.P50, 5}, {got.P90, 9}, {got.P99, 9.9}, {got.P999, 9.99}} {
		if !closeTo(x.got, x.want) {
			t.Errorf("quantile %g ms, want %g ms", x.got, x.want)
		}
	}
}

// Times out of range are recorded as the nearest limit of the range, so that no time is lost.
func TestRecordOutOfRange(t *testing.T) {
	h := newHistogram()
	record(h, -time.Second)
	record(h, time.Hour)
	if h.TotalCount() != 2 || h.Min() > minTime || h.Max() < maxTime*99/100 {
		t.Errorf("%d times between %d and %d, want 2 at the limits", h.TotalCount(), h.Min(), h.Max())
	}
}

func TestCoupledP99(t *testing.T) {
	const n = 10_000
	direct := func(i int) time.Duration { return 100*time.Microsecond + time.Duration(i)*10*time.Nanosecond }
	for _, x := range []struct {
		name    string
		through func(i int) time.Duration
		want    float64 // ms
	}{
		{"the same", direct, 0},
		{"a constant more", func(i int) time.Duration { return direct(i) + 200*time.Microsecond }, 0.2},
		{"more with the rank", func(i int) time.Duration {
			return direct(i) + time.Duration(i)*50*time.Nanosecond
		}, 0.495},
		// The slowest 3% of the calls take one millisecond more.
		{"a tail", func(i int) time.Duration {
			if i > n*97/100 {
				return direct(i) + time.Millisecond
			}
			return direct(i)
		}, 1},
		{"half as much", func(i int) time.Duration { return direct(i) / 2 }, -0.051},
	} {
		got := coupledP99(histogramOf(n, direct), histogramOf(n, x.through))
		if !closeTo(got, x.want) && math.Abs(got-x.want) > 1e-3 {
			t.Errorf("%s: %g ms, want %g ms", x.name, got, x.want)
		}
	}
}

// The pairs are formed by rank, so that the order of the calls has no effect.
func TestCoupledP99IgnoresCallOrder(t *testing.T) {
	up := histogramOf(1000, func(i int) time.Duration { return time.Duration(i) * time.Microsecond })
	down := histogramOf(1000, func(i int) time.Duration { return time.Duration(1001-i) * time.Microsecond })
	if got := coupledP99(up, down); got != 0 {
		t.Errorf("got %g ms between two orders of the same times, want 0", got)
	}
}

func TestSpread(t *testing.T) {
	for _, x := range []struct {
		values []float64
		want   Spread
	}{
		{[]float64{3}, Spread{3, 3, 3}},
		{[]float64{4, 1, 3}, Spread{3, 1, 4}},
		{[]float64{4, -1, 3, 1}, Spread{2, -1, 4}},
	} {
		if got := spreadOf(x.values); got != x.want {
			t.Errorf("%v: %+v, want %+v", x.values, got, x.want)
		}
	}
}
